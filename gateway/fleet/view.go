// Package fleet holds what an instance knows of the deployment: the configuration in force, the
// upstreams, and the other instances of the gateway.
//
// View and Roster do no input or output: time and messages are passed to them. Node drives them.
// It reads the store if that is assigned to its instance, and exchanges the rest with its peers.
//
// Tasks that one instance performs for a zone or for the whole fleet are called duties.
// Rendezvous hashing assigns each duty to one of the live instances. The instance with the duty
// of reading the store for its zone is the zone's reader. It is also the zone's hub, which in a
// large fleet adds up the loads of the zone's instances.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

const (
	// outageGap is how old the last list must be for the next one to count as the first after an
	// outage of the store or of the connection to it. Lists are read every 0.5 s. The store drops
	// an upstream's entry after three missed heartbeats, 3.6 s.
	outageGap = 2 * time.Second
	// returnGrace is how long after an outage upstreams that are missing from the list are kept.
	// Entries that expired during the outage are back about 2 s after the store.
	returnGrace = 2500 * time.Millisecond
	// removalRetention is how long a removed upstream is remembered, so that a stale list from a
	// peer does not add it again.
	removalRetention = time.Minute
)

// entry is an upstream with its state in the view.
type entry struct {
	upstream dialect.Upstream
	// gone is set if the upstream was removed from the list. updatedAt is when it was removed
	// or last listed.
	gone      bool
	updatedAt time.Time
	// hash is the hash of upstream, 0 if the upstream is gone.
	hash uint64
	// restagedAt is when the upstream was last known to have had another stage, zero if it is not.
	restagedAt time.Time
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

// View holds the configuration in force and the known upstreams. It is not safe for concurrent
// use.
type View struct {
	table *routing.Table
	// configAsOf is when the store was last known to have no configuration newer than the table.
	configAsOf time.Time
	evacuation routing.Evacuation
	// evacuationPending is set while an evacuation read from a restored store is not in force.
	evacuationPending bool
	// revision and asOf belong to the newest list; asOf is when its read began. hasList is set
	// once there is a list.
	revision int64
	asOf     time.Time
	hasList  bool
	// listedSince is when the first list was applied, or the first one after a gap in which upstreams may
	// have come and gone unseen.
	listedSince time.Time
	entries     map[ident.UpstreamID]*entry
	// listCount is the number of lists applied so far, and digest the digest of the current list.
	// versions holds the digests of the latest versions, at most maxListVersions.
	listCount uint64
	digest    uint64
	versions  []listVersion
	// recentChanges holds the changes of entries since the oldest of versions, in order of their
	// numbers.
	recentChanges []entryChange
	// lists holds the upstreams by service as of the last snapshot. dirty holds the IDs of those
	// that have changed since, by the services whose lists they belong to or belonged to.
	lists map[string][]dialect.Upstream
	dirty map[string]map[ident.UpstreamID]struct{}
	// announced holds the upstreams that have said that they leave.
	announced map[ident.UpstreamID]announcement
	// removals holds the upstreams removed from the list within removalRetention, oldest first.
	removals []removal
	// graceUntil is the end of the grace period after an outage, in which missing upstreams are
	// kept. restoredUntil is the end of the one after a restore of the store from a copy, in which
	// the store may also lack removals and changes of the evacuation.
	graceUntil    time.Time
	restoredUntil time.Time
	// versionCache holds the software versions by service; see softwareVersions. retired holds those that
	// upstreams had before they restarted under their IDs.
	versionCache versionCache
	retired      []retiredVersion
	// versionListings says when the software versions of each service were first listed. Snapshots share it;
	// a change replaces it.
	versionListings map[string]versionListing
	// mergedAsOf is the time of the last list that was merged.
	mergedAsOf time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{announced: map[ident.UpstreamID]announcement{}, entries: map[ident.UpstreamID]*entry{}, dirty: map[string]map[ident.UpstreamID]struct{}{}}
}

// SetConfig puts a configuration in force if it is newer than the current one, and reports
// whether it is. Older ones are ignored, so a configuration that was replaced never comes back
// into force.
func (v *View) SetConfig(c *routing.Config) bool {
	if v.table != nil && c.Version <= v.table.Config().Version {
		return false
	}
	v.table = routing.NewTable(c)
	return true
}

// SetEvacuation puts an evacuation in force and reports whether it changes the evacuated zones. An
// evacuation whose revision is not higher than the current one's is ignored, and one that a restored
// store may have copied is left for later; see EvacuationPending.
func (v *View) SetEvacuation(now time.Time, e routing.Evacuation) bool {
	v.evacuationPending = false
	if e.Revision <= v.evacuation.Revision {
		return false
	}
	if v.mayBeCopied(now, e) {
		v.evacuationPending = true
		return false
	}
	changed := !e.SameZones(v.evacuation)
	v.evacuation = e
	return changed
}

// mayBeCopied reports whether an evacuation may be an earlier one that the store has from the copy it
// was restored from: what the operators have changed since is written again shortly after.
func (v *View) mayBeCopied(now time.Time, e routing.Evacuation) bool {
	era := dialect.EraOf(e.Revision)
	if v.evacuation.Revision == 0 || era == dialect.EraOf(v.evacuation.Revision) || e.SameZones(v.evacuation) {
		return false
	}
	return era > dialect.EraOf(v.revision) || now.Before(v.restoredUntil)
}

// EvacuationPending reports whether the last evacuation read was left for later, so that it must be
// read again.
func (v *View) EvacuationPending() bool { return v.evacuationPending }

// Confirm records that a version of the configuration was the newest in the store at asOf.
func (v *View) Confirm(version int64, asOf time.Time) {
	if version == v.Version() && asOf.After(v.configAsOf) {
		v.configAsOf = asOf
	}
}

// Version returns the version of the configuration in force, 0 if there is none.
func (v *View) Version() int64 {
	if v.table == nil {
		return 0
	}
	return v.table.Config().Version
}

// Origin is where a list came from.
type Origin int

// The origins of lists.
const (
	// FromPeer lists come from a peer, which has already kept missing upstreams where required.
	FromPeer Origin = iota
	// FromStore lists come from the store.
	FromStore
	// FromStoreAfterFailure lists are the first from the store after failed reads.
	FromStoreAfterFailure
)

// MergeList merges a full list of upstreams whose read began at started. It returns the changes and
// reports whether the list was newer than the last one; an older list is ignored.
func (v *View) MergeList(now, started time.Time, revision int64, list []dialect.Upstream, from Origin) ([]Change, bool) {
	if v.hasList && (revision < v.revision || !started.After(v.asOf)) {
		return nil, false
	}
	// A view can also be stale because the zone's reader died. That is no outage, and upstreams
	// missing from the next list have left.
	if from == FromStoreAfterFailure && v.hasList && started.Sub(v.asOf) > outageGap {
		v.graceUntil = started.Add(returnGrace)
	}
	v.advance(started, revision)
	v.listCount++
	changes := v.merge(now, started, list)
	if from == FromPeer || !started.Before(v.graceUntil) {
		changes = append(changes, v.removeAbsent(now, list)...)
	}
	v.removeExpired(now)
	v.recordVersion()
	return changes, true
}

// Apply has the effect of MergeList with a peer's list that differs from the view's by d, but
// processes only d. It returns the changes and reports whether the list was newer than the last
// one. want is the digest of the resulting list; if d would give another one, the view is left
// unchanged and the error is a *DigestMismatchError.
func (v *View) Apply(now, started time.Time, revision int64, d Difference, want uint64) ([]Change, bool, error) {
	if !v.hasList || v.digestWith(d) != want {
		return nil, false, &DigestMismatchError{}
	}
	if revision < v.revision || !started.After(v.asOf) {
		return nil, false, nil
	}
	return v.apply(now, started, revision, d), true, nil
}

// ApplyStored merges the store's changes since a list that the view has merged. It returns false
// if the whole list must be passed to MergeList instead: if there is none yet, if none has been
// merged since the grace period of an outage, or if the view already holds a newer one.
func (v *View) ApplyStored(now, started time.Time, revision int64, d Difference) ([]Change, bool) {
	outage := started.Before(v.graceUntil) || v.mergedAsOf.Before(v.graceUntil)
	if !v.hasList || outage || revision < v.revision || !started.After(v.asOf) {
		return nil, false
	}
	return v.apply(now, started, revision, d), true
}

// advance sets the revision and the time of the list that is merged. The first list of a later era
// begins a grace period: what was written to the store since its copy was made is written again.
func (v *View) advance(started time.Time, revision int64) {
	if v.hasList && dialect.EraOf(revision) > dialect.EraOf(v.revision) {
		v.graceUntil = started.Add(returnGrace)
		v.restoredUntil = v.graceUntil
	}
	v.recordGap(started)
	v.hasList, v.revision, v.asOf, v.mergedAsOf = true, revision, started, started
}

// recordGap begins a new period of listedSince if no list was read for so long that upstreams may have come
// and gone unseen. The caller is about to set asOf to started.
func (v *View) recordGap(started time.Time) {
	if !v.hasList || started.Sub(v.asOf) > maxListGap {
		v.listedSince = started
	}
}

// apply merges a difference and returns the changes.
func (v *View) apply(now, started time.Time, revision int64, d Difference) []Change {
	v.advance(started, revision)
	v.listCount++
	changes := v.merge(now, started, d.Changed)
	for _, id := range d.Removed {
		if e := v.entries[id]; e != nil && !e.gone {
			changes = append(changes, v.markGone(now, e))
		}
	}
	v.removeExpired(now)
	v.recordVersion()
	return changes
}

// digestWith returns the digest that the view's list would have with a difference applied.
func (v *View) digestWith(d Difference) uint64 {
	digest := v.digest
	for i := range d.Changed {
		if e := v.entries[d.Changed[i].ID]; e != nil {
			digest -= e.hash
		}
		digest += upstreamHash(&d.Changed[i])
	}
	for _, id := range d.Removed {
		if e := v.entries[id]; e != nil {
			digest -= e.hash
		}
	}
	return digest
}

// ConfirmUnchanged has the effect of MergeList with an unchanged list, without merging it. It
// returns false if the list must be passed to MergeList: if there is none yet, if it is the first one
// of a later era, or if none has been merged since the grace period of an outage, after which absent
// upstreams are removed.
func (v *View) ConfirmUnchanged(started time.Time, revision int64) bool {
	if !v.hasList || v.mergedAsOf.Before(v.graceUntil) || dialect.EraOf(revision) > dialect.EraOf(v.revision) {
		return false
	}
	if revision >= v.revision && started.After(v.asOf) {
		v.recordGap(started)
		v.revision, v.asOf = revision, started
	}
	return true
}

// recordVersion appends the current digest to versions if it has changed, and drops what exceeds
// maxListVersions.
func (v *View) recordVersion() {
	if n := len(v.versions); n > 0 && v.versions[n-1].digest == v.digest {
		return
	}
	v.versions = append(v.versions, listVersion{digest: v.digest, change: v.listCount})
	v.versions = v.versions[max(0, len(v.versions)-maxListVersions):]
	v.recentChanges = v.recentChanges[v.recentChangesAfter(v.versions[0].change):]
}

// recentChangesAfter returns the index of the first entry of recentChanges with a higher number
// than change.
func (v *View) recentChangesAfter(change uint64) int {
	return sort.Search(len(v.recentChanges), func(i int) bool { return v.recentChanges[i].change > change })
}

// markDirty marks a service's list in lists as outdated for an upstream.
func (v *View) markDirty(service string, id ident.UpstreamID) {
	if v.dirty[service] == nil {
		v.dirty[service] = map[ident.UpstreamID]struct{}{}
	}
	v.dirty[service][id] = struct{}{}
}

// recordChange updates the digest and records the change after an entry was modified.
func (v *View) recordChange(e *entry) {
	v.markDirty(e.upstream.Service, e.upstream.ID)
	v.recentChanges = append(v.recentChanges, entryChange{change: v.listCount, id: e.upstream.ID})
	v.digest -= e.hash
	e.hash = 0
	if !e.gone {
		e.hash = upstreamHash(&e.upstream)
	}
	v.digest += e.hash
}

// merge merges the upstreams of a list whose read began at started, and returns the changes.
func (v *View) merge(now, started time.Time, list []dialect.Upstream) []Change {
	var changes []Change
	// Another instance may have seen a version leave a list's age earlier, and uses a list without it for as long.
	served := sync.OnceValue(func() map[string][]string { return v.collectVersions(now.Add(2 * maxVersionsAge)) })
	for _, u := range list {
		e := v.entries[u.ID]
		if e == nil {
			e = &entry{}
			v.entries[u.ID] = e
			changes = append(changes, Change{Upstream: u, Kind: Appeared})
		}
		if u.Restarted(e.upstream.Incarnation) {
			// A newer incarnation is already known.
			continue
		}
		wasGone, before := e.gone, e.upstream
		if e.upstream.Restarted(u.Incarnation) {
			e.upstream, e.gone = dialect.Upstream{}, false
			changes = append(changes, Change{Upstream: u, Kind: Restarted})
		}
		if e.gone && started.Before(v.restoredUntil) {
			// The store has the removed entry from its copy.
			continue
		}
		if e.gone {
			changes = append(changes, Change{Upstream: u, Kind: Appeared})
		}
		if u.SoftwareVersion == "" && u.Incarnation == e.upstream.Incarnation {
			// Peers of earlier releases don't send the version.
			u.SoftwareVersion = e.upstream.SoftwareVersion
		}
		if before.ID != "" && before.SoftwareVersion != u.SoftwareVersion {
			v.retireVersion(now, before)
		}
		if wasGone || before.SoftwareVersion != u.SoftwareVersion || before.Service != u.Service || before.Stage == "" {
			v.recordVersionListed(now, u, served())
		}
		// Leaving is final for an incarnation.
		u.Leaving = u.Leaving || e.upstream.Leaving
		if u.Leaving && !e.upstream.Leaving {
			changes = append(changes, Change{Upstream: u, Kind: BeganLeaving})
		}
		if e.upstream.Stage != "" && e.upstream.Stage != u.Stage {
			changes = append(changes, Change{Upstream: u, Kind: StageChanged})
			e.restagedAt = now
		}
		e.upstream, e.gone, e.updatedAt = u, false, now
		if wasGone || u != before {
			if before.ID != "" {
				v.markDirty(before.Service, u.ID)
			}
			v.recordChange(e)
		}
	}
	return changes
}

// removeAbsent marks the upstreams that are missing from a list as gone.
func (v *View) removeAbsent(now time.Time, list []dialect.Upstream) []Change {
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
	e.gone, e.updatedAt = true, now
	v.removals = append(v.removals, removal{id: e.upstream.ID, at: now})
	v.recordChange(e)
	return Change{Upstream: e.upstream, Kind: Gone}
}

// removeExpired deletes the entries of upstreams that were removed more than removalRetention
// ago.
func (v *View) removeExpired(now time.Time) {
	n := 0
	for n < len(v.removals) && now.Sub(v.removals[n].at) > removalRetention {
		r := v.removals[n]
		// An upstream that was listed again meanwhile has a later time or is not gone.
		if e := v.entries[r.id]; e != nil && e.gone && e.updatedAt.Equal(r.at) {
			delete(v.entries, r.id)
			delete(v.announced, r.id)
		}
		n++
	}
	v.removals = v.removals[n:]
}

// ChangeKind is the kind of a change of an upstream.
type ChangeKind string

// The kinds of changes. They are written to log messages.
const (
	Appeared     ChangeKind = "appeared"
	Restarted    ChangeKind = "restarted"
	BeganLeaving ChangeKind = "leaves"
	Gone         ChangeKind = "gone"
	StageChanged ChangeKind = "stage_changed"
)

// Change is a change of an upstream in the view.
type Change struct {
	// Upstream is the upstream after the change, or as last known if it is gone.
	Upstream dialect.Upstream
	Kind     ChangeKind
}

// Snapshot is an immutable copy of a view at one moment.
type Snapshot struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// Upstreams holds the listed upstreams by service, sorted by ID, including those that are
	// leaving according to the list or to what they have said.
	Upstreams map[string][]dialect.Upstream
	// listed holds the same as the store lists it: without what upstreams have said themselves.
	listed map[string][]dialect.Upstream
	// Revision is the store's revision of the list, and AsOf the time at which its read began.
	Revision int64
	AsOf     time.Time
	// Listed is false while no list is known.
	Listed bool
	// Evacuation lists the zones whose upstreams get no requests.
	Evacuation      routing.Evacuation
	digest          uint64
	versionListings map[string]versionListing
}

// Ready reports whether the snapshot holds a configuration and a list, so that requests can be
// served.
func (s *Snapshot) Ready() bool { return s.Table != nil && s.Listed }

// Snapshot returns a snapshot of the current view.
func (v *View) Snapshot() *Snapshot {
	v.refreshLists()
	return &Snapshot{
		Table: v.table, Revision: v.revision, AsOf: v.asOf, Listed: v.hasList,
		Upstreams: v.withAnnounced(), listed: v.lists, Evacuation: v.evacuation, digest: v.digest,
		versionListings: v.versionListings,
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
		v.lists = v.buildLists()
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
		at, found := searchID(list, id)
		out = append(out, list[:at]...)
		list = list[at:]
		if found {
			list = list[1:]
		}
		if e := v.entries[id]; e != nil && !e.gone && e.upstream.Service == service {
			out = append(out, e.upstream)
		}
	}
	return append(out, list...)
}

// searchID returns the index of an upstream in a list that is sorted by ID, or where it would be.
func searchID(list []dialect.Upstream, id ident.UpstreamID) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(u dialect.Upstream, id ident.UpstreamID) int { return cmp.Compare(u.ID, id) })
}

// buildLists returns the upstreams by service, sorted by ID, computed from all entries.
func (v *View) buildLists() map[string][]dialect.Upstream {
	lists := map[string][]dialect.Upstream{}
	for _, e := range v.entries {
		if !e.gone {
			lists[e.upstream.Service] = append(lists[e.upstream.Service], e.upstream)
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

// Find returns an upstream of a service, and whether it is listed.
func (s *Snapshot) Find(service string, id ident.UpstreamID) (dialect.Upstream, bool) {
	list := s.Upstreams[service]
	at, found := searchID(list, id)
	if !found {
		return dialect.Upstream{}, false
	}
	return list[at], true
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

// Digest returns the digest of the list of upstreams. Different lists have different digests, up
// to hash collisions; that of an empty list is 0.
func (s *Snapshot) Digest() uint64 { return s.digest }

// All returns the upstreams of all services as the store lists them.
func (s *Snapshot) All() []dialect.Upstream {
	var all []dialect.Upstream
	for _, list := range s.listed {
		all = append(all, list...)
	}
	return all
}
