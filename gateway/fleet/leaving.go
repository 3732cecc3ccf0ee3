package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// announcementTTL is how long an instance tells its peers that an upstream has said that it leaves.
// The list says so by then unless the store is down, and an upstream serves on for some seconds only.
const announcementTTL = time.Minute

// announcement records that an incarnation of an upstream has said that it leaves. That is final.
type announcement struct {
	incarnation ident.Incarnation
	// at is when it became known, or when the upstream last said so to this instance itself. own means
	// that it has done so.
	at  time.Time
	own bool
}

// AnnounceLeaving records that an upstream has said that it leaves, and publishes a snapshot in
// which it does. own means that it has said so to this instance itself, and not to a peer.
func (n *Node) AnnounceLeaving(u dialect.Upstream, own bool) {
	n.mu.Lock()
	isNew := n.view.AnnounceLeaving(clock.Now(), u.ID, u.Incarnation, own)
	n.mu.Unlock()
	if !isNew {
		return
	}
	n.publish()
	n.opts.Log.Info("upstream says that it leaves", "upstream", u.ID, "address", u.Address, "service", u.Service,
		"incarnation", u.Incarnation, "to_peer", !own)
}

// OwnAnnouncements returns the upstreams that have said to this instance itself that they leave, with
// their incarnations.
func (n *Node) OwnAnnouncements(now time.Time) map[ident.UpstreamID]ident.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[ident.UpstreamID]ident.Incarnation{}
	for id, a := range n.view.announced {
		if a.own && now.Sub(a.at) < announcementTTL {
			out[id] = a.incarnation
		}
	}
	return out
}

// AnnounceLeaving records that an incarnation of an upstream has said that it leaves, and reports
// whether that is new. It is ignored for upstreams that are not known, or known in a newer
// incarnation.
func (v *View) AnnounceLeaving(now time.Time, id ident.UpstreamID, incarnation ident.Incarnation, own bool) bool {
	e := v.entries[id]
	if e == nil || incarnation < e.upstream.Incarnation {
		return false
	}
	known, ok := v.announced[id]
	if ok && known.incarnation > incarnation {
		return false
	}
	if ok && known.incarnation == incarnation {
		if own {
			v.announced[id] = announcement{incarnation: incarnation, at: now, own: true}
		}
		return false
	}
	v.announced[id] = announcement{incarnation: incarnation, at: now, own: own}
	return true
}

// withAnnounced returns the lists, in which the upstreams that have said so are leaving. Lists
// without such upstreams are shared.
func (v *View) withAnnounced() map[string][]dialect.Upstream {
	lists, cloned := v.lists, map[string]bool{}
	for id, a := range v.announced {
		e := v.entries[id]
		if e == nil || e.gone || e.upstream.Leaving || e.upstream.Incarnation != a.incarnation {
			continue
		}
		service := e.upstream.Service
		if len(cloned) == 0 {
			lists = maps.Clone(lists)
		}
		if !cloned[service] {
			lists[service] = slices.Clone(lists[service])
			cloned[service] = true
		}
		if i, found := searchID(lists[service], id); found {
			lists[service][i].Leaving = true
		}
	}
	return lists
}
