// Package fleet holds what an instance believes of the deployment: the
// configuration in force, the upstreams, and the other instances of the gateway.
//
// View and Roster are pure: time and messages are passed in. Node drives them:
// it reads the store, where it falls to this instance, and exchanges the rest
// with its peers.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

const (
	// outageGap is how old the last list must be for the next one to count as the
	// first after an outage of the store, or of the way to it. Lists come every
	// 0.5 s; entries lapse after 3 heartbeats, 3.6 s.
	outageGap = 2 * time.Second
	// returnGrace is how long after an outage an upstream that is not listed is
	// kept: entries that lapsed meanwhile are back about 2 s after the store.
	returnGrace = 2500 * time.Millisecond
	// forgetAfter is how long a departed upstream is remembered, so that an old
	// list from a peer doesn't bring it back.
	forgetAfter = time.Minute
)

// entry is an upstream with what its absence from lists means.
type entry struct {
	up dialect.Upstream
	// gone means that it was taken off the list for good.
	gone  bool
	since time.Time
	// hash is the hash of up, 0 if the upstream is gone.
	hash uint64
}

// entryChange records that an entry changed, with the number of the list that changed it.
type entryChange struct {
	change uint64
	id     ident.UpstreamID
}

// removal records when an upstream was removed from the list.
type removal struct {
	id ident.UpstreamID
	at time.Time
}

// View is what is believed of configuration and upstreams. It is not safe for
// concurrent use.
type View struct {
	table *routing.Table
	// configAsOf is when the store was last known to have nothing newer than the table.
	configAsOf time.Time
	evacuation routing.Evacuation
	// revision and asOf are those of the newest list.
	revision int64
	asOf     time.Time
	known    bool
	entries  map[ident.UpstreamID]*entry
	// change counts the lists taken in, digest is the list's and versions are the last ones
	// that it had.
	change   uint64
	digest   uint64
	versions []listVersion
	// recent holds the changes of entries since the oldest of versions, in order of their numbers.
	recent []entryChange
	// lists holds the upstreams by service as of the last snapshot, dirty the IDs of those that
	// have changed since, by the services whose lists they belong to or belonged to.
	lists map[string][]dialect.Upstream
	dirty map[string]map[ident.UpstreamID]struct{}
	// removals holds the upstreams removed from the list within forgetAfter, oldest first.
	removals []removal
	// graceUntil is when absence from the list counts again after an outage.
	graceUntil time.Time
	// mergedAsOf is the time of the last list that was merged.
	mergedAsOf time.Time
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{entries: map[ident.UpstreamID]*entry{}, dirty: map[string]map[ident.UpstreamID]struct{}{}}
}

// Configure takes in a configuration and reports whether it is newer than the one
// in force. Older ones are ignored: what was in force never comes back.
func (v *View) Configure(c *routing.Config) bool {
	if v.table != nil && c.Version <= v.table.Config().Version {
		return false
	}
	v.table = routing.NewTable(c)
	return true
}

// Evacuate takes in an evacuation, and reports whether it changes the evacuated zones. An
// evacuation whose revision is not higher than the current one's is ignored.
func (v *View) Evacuate(e routing.Evacuation) bool {
	if e.Revision <= v.evacuation.Revision {
		return false
	}
	changed := !e.SameZones(v.evacuation)
	v.evacuation = e
	return changed
}

// Confirm takes in that a version was the newest in the store at a time.
func (v *View) Confirm(version int64, asOf time.Time) {
	if version == v.Version() && asOf.After(v.configAsOf) {
		v.configAsOf = asOf
	}
}

// Version returns the version in force, 0 if there is none.
func (v *View) Version() int64 {
	if v.table == nil {
		return 0
	}
	return v.table.Config().Version
}

// Origin says how a list came.
type Origin int

// The origins.
const (
	// FromPeer lists come from a peer, which has kept what was to be kept.
	FromPeer Origin = iota
	// FromStore lists come from the store.
	FromStore
	// FromStoreAgain lists are the first from the store after failed readings.
	FromStoreAgain
)

// List takes in a list of upstreams whose reading began at the given time. It
// returns what changed, and reports whether the list was newer than the last.
func (v *View) List(now, started time.Time, revision int64, list []dialect.Upstream, from Origin) ([]Change, bool) {
	if v.known && (revision < v.revision || !started.After(v.asOf)) {
		return nil, false
	}
	// A view that is old for another reason, such as a reader that died, is no
	// outage: what left the list meanwhile has left.
	if from == FromStoreAgain && v.known && started.Sub(v.asOf) > outageGap {
		v.graceUntil = started.Add(returnGrace)
	}
	v.known, v.revision, v.asOf, v.mergedAsOf = true, revision, started, started
	v.change++
	changes := v.merge(now, list)
	if from == FromPeer || !started.Before(v.graceUntil) {
		changes = append(changes, v.absent(now, list)...)
	}
	v.forget(now)
	v.number()
	return changes, true
}

// Apply has the effect of List with a peer's list that differs from the view's by d, but processes
// only d. It returns what changed, and reports whether the list was newer than the last. want is the
// digest of the resulting list; if d would give another one, the view is left unchanged and the
// error is a *MisfitError.
func (v *View) Apply(now, started time.Time, revision int64, d Difference, want uint64) ([]Change, bool, error) {
	if !v.known || v.digestWith(d) != want {
		return nil, false, &MisfitError{}
	}
	if revision < v.revision || !started.After(v.asOf) {
		return nil, false, nil
	}
	return v.apply(now, started, revision, d), true, nil
}

// ApplyStored merges the store's changes since a list that the view has merged. It returns false
// if the whole list must be passed to List instead: if there is none yet, if none has been merged
// since the grace period of an outage, or if the view has taken in a newer one.
func (v *View) ApplyStored(now, started time.Time, revision int64, d Difference) ([]Change, bool) {
	outage := started.Before(v.graceUntil) || v.mergedAsOf.Before(v.graceUntil)
	if !v.known || outage || revision < v.revision || !started.After(v.asOf) {
		return nil, false
	}
	return v.apply(now, started, revision, d), true
}

// apply merges a difference.
func (v *View) apply(now, started time.Time, revision int64, d Difference) []Change {
	v.revision, v.asOf, v.mergedAsOf = revision, started, started
	v.change++
	changes := v.merge(now, d.Changed)
	for _, id := range d.Gone {
		if e := v.entries[id]; e != nil && !e.gone {
			changes = append(changes, v.markGone(now, e))
		}
	}
	v.forget(now)
	v.number()
	return changes
}

// digestWith returns the digest that the view's list would have with a difference applied.
func (v *View) digestWith(d Difference) uint64 {
	digest := v.digest
	for i := range d.Changed {
		if e := v.entries[d.Changed[i].ID]; e != nil {
			digest -= e.hash
		}
		digest += hashOf(&d.Changed[i])
	}
	for _, id := range d.Gone {
		if e := v.entries[id]; e != nil {
			digest -= e.hash
		}
	}
	return digest
}

// ConfirmUnchanged has the effect of List with an unchanged list, without merging it. It
// returns false if the list must be passed to List: if there is none yet, or if none has been
// merged since the grace period of an outage, after which absent upstreams are removed.
func (v *View) ConfirmUnchanged(started time.Time, revision int64) bool {
	if !v.known || v.mergedAsOf.Before(v.graceUntil) {
		return false
	}
	if revision >= v.revision && started.After(v.asOf) {
		v.revision, v.asOf = revision, started
	}
	return true
}

// number keeps the digest of the list if it is new.
func (v *View) number() {
	if n := len(v.versions); n > 0 && v.versions[n-1].digest == v.digest {
		return
	}
	v.versions = append(v.versions, listVersion{digest: v.digest, change: v.change})
	v.versions = v.versions[max(0, len(v.versions)-keptVersions):]
	v.recent = v.recent[v.recentAfter(v.versions[0].change):]
}

// recentAfter returns the index of the first entry of recent with a higher number than change.
func (v *View) recentAfter(change uint64) int {
	return sort.Search(len(v.recent), func(i int) bool { return v.recent[i].change > change })
}

// markDirty has a service's list brought up to date for an upstream.
func (v *View) markDirty(service string, id ident.UpstreamID) {
	if v.dirty[service] == nil {
		v.dirty[service] = map[ident.UpstreamID]struct{}{}
	}
	v.dirty[service][id] = struct{}{}
}

// changed takes in that an entry is not what it was.
func (v *View) changed(e *entry) {
	v.markDirty(e.up.Service, e.up.ID)
	v.recent = append(v.recent, entryChange{change: v.change, id: e.up.ID})
	v.digest -= e.hash
	e.hash = 0
	if !e.gone {
		e.hash = hashOf(&e.up)
	}
	v.digest += e.hash
}

// merge takes in the upstreams of a list.
func (v *View) merge(now time.Time, list []dialect.Upstream) []Change {
	var changes []Change
	for _, u := range list {
		e := v.entries[u.ID]
		if e == nil {
			e = &entry{}
			v.entries[u.ID] = e
			changes = append(changes, Change{Upstream: u, What: Appeared})
		}
		if u.Restarted(e.up.Incarnation) {
			// What is newer was heard of before.
			continue
		}
		wasGone, before := e.gone, e.up
		if e.up.Restarted(u.Incarnation) {
			e.up, e.gone = dialect.Upstream{}, false
			changes = append(changes, Change{Upstream: u, What: Restarted})
		}
		if e.gone {
			e.gone = false
			changes = append(changes, Change{Upstream: u, What: Appeared})
		}
		// Leaving is final for an incarnation.
		u.Leaving = u.Leaving || e.up.Leaving
		if u.Leaving && !e.up.Leaving {
			changes = append(changes, Change{Upstream: u, What: Leaves})
		}
		if e.up.Stage != "" && e.up.Stage != u.Stage {
			changes = append(changes, Change{Upstream: u, What: StageChanged})
		}
		e.up, e.since = u, now
		if wasGone || u != before {
			if before.ID != "" {
				v.markDirty(before.Service, u.ID)
			}
			v.changed(e)
		}
	}
	return changes
}

// absent marks the upstreams that a list lacks.
func (v *View) absent(now time.Time, list []dialect.Upstream) []Change {
	listed := map[ident.UpstreamID]bool{}
	for _, u := range list {
		listed[u.ID] = true
	}
	var changes []Change
	for id, e := range v.entries {
		if !listed[id] && !e.gone {
			changes = append(changes, v.markGone(now, e))
		}
	}
	return changes
}

// markGone marks an upstream as removed from the list.
func (v *View) markGone(now time.Time, e *entry) Change {
	e.gone, e.since = true, now
	v.removals = append(v.removals, removal{id: e.up.ID, at: now})
	v.changed(e)
	return Change{Upstream: e.up, What: Gone}
}

// forget deletes the entries of upstreams that have been gone for longer than forgetAfter.
func (v *View) forget(now time.Time) {
	n := 0
	for n < len(v.removals) && now.Sub(v.removals[n].at) > forgetAfter {
		r := v.removals[n]
		// An upstream that was listed again meanwhile has a later time or is not gone.
		if e := v.entries[r.id]; e != nil && e.gone && e.since.Equal(r.at) {
			delete(v.entries, r.id)
		}
		n++
	}
	v.removals = v.removals[n:]
}

// What says how an upstream changed.
type What string

// The changes of upstreams.
const (
	Appeared     What = "appeared"
	Restarted    What = "restarted"
	Leaves       What = "leaves"
	Gone         What = "gone"
	StageChanged What = "stage_changed"
)

// Change is a change of what is believed of an upstream.
type Change struct {
	Upstream dialect.Upstream
	What     What
}

// Snapshot is a view at one moment. It must not be changed.
type Snapshot struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// Upstreams holds those that are listed, by service, sorted by ID; Leaving
	// ones too.
	Upstreams map[string][]dialect.Upstream
	// Revision and AsOf are those of the list.
	Revision int64
	AsOf     time.Time
	// Listed is false while no list is known.
	Listed bool
	// Evacuation lists the zones whose upstreams get no requests.
	Evacuation routing.Evacuation
	digest     uint64
}

// Ready reports whether requests can be served by the snapshot.
func (s *Snapshot) Ready() bool { return s.Table != nil && s.Listed }

// Snapshot returns the view as it is now.
func (v *View) Snapshot() *Snapshot {
	v.refreshLists()
	return &Snapshot{
		Table: v.table, Revision: v.revision, AsOf: v.asOf, Listed: v.known,
		Upstreams: v.lists, Evacuation: v.evacuation, digest: v.digest,
	}
}

// maxDirtyShare is the share of changed entries above which the lists are rebuilt rather than
// updated.
const maxDirtyShare = 0.1

// refreshLists brings lists up to date. It doesn't modify the lists of earlier snapshots.
func (v *View) refreshLists() {
	dirty := 0
	for _, ids := range v.dirty {
		dirty += len(ids)
	}
	switch {
	case v.lists == nil || float64(dirty) > maxDirtyShare*float64(len(v.entries)):
		v.lists = v.listed()
	case dirty > 0:
		v.lists = v.updatedLists()
	}
	clear(v.dirty)
}

// updatedLists returns a copy of lists with the dirty entries brought up to date. Lists without
// dirty entries are shared.
func (v *View) updatedLists() map[string][]dialect.Upstream {
	lists := maps.Clone(v.lists)
	for service, dirty := range v.dirty {
		list := v.updatedList(service, lists[service], slices.Sorted(maps.Keys(dirty)))
		if len(list) > 0 {
			lists[service] = list
		} else {
			delete(lists, service)
		}
	}
	return lists
}

// updatedList returns a copy of a service's list with the entries of the given IDs, which must be
// sorted, brought up to date.
func (v *View) updatedList(service string, list []dialect.Upstream, ids []ident.UpstreamID) []dialect.Upstream {
	out := make([]dialect.Upstream, 0, len(list)+len(ids))
	for _, id := range ids {
		at, found := slices.BinarySearchFunc(list, id, func(u dialect.Upstream, id ident.UpstreamID) int { return cmp.Compare(u.ID, id) })
		out = append(out, list[:at]...)
		list = list[at:]
		if found {
			list = list[1:]
		}
		if e := v.entries[id]; e != nil && !e.gone && e.up.Service == service {
			out = append(out, e.up)
		}
	}
	return append(out, list...)
}

// listed returns the upstreams by service, sorted by ID.
func (v *View) listed() map[string][]dialect.Upstream {
	lists := map[string][]dialect.Upstream{}
	for _, e := range v.entries {
		if !e.gone {
			lists[e.up.Service] = append(lists[e.up.Service], e.up)
		}
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b dialect.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return lists
}

// Version returns the version of the configuration in force, 0 if there is none.
func (s *Snapshot) Version() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Config().Version
}

// Eligible returns the upstreams of a service that are in allowed regions and outside evacuated
// zones. regionOf returns a zone's region, "" if it has none.
func (s *Snapshot) Eligible(service string, allowed routing.Regions, regionOf func(ident.Zone) ident.Region) []dialect.Upstream {
	list := s.Upstreams[service]
	if allowed == nil && len(s.Evacuation.Zones) == 0 {
		return list
	}
	var eligible []dialect.Upstream
	for _, u := range list {
		if !s.Evacuation.Covers(u.Zone) && allowed.Allow(regionOf(u.Zone)) {
			eligible = append(eligible, u)
		}
	}
	return eligible
}

// Digest tells lists of upstreams apart; that of none is 0.
func (s *Snapshot) Digest() uint64 { return s.digest }

// All returns the upstreams of all services, for a peer.
func (s *Snapshot) All() []dialect.Upstream {
	var all []dialect.Upstream
	for _, list := range s.Upstreams {
		all = append(all, list...)
	}
	return all
}
