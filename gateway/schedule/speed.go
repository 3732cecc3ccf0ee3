package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// throughputTTL is how long the throughput of an engine's fastest prompt takes precedence over
// slower measurements, which may include queueing time. It delays the detection of an engine
// that becomes slow.
const throughputTTL = 5 * time.Second

// throughputExpiry is the age at which a measured throughput no longer counts. It ensures that
// an engine that looked slow because of its queue, and therefore gets no prompts, is tried
// again.
const throughputExpiry = 20 * time.Second

// maxRelativeThroughput is the maximum of an engine's throughput relative to the service's,
// since a prompt that is still in the engine's cache takes almost no time.
const maxRelativeThroughput = 1.3

// measuredThroughput is the measured throughput of a prefill engine, as a 1-based bucket of
// a ThroughputHistogram; 0 if unknown.
type measuredThroughput struct {
	bucket int
	at     time.Time
}

// fresh reports whether the throughput is known and its measurement younger than throughputTTL.
func (p measuredThroughput) fresh(now time.Time) bool {
	return p.bucket > 0 && now.Sub(p.at) < throughputTTL
}

// known reports whether the throughput is known and its measurement younger than
// throughputExpiry.
func (p measuredThroughput) known(now time.Time) bool {
	return p.bucket > 0 && now.Sub(p.at) < throughputExpiry
}

// update records a measurement. One below the current value is ignored while that is fresh.
func (p *measuredThroughput) update(now time.Time, bucket int) {
	if bucket > 0 && (bucket >= p.bucket || !p.fresh(now)) {
		*p = measuredThroughput{bucket: bucket, at: now}
	}
}

// ObservePrefillThroughput records how long an engine took for a prompt and updates the engine's
// throughput.
func (b *Scheduler) ObservePrefillThroughput(now time.Time, u dialect.Upstream, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	throughput := float64(tokens) / took.Seconds()
	if p := &b.performanceOf(u.Service).prefill; p.measured() {
		// The throughput is relative to the usual time for a prompt of this length, which
		// includes the fixed time per prompt.
		relative := p.time(tokens).Seconds() / took.Seconds()
		throughput = math.Min(relative, maxRelativeThroughput) * p.overallThroughput()
	}
	b.active[u.ID] = true
	b.recordOf(u).ownThroughput.update(now, throughputBucket(throughput)+1)
}

// prefillThroughput returns a prefill engine's throughput in tokens per second, as measured by
// all instances; 0 if unknown. A fresh measurement takes precedence over a stale one, then the
// faster one. The caller holds mu.
func (rec *upstreamRecord) prefillThroughput(now time.Time) float64 {
	own, peer := rec.ownThroughput, rec.peerThroughput
	best := own
	switch {
	case own.fresh(now) == peer.fresh(now) && peer.bucket > own.bucket:
		best = peer
	case !own.fresh(now) && peer.fresh(now):
		best = peer
	}
	if !best.known(now) {
		return 0
	}
	return bucketThroughput(best.bucket - 1)
}

// slowdown returns the ratio of the service's throughput to the engine's, at least 1. It is 1
// if either is unknown. The caller holds mu.
func (b *Scheduler) slowdown(now time.Time, rec *upstreamRecord) float64 {
	throughput := rec.prefillThroughput(now)
	p := &b.performanceOf(rec.up.Service).prefill
	if throughput == 0 || !p.measured() {
		return 1
	}
	return math.Max(1, p.overallThroughput()/throughput)
}

// MeanRelativeThroughput returns the mean throughput of the prefill engines of a list, relative to
// the service's throughput, which is close to that of its fastest engines. It is 1 if the list
// has no prefill engines.
func (b *Scheduler) MeanRelativeThroughput(now time.Time, list []dialect.Upstream) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	engines := prefillEngines(list)
	if len(engines) == 0 {
		return 1
	}
	sum := 0.0
	for _, u := range engines {
		sum += 1 / b.slowdown(now, b.recordOf(u))
	}
	return sum / float64(len(engines))
}
