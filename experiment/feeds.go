package experiment

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/tokens"
)

// How load reports and cache events lag.
const (
	// loadPeriod is the time between two load reports of an upstream.
	loadPeriod = 500 * time.Millisecond
	// usualLoadLag is the age of a report on arrival.
	usualLoadLag = 500 * time.Millisecond
	// cacheLag is the age of a cache event on arrival.
	cacheLag = 500 * time.Millisecond
	// cacheLoss is the share of cache events that are never published.
	cacheLoss = 0.05
	// resyncAfter is when a reader has noticed the gap and read the whole cache.
	resyncAfter = time.Second
)

// feeds brings load reports and cache events to the instances.
type feeds struct{ w *world }

// start begins the load reports, each upstream's at its own phase.
func (f *feeds) start() {
	if f.w.ideal != nil {
		return
	}
	for i, id := range f.w.order {
		phase := loadPeriod * time.Duration(i) / time.Duration(len(f.w.order))
		f.w.clock.at(phase, func() { f.reportLoad(f.w.backends[id]) })
	}
}

// reportLoad reports one upstream's load now and comes back for the next.
func (f *feeds) reportLoad(b backend) {
	f.w.clock.after(loadPeriod, func() { f.reportLoad(b) })
	if b.base().alive {
		f.publish(b, f.w.cell.LoadLag, kernel.LoadReported{Upstream: b.base().spec.ID, Load: b.load()})
	}
}

// publish brings an event to all instances that can reach its upstream.
func (f *feeds) publish(b backend, lag time.Duration, ev kernel.Event) {
	f.w.clock.after(lag, func() {
		for _, inst := range f.w.instances {
			if f.w.net.connected(inst.zone, b.base().zone) {
				inst.life.receive(ev)
			}
		}
	})
}

// cacheChanged publishes a change of a prefix cache, or loses it and has the
// readers read the whole cache later.
func (f *feeds) cacheChanged(e *prefillEngine, added, evicted []tokens.BlockHash) {
	if f.w.ideal != nil || len(added)+len(evicted) == 0 {
		return
	}
	if f.w.rng.Float64() >= cacheLoss {
		f.publish(e, cacheLag, kernel.CacheChanged{
			Upstream: e.spec.ID,
			Stored:   plainHashes(added),
			Removed:  plainHashes(evicted),
		})
		return
	}
	f.w.clock.after(cacheLag+resyncAfter, func() {
		f.publish(e, 0, kernel.CacheChanged{
			Upstream: e.spec.ID,
			Cleared:  true,
			Stored:   plainHashes(e.cache.Hashes()),
		})
	})
}

func plainHashes(hashes []tokens.BlockHash) []uint64 {
	plain := make([]uint64, len(hashes))
	for i, h := range hashes {
		plain[i] = uint64(h)
	}
	return plain
}
