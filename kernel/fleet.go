package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// fleet is the kernel's own copy of the view, extended by what only this
// instance knows of the upstreams: its requests in flight, the failures it has
// seen and the load reports it has read.
type fleet struct {
	view View
	byID map[ident.UpstreamID]int
	// prefills, decodes and services index the view's upstreams by the model
	// or service they are declared to run.
	prefills map[string][]int
	decodes  map[string][]int
	services map[string][]int
	// leavingIncarnations holds the incarnation in which an upstream was
	// reported as leaving, by the upstream itself or by a view.
	leavingIncarnations map[ident.UpstreamID]ident.Incarnation
}

func (f *fleet) init() {
	f.byID = map[ident.UpstreamID]int{}
	f.leavingIncarnations = map[ident.UpstreamID]ident.Incarnation{}
}

// upstream returns the upstream with the given ID, nil if it is not in the view.
func (f *fleet) upstream(id ident.UpstreamID) *Upstream {
	i, ok := f.byID[id]
	if !ok {
		return nil
	}
	return &f.view.Upstreams[i]
}

// replace installs a new view. For upstreams that are still the same process it
// keeps the state that this instance has recorded.
func (f *fleet) replace(v *View, now time.Time) {
	old := f.view.Upstreams
	next := *v
	next.Upstreams = append([]Upstream(nil), v.Upstreams...)
	next.Instances = append([]Instance(nil), v.Instances...)
	index := make(map[ident.UpstreamID]int, len(next.Upstreams))
	for i := range next.Upstreams {
		u := &next.Upstreams[i]
		u.Index = i
		index[u.ID] = i
		f.carryOver(u, old, now)
		f.restoreLeaving(u)
	}
	f.view = next
	f.byID = index
}

// carryOver copies the state that this instance has recorded from the upstream's
// entry in the old view, if that is the same incarnation.
func (f *fleet) carryOver(u *Upstream, old []Upstream, now time.Time) {
	u.LocalLoad = LocalLoad{}
	u.Health = Health{}
	if len(old) > 0 {
		// The upstream is new in the fleet and gets slow start. In the first
		// view it is not known which upstreams are new, so none gets it.
		u.Health.AvailableSince = now
	}
	i, ok := f.byID[u.ID]
	if !ok {
		return
	}
	prev := &old[i]
	if u.Incarnation != 0 && u.Incarnation < prev.Incarnation {
		// The view lags: a newer incarnation has been seen already. An agent that
		// has been restarted reports 0 for processes that are older than it.
		u.Incarnation = prev.Incarnation
		u.Liveness = prev.Liveness
		u.SoftwareVersion = prev.SoftwareVersion
	}
	if !sameIncarnation(u.Incarnation, prev.Incarnation) {
		return
	}
	u.LocalLoad = prev.LocalLoad
	u.Health = prev.Health
	if prev.Load.At.After(u.Load.At) {
		u.Load = prev.Load
	}
}

// restoreLeaving makes the state Leaving sticky: once any source has reported
// that an incarnation is leaving, a view that is older cannot undo it.
func (f *fleet) restoreLeaving(u *Upstream) {
	if u.Liveness == Leaving {
		f.leavingIncarnations[u.ID] = u.Incarnation
		return
	}
	inc, left := f.leavingIncarnations[u.ID]
	if left && inc == u.Incarnation && u.Liveness < Leaving {
		u.Liveness = Leaving
	}
}

// applyDeclarations copies the bundle's declarations into the view's upstreams
// and rebuilds the indexes by model and service. Upstreams that the bundle does
// not declare are not indexed.
func (f *fleet) applyDeclarations(c *config.Content) {
	specs := make(map[ident.UpstreamID]*config.Upstream, len(c.Upstreams))
	for i := range c.Upstreams {
		specs[c.Upstreams[i].ID] = &c.Upstreams[i]
	}
	f.prefills = map[string][]int{}
	f.decodes = map[string][]int{}
	f.services = map[string][]int{}
	for i := range f.view.Upstreams {
		u := &f.view.Upstreams[i]
		spec, ok := specs[u.ID]
		if !ok {
			continue
		}
		u.Spec = *spec
		f.addToIndexes(i, spec)
	}
}

// addToIndexes adds the upstream at index i to the indexes of the models or the
// service that it is declared to run.
func (f *fleet) addToIndexes(i int, spec *config.Upstream) {
	switch spec.Role {
	case config.RolePrefill:
		for _, m := range spec.Models {
			f.prefills[m] = append(f.prefills[m], i)
		}
	case config.RoleDecode:
		for _, m := range spec.Models {
			f.decodes[m] = append(f.decodes[m], i)
		}
	case config.RoleService:
		f.services[spec.Service] = append(f.services[spec.Service], i)
	}
}

// markLeaving records that an upstream itself has said that it is leaving.
func (f *fleet) markLeaving(u *Upstream) {
	f.leavingIncarnations[u.ID] = u.Incarnation
	if u.Liveness < Leaving {
		u.Liveness = Leaving
	}
}

func (k *Kernel) viewChanged(v *View) {
	k.fleet.replace(v, k.now)
	if k.catalog.content != nil {
		k.fleet.applyDeclarations(k.catalog.content)
	}
	if v.Trusted {
		k.distrustUntil = time.Time{}
	}
	k.dirty = true
	k.learnVersions()
	k.dropLostWork()
	k.endOrphans()
}

// dropLostWork abandons the attempts and drops the cancels on upstream
// incarnations that are known to have ended, since they hold no resources any
// more.
func (k *Kernel) dropLostWork() {
	for _, a := range k.attemptsInOrder() {
		if !k.incarnationEnded(a.upstream, a.incarnation) {
			continue
		}
		if a.abandoned {
			continue
		}
		a.abandoned = true
		k.emit(AbandonAttempt{Attempt: a.id})
	}
	for id, c := range k.cancels {
		if k.incarnationEnded(c.upstream, c.incarnation) {
			delete(k.cancels, id)
		}
	}
}

// incarnationEnded reports whether the given incarnation of an upstream is
// known to have ended. An upstream that is not in the view is not known to have
// ended.
func (k *Kernel) incarnationEnded(id ident.UpstreamID, inc ident.Incarnation) bool {
	u := k.fleet.upstream(id)
	if u == nil {
		return false
	}
	return u.Liveness == Dead || !sameIncarnation(u.Incarnation, inc)
}

// sameIncarnation reports whether two incarnations may be the same process. The
// incarnation is 0 while no agent has read it from the upstream yet, so that 0
// matches every incarnation.
func sameIncarnation(a, b ident.Incarnation) bool { return a == b || a == 0 || b == 0 }

func (k *Kernel) loadSeen(e LoadReported) {
	u := k.fleet.upstream(e.Upstream)
	if u == nil || e.Load.At.Before(u.Load.At) {
		return
	}
	u.Load = e.Load
	k.dirty = true
}

func (k *Kernel) cacheChanged(e CacheChanged) {
	u := k.fleet.upstream(e.Upstream)
	if u == nil || k.prefix == nil {
		return
	}
	k.prefix.Apply(u, e)
}
