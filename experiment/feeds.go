package experiment

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/tokens"
)

// Timing and loss of load reports and cache events.
const (
	// loadPeriod is the interval between two load reports of an upstream.
	loadPeriod = 500 * time.Millisecond
	// defaultLoadLag is the default age of a load report on arrival.
	defaultLoadLag = 500 * time.Millisecond
	// cacheLag is the age of a cache event on arrival.
	cacheLag = 500 * time.Millisecond
	// cacheLoss is the fraction of cache events that are lost before
	// publication.
	cacheLoss = 0.05
	// resyncAfter is the time that a reader needs to notice a gap in the events
	// and to read the whole cache.
	resyncAfter = time.Second
)

// feeds delivers load reports and cache events to the instances.
type feeds struct{ w *world }

// start schedules the load reports, with a different phase for each upstream.
func (f *feeds) start() {
	if f.w.ideal != nil {
		return
	}
	for i, id := range f.w.upstreamOrder {
		phase := loadPeriod * time.Duration(i) / time.Duration(len(f.w.upstreamOrder))
		f.w.clock.at(phase, func() { f.reportLoad(f.w.backends[id]) })
	}
}

// reportLoad publishes the current load of one upstream and schedules the next
// report.
func (f *feeds) reportLoad(b backend) {
	f.w.clock.after(loadPeriod, func() { f.reportLoad(b) })
	if b.base().alive {
		f.publish(b, f.w.cell.LoadLag, kernel.LoadReported{Upstream: b.base().spec.ID, Load: b.load()})
	}
}

// publish delivers an event to all instances that can reach its upstream.
func (f *feeds) publish(b backend, lag time.Duration, ev kernel.Event) {
	f.w.clock.after(lag, func() {
		for _, inst := range f.w.instances {
			if f.w.net.connected(inst.zone, b.base().zone) {
				inst.process.receive(ev)
			}
		}
	})
}

// cacheChanged publishes a change of a prefix cache. If the event is lost, the
// readers read the whole cache later instead.
func (f *feeds) cacheChanged(e *prefillEngine, added, evicted []tokens.BlockHash) {
	if f.w.ideal != nil || len(added)+len(evicted) == 0 {
		return
	}
	if f.w.rng.Float64() >= cacheLoss {
		f.publish(e, cacheLag, kernel.CacheChanged{
			Upstream: e.spec.ID,
			Stored:   toUint64s(added),
			Removed:  toUint64s(evicted),
		})
		return
	}
	f.w.clock.after(cacheLag+resyncAfter, func() {
		f.publish(e, 0, kernel.CacheChanged{
			Upstream: e.spec.ID,
			Cleared:  true,
			Stored:   toUint64s(e.cache.Hashes()),
		})
	})
}

func toUint64s(hashes []tokens.BlockHash) []uint64 {
	plain := make([]uint64, len(hashes))
	for i, h := range hashes {
		plain[i] = uint64(h)
	}
	return plain
}
