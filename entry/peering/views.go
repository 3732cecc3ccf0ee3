package peering

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// ViewCache holds the newest view, so that the agent needs to send only changes to it. The
// zero value is empty. It is safe for concurrent use.
type ViewCache struct {
	mu     sync.Mutex
	number uint64
	// view is never returned, only copies of it, because receivers may modify them.
	view      kernel.View
	addresses map[ident.InstanceID]string
	// instanceIndex and upstreamIndex map IDs to indexes in the lists of the view.
	instanceIndex map[ident.InstanceID]int
	upstreamIndex map[ident.UpstreamID]int
}

// Number returns the number of the view held, 0 if there is none.
func (w *ViewCache) Number() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.number
}

// Apply stores a view or applies changes to the one held. It returns a copy of the whole
// view, which the caller may modify, and the addresses at which its instances accept
// calls. It returns false if the changes have another view as their base or concern
// unknown members. The reply to the agent names the view held, and the agent then
// sends the view in full.
func (w *ViewCache) Apply(v *feed.View, now time.Time) (*kernel.View, map[ident.InstanceID]string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Base != 0 && (v.Base != w.number || !w.containsAll(v)) {
		return nil, nil, false
	}
	if v.Base == 0 {
		w.replace(v, now)
	} else {
		w.applyChanges(v, now)
	}
	w.number = v.Number
	out := w.view
	out.Instances = slices.Clone(w.view.Instances)
	out.Upstreams = slices.Clone(w.view.Upstreams)
	return &out, maps.Clone(w.addresses), true
}

// containsAll reports whether the view held has all instances and upstreams that changed.
func (w *ViewCache) containsAll(v *feed.View) bool {
	for i := range v.Instances {
		if _, ok := w.instanceIndex[v.Instances[i].ID]; !ok {
			return false
		}
	}
	for i := range v.Upstreams {
		if _, ok := w.upstreamIndex[v.Upstreams[i].ID]; !ok {
			return false
		}
	}
	return true
}

// replace stores a whole view.
func (w *ViewCache) replace(v *feed.View, now time.Time) {
	w.view = *KernelView(v, now)
	w.addresses = Addresses(v)
	w.instanceIndex = make(map[ident.InstanceID]int, len(v.Instances))
	for i := range v.Instances {
		w.instanceIndex[v.Instances[i].ID] = i
	}
	w.upstreamIndex = make(map[ident.UpstreamID]int, len(v.Upstreams))
	for i := range v.Upstreams {
		w.upstreamIndex[v.Upstreams[i].ID] = i
	}
}

// applyChanges applies changes to the view held.
func (w *ViewCache) applyChanges(v *feed.View, now time.Time) {
	part := KernelView(v, now)
	w.view.Version, w.view.Trusted = part.Version, part.Trusted
	for i, in := range part.Instances {
		w.view.Instances[w.instanceIndex[in.ID]] = in
		w.addresses[in.ID] = v.Instances[i].PeerAddress
	}
	for _, u := range part.Upstreams {
		u.Index = w.upstreamIndex[u.ID]
		w.view.Upstreams[u.Index] = u
	}
}
