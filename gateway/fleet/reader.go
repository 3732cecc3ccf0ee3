package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

const (
	// maxLoggedChanges is the largest number of changes of a list that are logged one by one.
	maxLoggedChanges = 64
	// longListFollowers is the average number of followers of a zone that read a long list to its
	// end when the view of all of them is stale.
	longListFollowers = 2.0
	// longListStarting is the same while they have no list yet. It is higher since the store may
	// reject the reads of the zone's reader and standbys.
	longListStarting = 3.0
)

// maintainView keeps the view up to date until ctx ends. An instance reads the store if it is its
// zone's reader, and otherwise asks the reader. When the view becomes stale, it does both and
// also asks a peer chosen at random. Questions to peers don't wait for a read: the store may not answer.
func (n *Node) maintainView(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wake := n.informed.subscribeWake()
	var reads sync.WaitGroup
	defer reads.Wait()
	var reading atomic.Bool
	for ctx.Err() == nil {
		n.mu.Lock()
		now := clock.Now()
		as, hub := n.roster.Role(now)
		anyPeer := n.roster.AnyPeer(now, random)
		s := n.Snapshot()
		ready, age := s.Ready(), now.Sub(s.AsOf)
		due := !reading.Load() && n.readSchedule.due(now, as, ready, age)
		n.mu.Unlock()
		var parallel sync.WaitGroup
		if due {
			reading.Store(true)
			reads.Go(func() {
				defer reading.Store(false)
				n.readStore(ctx)
			})
		}
		if as != reader && hub != "" {
			parallel.Go(func() { n.askPeer(ctx, hub) })
		}
		if isStale(ready, age) && anyPeer != "" {
			parallel.Go(func() { n.askPeer(ctx, anyPeer) })
		}
		parallel.Wait()
		waitOrWake(ctx, jitter(random, pollInterval(as, n.Snapshot().Ready())), wake)
	}
}

// readStore reads the store once. It reads the configuration first if there is none yet, since a
// list of upstreams is of no use without it.
func (n *Node) readStore(ctx context.Context) {
	first := n.Snapshot().Table == nil
	if first && !n.readDirectives(ctx) {
		return
	}
	if n.canReadChanges() && n.readChanges(ctx) {
		n.relistIfDue(ctx)
		return
	}
	if n.readList(ctx) && (first || n.readDirectives(ctx)) {
		n.storeAnswered()
	}
}

// canReadChanges reports whether a full list has been read, so that reading the changes since
// then suffices.
func (n *Node) canReadChanges() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stored.loaded()
}

// relistIfDue reads the full list again if that is due. It does so in the background, since
// reading a long list can take longer than staleAfter and would delay the reading of changes.
func (n *Node) relistIfDue(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relisting || !n.storeDown.IsZero() || !n.stored.relistDue(clock.Now()) {
		return
	}
	n.relisting = true
	go func() {
		err := n.fetchList(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.relisting = false
		if err != nil {
			n.opts.Log.Info("reading the full list of upstreams again failed", "error", err)
			n.stored.listedAt = clock.Now()
		}
	}()
}

// readChanges reads what changed in the store since the last read. It returns false if the full
// list must be read instead.
func (n *Node) readChanges(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := clock.Now()
	n.mu.Lock()
	after := n.stored.next
	n.mu.Unlock()
	c, err := n.opts.Source.Changes(ctx, after)
	var lost *dialect.HistoryLostError
	switch {
	case errors.As(err, &lost):
		n.opts.Log.Info("store history lost, listing upstreams", "after", dialect.CounterOf(after), "era", dialect.EraOf(after))
		n.mu.Lock()
		n.stored.clear()
		n.mu.Unlock()
		return false
	case err != nil:
		n.storeFailed(err)
		return true
	}
	n.mu.Lock()
	if n.stored.next != after {
		// The list was replaced meanwhile by one read before these changes. The next read fetches
		// them again.
		n.mu.Unlock()
		return true
	}
	wasMerged := n.stored.merged
	n.stored.apply(c)
	unchanged, directivesPending := n.stored.merged, n.stored.directivesPending
	n.mu.Unlock()
	switch {
	case unchanged && n.confirmUnchanged(started, c.Revision):
	case wasMerged && n.applyStored(started, c):
	default:
		n.mu.Lock()
		list := n.stored.list()
		n.mu.Unlock()
		n.mergeStored(started, c.Revision, list)
	}
	if directivesPending && !n.readDirectives(ctx) {
		return true
	}
	n.confirmVersion(n.Snapshot().Version(), started)
	n.storeAnswered()
	return true
}

// applyStored merges only the store's changes into the view, which must have merged the list that
// they follow. It returns false if the full list has to be merged instead.
func (n *Node) applyStored(started time.Time, c dialect.Changes) bool {
	n.mu.Lock()
	if !n.storeDown.IsZero() {
		n.mu.Unlock()
		return false
	}
	changes, applied := n.view.ApplyStored(clock.Now(), started, c.Revision, Difference{Changed: c.Upstreams, Removed: c.Removed})
	n.stored.merged = applied
	n.mu.Unlock()
	if applied {
		n.publish()
		n.logChanges(changes, "store", c.Revision, clock.Since(started))
	}
	return applied
}

// confirmUnchanged records that the list was still current when the read started. It returns
// false if the full list has to be merged nevertheless.
func (n *Node) confirmUnchanged(started time.Time, revision int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeDown.IsZero() || !n.view.ConfirmUnchanged(started, revision) {
		return false
	}
	n.snapshot.Store(n.view.Snapshot())
	return true
}

// readList reads the full list of upstreams and reports whether the store answered. A list that
// furtherPages stopped counts as answered.
func (n *Node) readList(ctx context.Context) bool {
	err := n.fetchList(ctx)
	var abandoned *dialect.ListAbandonedError
	if err != nil && !errors.As(err, &abandoned) {
		n.storeFailed(err)
		return false
	}
	return true
}

// fetchList reads the full list of upstreams and merges it into the view. Its errors are the
// source's.
func (n *Node) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := clock.Now()
	pages, readFurther := 1, n.furtherPages()
	list, revision, err := n.opts.Source.Upstreams(ctx, func() bool {
		pages++
		return readFurther()
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.stored.replace(started, list, revision, pages)
	n.mu.Unlock()
	n.mergeStored(started, revision, list)
	return nil
}

// mergeStored merges the store's list into the view. If the view has merged a newer one from a peer
// meanwhile, the store's list is merged with the next read.
func (n *Node) mergeStored(started time.Time, revision int64, list []dialect.Upstream) {
	merged := n.mergeList(started, revision, list, n.storeOrigin(), "store")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stored.merged = merged
}

// furtherPages returns a function that reports, before each further page of a long list, whether
// to read it. A starting instance knows no peers and considers itself the reader, so it leaves
// long lists to others until discoveryWait has passed. After that, only a few followers of each
// zone read on, and the others get the list from them. Otherwise all instances that start at once
// would read the whole list, and so would all followers of a slow reader.
func (n *Node) furtherPages() func() bool {
	// The number is drawn once per list. With a draw per page, hardly any follower would read a long
	// list to its end.
	draw := rand.Float64()
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		as, _ := n.roster.Role(clock.Now())
		ready := n.Snapshot().Ready()
		readers := longListFollowers
		if !ready {
			readers = longListStarting
		}
		discovering := !ready && n.hasOtherSeeds() && clock.Since(n.createdAt) < discoveryWait
		n.readSchedule.stopped = discovering || as == follower && draw*float64(n.roster.knownInZone(n.opts.Self.Zone)) >= readers
		return !n.readSchedule.stopped
	}
}

// hasOtherSeeds reports whether the configured seeds include an instance other than this one.
func (n *Node) hasOtherSeeds() bool {
	return len(n.opts.Seeds) > 1 || len(n.opts.Seeds) == 1 && n.opts.Seeds[0] != n.opts.Self.Address
}

// readDirectives reads the directives from the store, and reports whether it succeeded.
func (n *Node) readDirectives(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := clock.Now()
	d, err := n.opts.Source.Directives(ctx)
	if err != nil {
		n.storeFailed(err)
		return false
	}
	n.applyDirectives(d, started)
	n.mu.Lock()
	n.stored.directivesPending = n.view.EvacuationPending()
	n.mu.Unlock()
	return true
}

// applyDirectives applies directives from a read of the store that began at started.
func (n *Node) applyDirectives(d dialect.Directives, started time.Time) {
	n.applyEvacuation(d.Evacuation, "store")
	n.applyConfig(d.Config, "store")
	n.confirmVersion(d.Config.Version, started)
}

// confirmVersion records that a version of the configuration was the newest in the store at asOf.
func (n *Node) confirmVersion(version int64, asOf time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Confirm(version, asOf)
}

// ConfigAge returns the time since the configuration in force was last known to be the newest in
// the store.
func (n *Node) ConfigAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return clock.Since(n.view.configAsOf)
}

// storeOrigin returns the origin of a list that was just read: FromStoreAfterFailure if it is the
// first one after failed reads.
func (n *Node) storeOrigin() Origin {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeDown.IsZero() {
		return FromStore
	}
	return FromStoreAfterFailure
}

// storeFailed records a failed read of the store. It logs only the first one after a success.
func (n *Node) storeFailed(err error) {
	n.mu.Lock()
	first := n.storeDown.IsZero()
	if first {
		n.storeDown = clock.Now()
	}
	n.mu.Unlock()
	if first {
		n.opts.Log.Warn("dependency lost", "dependency", "store", "error", err, "view_age_ms", clock.Since(n.Snapshot().AsOf).Milliseconds())
	}
}

// storeAnswered records a successful read of the store and logs it if reads failed before.
func (n *Node) storeAnswered() {
	n.mu.Lock()
	since := n.storeDown
	n.storeDown = time.Time{}
	n.mu.Unlock()
	if !since.IsZero() {
		n.opts.Log.Info("dependency regained", "dependency", "store", "after_ms", clock.Since(since).Milliseconds())
	}
}

// askPeer requests a peer's view and applies what is newer than this instance's own.
func (n *Node) askPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s := n.Snapshot()
	request := ViewRequest{Digest: s.Digest(), Whole: n.needWholeList.Swap(false)}
	sentAt := clock.Now()
	answer, err := peer.Call[ViewAnswer](ctx, n.opts.Pool, address, MethodView, request)
	n.mu.Lock()
	n.roster.RecordCall(clock.Now(), address, err == nil)
	n.mu.Unlock()
	if err != nil {
		n.opts.Log.Debug("asking peer for its view failed", "peer", address, "error", err)
		return
	}
	n.applyEvacuation(answer.Evacuation, address)
	n.confirmVersion(answer.Version, sentAt.Add(-time.Duration(answer.ConfigAgeMS)*time.Millisecond))
	if answer.Version > s.Version() {
		n.fetchConfig(address, answer.Version)
	}
	if !answer.Listed {
		return
	}
	// AgeMS is measured after the request was sent, so this is no later than the true time of the
	// list.
	started := sentAt.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	if n.applyDifference(started, request.Digest, &answer, address) {
		return
	}
	list, err := answer.list(s)
	if err != nil {
		n.opts.Log.Info("list of upstreams from peer not applied", "from", address, "error", err)
		n.needWholeList.Store(true)
		return
	}
	if list != nil && !(answer.Same && n.confirmUnchanged(started, answer.Revision)) {
		n.mergeList(started, answer.Revision, list, FromPeer, address)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (n *Node) applyConfig(c *routing.Config, from string) {
	n.mu.Lock()
	before := n.view.Version()
	taken := n.view.SetConfig(c)
	n.mu.Unlock()
	if taken {
		n.opts.Log.Info("configuration in force", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes))
		n.publish()
	}
}

// applyEvacuation puts an evacuation in force if it is newer than the current one.
func (n *Node) applyEvacuation(e routing.Evacuation, from string) {
	n.mu.Lock()
	before := n.view.evacuation.Zones
	changed := n.view.SetEvacuation(clock.Now(), e)
	for _, zone := range before {
		if !e.Covers(zone) && changed {
			n.reopened[zone] = clock.Now()
		}
	}
	n.mu.Unlock()
	if !changed {
		return
	}
	n.opts.Log.Warn("evacuation in force", "zones", e.Zones, "before", before, "revision", dialect.CounterOf(e.Revision), "from", from)
	for _, zone := range e.Zones {
		if len(n.opts.Zones) > 0 && !slices.Contains(n.opts.Zones, zone) {
			n.opts.Log.Warn("evacuation of an unknown zone", "zone", zone)
		}
	}
	n.publish()
}

// evacuation returns the evacuation in force, with the revision at which it was last read.
func (n *Node) evacuation() routing.Evacuation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.evacuation
}

// mergeList merges a full list of upstreams into the view and reports whether it was newer than
// the last one.
func (n *Node) mergeList(started time.Time, revision int64, list []dialect.Upstream, origin Origin, from string) bool {
	n.mu.Lock()
	before := n.view.revision
	changes, taken := n.view.MergeList(clock.Now(), started, revision, list, origin)
	// A peer's list may differ from the store's. Applying only the store's changes to it would
	// not give the store's list.
	n.stored.merged = n.stored.merged && !(taken && origin == FromPeer)
	n.mu.Unlock()
	n.logOrder(before, revision, taken, origin, from)
	if taken {
		n.publish()
	}
	n.logChanges(changes, from, revision, clock.Since(started))
	return taken
}

// logOrder logs the first list after a restore of the store, and a list of the store that is not
// taken because its revision is lower than that of the view.
func (n *Node) logOrder(before, revision int64, taken bool, origin Origin, from string) {
	log := n.opts.Log.With("from", from, "era", dialect.EraOf(revision), "revision", dialect.CounterOf(revision),
		"era_before", dialect.EraOf(before), "revision_before", dialect.CounterOf(before))
	switch {
	case taken && before > 0 && dialect.EraOf(revision) > dialect.EraOf(before):
		log.Warn("store restored from a copy")
	case !taken && origin != FromPeer && revision < before:
		log.Warn("list of upstreams older than the view not taken")
	}
}

// applyDifference applies the difference in a peer's answer to the view; base is the digest of the
// list that the difference starts from. It returns false if the answer holds no difference, or
// one that cannot be applied to the view's current list.
func (n *Node) applyDifference(started time.Time, base uint64, answer *ViewAnswer, address string) bool {
	if !answer.hasDifference() {
		return false
	}
	changed, err := answer.unpack(answer.Changed)
	if err != nil {
		return false
	}
	n.mu.Lock()
	if n.view.digest != base {
		n.mu.Unlock()
		return false
	}
	changes, taken, err := n.view.Apply(clock.Now(), started, answer.Revision, Difference{Changed: changed, Removed: answer.Removed}, answer.Digest)
	n.stored.merged = n.stored.merged && !taken
	n.mu.Unlock()
	if err != nil {
		return false
	}
	if taken {
		n.publish()
	}
	n.logChanges(changes, address, answer.Revision, clock.Since(started))
	return true
}

// logChanges logs the changes of a list: one line for each, or a single line with their counts if
// there are more than maxLoggedChanges, as with the first list.
func (n *Node) logChanges(changes []Change, from string, revision int64, age time.Duration) {
	log := n.opts.Log.With("from", from, "revision", dialect.CounterOf(revision), "age_ms", age.Milliseconds())
	if len(changes) > maxLoggedChanges {
		counts := map[ChangeKind]int{}
		for _, c := range changes {
			counts[c.Kind]++
		}
		log.Info("upstreams changed", "count", len(changes), "kinds", counts)
		return
	}
	for _, c := range changes {
		log.Info("upstream "+string(c.Kind), "upstream", c.Upstream.ID, "service", c.Upstream.Service,
			"address", c.Upstream.Address, "stage", c.Upstream.Stage, "software_version", c.Upstream.SoftwareVersion)
	}
}
