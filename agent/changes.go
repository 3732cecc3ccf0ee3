package agent

import (
	"time"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
)

// nextView returns the next view to send to the entry: the changes since the last
// one if the entry holds that one, otherwise the full view.
func (a *Agent) nextView() *feed.View {
	f := &a.feed
	f.number++
	full := a.feedView()
	full.Number = f.number
	next := full
	if f.sent != nil && f.reply.View == f.sent.Number && sameEntries(f.sent, full) {
		next = changes(f.sent, full, a.now.Sub(f.agesAt))
	}
	f.sent, f.agesAt = full, a.now
	return next
}

// sameEntries reports whether two views list the same instances and upstreams in
// the same order.
func sameEntries(before, after *feed.View) bool {
	if len(before.Instances) != len(after.Instances) || len(before.Upstreams) != len(after.Upstreams) {
		return false
	}
	for i := range after.Instances {
		if before.Instances[i].ID != after.Instances[i].ID {
			return false
		}
	}
	for i := range after.Upstreams {
		if before.Upstreams[i].ID != after.Upstreams[i].ID {
			return false
		}
	}
	return true
}

// changes returns the difference between two views of the same entries. elapsed
// is the time between them.
func changes(before, after *feed.View, elapsed time.Duration) *feed.View {
	out := &feed.View{
		Version: after.Version, Number: after.Number, Base: before.Number, Trusted: after.Trusted,
		Instances: []feed.Instance{}, Upstreams: []feed.Upstream{},
	}
	for i := range after.Instances {
		if after.Instances[i] != before.Instances[i] {
			out.Instances = append(out.Instances, after.Instances[i])
		}
	}
	for i := range after.Upstreams {
		if !sameUpstream(&before.Upstreams[i], &after.Upstreams[i], elapsed) {
			out.Upstreams = append(out.Upstreams, after.Upstreams[i])
		}
	}
	return out
}

// ageRounding is the largest apparent change of a report's age, in milliseconds,
// that is attributed to rounding. Reports are at least a second apart.
const ageRounding = 2

// sameUpstream reports whether an upstream is unchanged, apart from its load
// report having aged by elapsed.
func sameUpstream(before, after *feed.Upstream, elapsed time.Duration) bool {
	prev, next := *before, *after
	drift := next.LoadAgeMS - prev.LoadAgeMS - elapsed.Milliseconds()
	prev.Load, prev.LoadAgeMS, next.Load, next.LoadAgeMS = nil, 0, nil, 0
	if prev != next || !sameLoad(before.Load, after.Load) {
		return false
	}
	return after.Load == nil || drift >= -ageRounding && drift <= ageRounding
}

func sameLoad(x, y *kernel.Load) bool {
	if x == nil || y == nil {
		return x == y
	}
	return *x == *y
}
