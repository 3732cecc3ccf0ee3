package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/membership"
)

// currentView returns the view of the last refresh, creating one if there is
// none.
func (a *Agent) currentView() *membership.View {
	if a.view == nil {
		a.view = a.machine.View(a.now)
	}
	return a.view
}

// viewInterval returns the minimum time between two refreshes of the view after
// ordinary changes; the cost of a refresh grows with the fleet.
func (a *Agent) viewInterval() time.Duration {
	entries := len(a.view.Instances) + len(a.view.Upstreams)
	return tickInterval + viewPerEntry*time.Duration(entries)
}

// viewPerEntry is added to the interval for each instance and upstream.
const viewPerEntry = time.Millisecond

// refreshView takes a new view from the membership machine and updates the
// planners if more than loads and ages changed.
func (a *Agent) refreshView() {
	a.viewDirty = false
	a.view = a.machine.View(a.now)
	a.recordIncarnations()
	if shape := viewFingerprint(a.view); shape != a.feed.fingerprint {
		a.feed.fingerprint = shape
		a.feed.urgent = true
		a.updatePlanners()
		a.assignLoads()
	}
}

// viewFingerprint returns a fingerprint of a view without loads and ages. Suspect
// counts as alive: both states get work, and many processes become suspect when
// there have been no heartbeats for a while.
func viewFingerprint(v *membership.View) uint64 {
	h := xxhash.New()
	number := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		// Writes to a Digest never fail.
		_, _ = h.Write(b[:])
	}
	flag := func(f bool) {
		if f {
			number(1)
			return
		}
		number(0)
	}
	flag(v.Trusted)
	for i := range v.Instances {
		in := &v.Instances[i]
		_, _ = h.WriteString(string(in.ID))
		_, _ = h.WriteString(in.Address)
		number(uint64(in.Incarnation))
		number(uint64(max(in.State, membership.Suspect)))
		flag(in.Leaving)
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		_, _ = h.WriteString(string(u.ID))
		_, _ = h.WriteString(u.Address)
		_, _ = h.WriteString(u.SoftwareVersion)
		number(uint64(u.Incarnation))
		number(uint64(max(u.State, membership.Suspect)))
		flag(u.Leaving)
		flag(u.Listed)
	}
	return h.Sum64()
}

// selfLiveness returns the liveness of this instance's own entry.
func (a *Agent) selfLiveness() kernel.Liveness {
	if a.view.Leaving {
		return kernel.Leaving
	}
	return kernel.Live
}

// upstreamLiveness returns the liveness of an upstream. One that the platform no
// longer lists gets no new work, but may be listed again.
func upstreamLiveness(u *membership.Upstream) kernel.Liveness {
	liveness := membership.LivenessOf(u.State, u.Leaving)
	if !u.Listed {
		return max(liveness, kernel.Unreachable)
	}
	return liveness
}

// feedView returns the view in the feed's form.
func (a *Agent) feedView() *feed.View {
	v := a.view
	elapsed := a.now.Sub(v.At)
	out := &feed.View{
		Version: v.Version, Trusted: v.Trusted,
		Instances: make([]feed.Instance, 0, len(v.Instances)+1),
		Upstreams: make([]feed.Upstream, 0, len(v.Upstreams)),
	}
	if inc := a.feed.reply.Incarnation; inc != 0 {
		out.Instances = append(out.Instances, feed.Instance{
			ID: a.self.Instance, Zone: a.self.Zone, Incarnation: inc, Liveness: a.selfLiveness(),
			PeerAddress: a.directory.instances[a.self.Instance].entry,
		})
	}
	for i := range v.Instances {
		in := &v.Instances[i]
		out.Instances = append(out.Instances, feed.Instance{
			ID: in.ID, Zone: in.Zone, Incarnation: in.Incarnation,
			Liveness: membership.LivenessOf(in.State, in.Leaving), PeerAddress: a.directory.instances[in.ID].entry,
		})
	}
	for i := range v.Upstreams {
		out.Upstreams = append(out.Upstreams, a.feedUpstream(&v.Upstreams[i], elapsed))
	}
	return out
}

// feedUpstream returns an upstream in the feed's form.
func (a *Agent) feedUpstream(u *membership.Upstream, elapsed time.Duration) feed.Upstream {
	out := feed.Upstream{
		ID: u.ID, Zone: u.Zone, Address: u.Address,
		Incarnation: a.entryIncarnation(u), Liveness: upstreamLiveness(u),
		SoftwareVersion: u.SoftwareVersion,
	}
	if u.HasReport {
		out.Load = &kernel.Load{
			Running: u.Report.Running, Waiting: u.Report.Waiting, Slots: u.Report.Slots,
			PiecesUsed: u.Report.PiecesUsed, PiecesTotal: a.spec(u.ID).Pieces,
			QueuedTokens: u.Report.QueuedTokens,
		}
		out.LoadAgeMS = feed.Age(u.ReportAge + elapsed)
	}
	return out
}

// reportedIncarnation tracks the incarnation of an upstream as reported to the
// entry.
type reportedIncarnation struct {
	// unnumbered is set if the upstream was reported to the entry before its
	// incarnation was known. first is the incarnation that became known first, 0
	// until then.
	unnumbered bool
	first      ident.Incarnation
}

// entryIncarnation returns an upstream's incarnation for the entry. The entry
// takes a changed incarnation as a new process and abandons the attempts on it.
// An upstream that was first reported without an incarnation therefore keeps 0
// until the process whose incarnation became known first is replaced.
func (a *Agent) entryIncarnation(u *membership.Upstream) ident.Incarnation {
	l := a.feed.incarnations[u.ID]
	if l == nil {
		l = &reportedIncarnation{unnumbered: u.Incarnation == 0}
		a.feed.incarnations[u.ID] = l
	}
	if !l.unnumbered {
		return u.Incarnation
	}
	if l.first == 0 {
		l.first = u.Incarnation
	}
	if u.Incarnation == l.first {
		return 0
	}
	return u.Incarnation
}

// updatePlanners passes the view to the planners in the kernel's form.
func (a *Agent) updatePlanners() {
	self := kernel.Self{Instance: a.self.Instance, Incarnation: a.feed.reply.Incarnation, Zone: a.self.Zone}
	v := a.kernelView()
	a.leftoverPlanner.SetView(a.now, self, v)
	a.orderPlanner.SetView(a.now, self, v)
}

// kernelView returns the view in the kernel's form, with the spec of each
// upstream from the bundle or else from the platform's list.
func (a *Agent) kernelView() *kernel.View {
	v := a.view
	out := &kernel.View{
		Version: v.Version, Trusted: v.Trusted && !v.Superseded,
		Instances: make([]kernel.Instance, 0, len(v.Instances)),
		Upstreams: make([]kernel.Upstream, 0, len(v.Upstreams)),
	}
	for i := range v.Instances {
		in := &v.Instances[i]
		out.Instances = append(out.Instances, kernel.Instance{
			ID: in.ID, Zone: in.Zone, Incarnation: in.Incarnation, Liveness: membership.LivenessOf(in.State, in.Leaving),
		})
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		out.Upstreams = append(out.Upstreams, kernel.Upstream{
			Index: i, ID: u.ID, Zone: u.Zone, Address: u.Address,
			Incarnation: u.Incarnation, Liveness: upstreamLiveness(u), Spec: a.spec(u.ID),
			SoftwareVersion: u.SoftwareVersion,
		})
	}
	return out
}

// spec returns an upstream as declared by the bundle, or else as described by the
// platform's list.
func (a *Agent) spec(id ident.UpstreamID) config.Upstream {
	if s := a.loads.specs[id]; s != nil {
		return *s
	}
	u := a.directory.upstreams[id]
	return config.Upstream{ID: id, Role: u.Role, Models: u.Models, Service: u.Service}
}

// setSpecs stores the upstreams that a bundle declares.
func (a *Agent) setSpecs(c *config.Content) {
	a.loads.specs = make(map[ident.UpstreamID]*config.Upstream, len(c.Upstreams))
	for i := range c.Upstreams {
		a.loads.specs[c.Upstreams[i].ID] = &c.Upstreams[i]
	}
}

// isEngine reports whether an upstream is a model engine.
func (a *Agent) isEngine(id ident.UpstreamID) bool {
	role := a.spec(id).Role
	return role == config.RolePrefill || role == config.RoleDecode
}

// findUpstream returns an upstream of the current view, nil if it is not known.
func (a *Agent) findUpstream(id ident.UpstreamID) *membership.Upstream {
	list := a.currentView().Upstreams
	i, ok := slices.BinarySearchFunc(list, id, func(u membership.Upstream, id ident.UpstreamID) int {
		return strings.Compare(string(u.ID), string(id))
	})
	if !ok {
		return nil
	}
	return &list[i]
}
