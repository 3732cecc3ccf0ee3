package fleet

import (
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// AnnounceLeaving records that an upstream has said that it leaves. source is where this instance
// learned of it, for the log.
func (n *Node) AnnounceLeaving(u dialect.Upstream, source string) {
	n.mu.Lock()
	isNew := n.view.AnnounceLeaving(u.ID, u.Incarnation)
	n.mu.Unlock()
	if isNew {
		n.opts.Log.Info("upstream says that it leaves", "upstream", u.ID, "address", u.Address, "service", u.Service,
			"incarnation", u.Incarnation, "source", source)
	}
}

// AnnounceLeaving records that an incarnation of an upstream has said that it leaves. It reports
// whether that is new: the upstream is listed, and the list does not say so yet.
func (v *View) AnnounceLeaving(id ident.UpstreamID, incarnation ident.Incarnation) bool {
	e := v.entries[id]
	if e == nil || e.gone || e.upstream.Incarnation != incarnation || e.upstream.Leaving {
		return false
	}
	if known, ok := v.announced[id]; ok && known == incarnation {
		return false
	}
	v.announced[id] = incarnation
	return true
}
