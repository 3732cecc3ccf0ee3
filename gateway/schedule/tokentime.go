package schedule

import (
	"maps"
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// minTokenTime is the lower bound of the first bucket of times per token, tokenTimeRatio the
	// ratio between the bounds of adjacent buckets, and tokenTimeBuckets their number, which covers
	// up to 1.1 s. Known engines take 0.6 to 7.7 ms.
	minTokenTime     = 10 * time.Microsecond
	tokenTimeRatio   = 1.2
	tokenTimeBuckets = 64
	// minBucketDifference is the number of buckets from which two times per token count as
	// different. Two engines of equal pace may be in adjacent buckets.
	minBucketDifference = 2
	// engineTokenTimeWeight is the weight of one event in the moving average of an engine's time
	// per token. The first events have equal weights.
	engineTokenTimeWeight = 0.1
	// minTokenTimeEvents is the number of events from which a measured time per token is used.
	minTokenTimeEvents = 3
	// maxTokenTimeChange limits one event's time per token relative to the moving average. Events
	// take up to 2.5 times as long at slow engines, but more than 6 times as long when the engine
	// pauses for 300 ms or more, for example to compute a preempted request again.
	maxTokenTimeChange = 4
	// tokenTimeTTL is how long an engine's time per token, as measured by this instance, takes
	// precedence over that of peers.
	tokenTimeTTL = 5 * time.Second
	// tokenTimeExpiry is the age at which a measured time per token no longer counts. It limits
	// how long an engine is avoided after a slow period.
	tokenTimeExpiry = 30 * time.Second
	// tellDuration is how long a time per token is included in load reports, which are sent about
	// every 300 ms and may be lost.
	tellDuration = 2 * time.Second
	// tellInterval is the age from which peers' knowledge of a time per token is renewed, before
	// it expires.
	tellInterval = 25 * time.Second
)

// TokenTime is the time per output token of an engine, as instances tell each other.
type TokenTime struct {
	// Bucket is the 1-based logarithmic bucket of the time; 0 if unknown.
	Bucket int
	// Incarnation is the incarnation of the engine that was measured.
	Incarnation ident.Incarnation
}

// bucketTimes holds the geometric mean of each bucket's bounds, in seconds.
var bucketTimes = func() (times [tokenTimeBuckets]float64) {
	for i := range times {
		times[i] = minTokenTime.Seconds() * math.Pow(tokenTimeRatio, float64(i)+0.5)
	}
	return times
}()

// tokenTimeBucket returns the 1-based bucket of a time per token in seconds. Times outside the
// range are in the first or the last bucket.
func tokenTimeBucket(seconds float64) int {
	if seconds <= minTokenTime.Seconds() {
		return 1
	}
	i := math.Log(seconds/minTokenTime.Seconds()) / math.Log(tokenTimeRatio)
	return 1 + int(math.Min(tokenTimeBuckets-1, i))
}

// bucketsDiffer reports whether the times per token of two buckets count as different.
func bucketsDiffer(a, b int) bool { return max(a-b, b-a) >= minBucketDifference }

// datedBucket is a bucket of the time per token and when it was measured or told; 0 if unknown.
type datedBucket struct {
	bucket int
	at     time.Time
}

// younger reports whether the bucket is known and younger than a limit.
func (d datedBucket) younger(now time.Time, limit time.Duration) bool {
	return d.bucket > 0 && now.Sub(d.at) < limit
}

// engineTokenTime is what is known of an engine's time per token.
type engineTokenTime struct {
	// own is the bucket of seconds, the moving average measured by this instance. events is the
	// number of events since the average was started.
	own     datedBucket
	seconds float64
	events  int
	// peer is the value that was last heard from a peer, told the one that was last told to
	// peers. toldSince is when told was first told.
	peer, told datedBucket
	toldSince  time.Time
}

// earlyTokenTime is a peer's value for an engine or incarnation of which there is no record yet.
// Peers tell a value for tellDuration only, which may be before this instance's first placement.
type earlyTokenTime struct {
	datedBucket
	incarnation ident.Incarnation
}

// takeEarlyTokenTime gives a new record what peers told before it was created. The caller holds mu.
func (b *Scheduler) takeEarlyTokenTime(rec *upstreamRecord) {
	early, ok := b.earlyTokenTimes[rec.up.ID]
	if ok && early.incarnation == rec.up.Incarnation {
		rec.knownTokenTime().peer = early.datedBucket
		delete(b.earlyTokenTimes, rec.up.ID)
	}
}

// observe records an event's time per token in seconds. mean is that of the service. The average
// starts again after it has been stale, since the engine's pace may have changed meanwhile.
func (t *engineTokenTime) observe(now time.Time, measured, mean float64) {
	if !t.own.younger(now, tokenTimeTTL) {
		t.events, t.seconds = 0, mean
	}
	t.events++
	measured = math.Min(maxTokenTimeChange*t.seconds, math.Max(t.seconds/maxTokenTimeChange, measured))
	t.seconds += math.Max(engineTokenTimeWeight, 1/float64(t.events)) * (measured - t.seconds)
	t.own = datedBucket{bucket: tokenTimeBucket(t.seconds), at: now}
}

// measured reports whether this instance has measured the engine, at most limit ago.
func (t *engineTokenTime) measured(now time.Time, limit time.Duration) bool {
	return t.events >= minTokenTimeEvents && t.own.younger(now, limit)
}

// best returns the engine's time per token in seconds and its bucket, or 0 if it is unknown.
func (t *engineTokenTime) best(now time.Time) (seconds float64, bucket int) {
	switch {
	case t == nil:
		return 0, 0
	case t.measured(now, tokenTimeTTL):
		return t.seconds, t.own.bucket
	case t.peer.younger(now, tokenTimeExpiry):
		return bucketTimes[t.peer.bucket-1], t.peer.bucket
	case t.measured(now, tokenTimeExpiry):
		return t.seconds, t.own.bucket
	default:
		return 0, 0
	}
}

// toTell returns the bucket to tell peers now, 0 if there is none, and records that it is told.
// mean is the bucket of the service's mean.
func (t *engineTokenTime) toTell(now time.Time, mean int) int {
	telling := t.told.bucket > 0 && now.Sub(t.toldSince) < tellDuration && !bucketsDiffer(t.own.bucket, t.told.bucket)
	if !telling {
		known := t.told
		if t.peer.at.After(known.at) {
			known = t.peer
		}
		switch {
		case known.younger(now, tellInterval) && !bucketsDiffer(t.own.bucket, known.bucket):
			return 0
		case !known.younger(now, tokenTimeExpiry) && !bucketsDiffer(t.own.bucket, mean):
			return 0
		case !bucketsDiffer(t.own.bucket, mean) && !bucketsDiffer(t.own.bucket, known.bucket):
			return 0
		}
		t.toldSince = now
		t.told.bucket = t.own.bucket
	}
	t.told.at = now
	return t.told.bucket
}

// knownTokenTime returns what is known of the engine's time per token and creates it if needed. The
// caller holds mu.
func (rec *upstreamRecord) knownTokenTime() *engineTokenTime {
	if rec.tokenTime == nil {
		rec.tokenTime = &engineTokenTime{}
	}
	return rec.tokenTime
}

// observeEngineTokenTime records how long a running stream took for a number of tokens at an
// engine. The caller holds mu.
func (b *Scheduler) observeEngineTokenTime(now time.Time, rec *upstreamRecord, took time.Duration, tokens int) {
	if took <= 0 || tokens <= 0 {
		return
	}
	mean := b.performanceOf(rec.up.Service).tokenTime
	rec.knownTokenTime().observe(now, took.Seconds()/float64(tokens), mean)
	b.timed[rec.up.ID] = true
}

// OwnTokenTimes returns the times per token to tell peers now, as measured by this instance: those
// that differ from the service's mean, or from what peers are believed to know. Each one is
// returned for tellDuration, and again before peers forget it.
func (b *Scheduler) OwnTokenTimes(now time.Time) map[ident.UpstreamID]TokenTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out map[ident.UpstreamID]TokenTime
	for id := range b.timed {
		rec := b.records[id]
		if rec == nil || rec.tokenTime == nil || !rec.tokenTime.own.younger(now, tokenTimeTTL) {
			delete(b.timed, id)
			continue
		}
		if !rec.tokenTime.measured(now, tokenTimeTTL) {
			continue
		}
		mean := tokenTimeBucket(b.performanceOf(rec.up.Service).tokenTime)
		if bucket := rec.tokenTime.toTell(now, mean); bucket > 0 {
			if out == nil {
				out = map[ident.UpstreamID]TokenTime{}
			}
			out[id] = TokenTime{Bucket: bucket, Incarnation: rec.up.Incarnation}
		}
	}
	return out
}

// SetPeerTokenTimes records the times per token that peers have told since the last call. Engines
// that are not in the map keep their former values until these expire. Values of former
// incarnations or outside the range are ignored.
func (b *Scheduler) SetPeerTokenTimes(now time.Time, peers map[ident.UpstreamID]TokenTime) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range peers {
		if t.Bucket <= 0 || t.Bucket > tokenTimeBuckets {
			continue
		}
		value := datedBucket{bucket: t.Bucket, at: now}
		switch rec := b.records[id]; {
		case rec == nil || rec.up.Restarted(t.Incarnation):
			b.earlyTokenTimes[id] = earlyTokenTime{datedBucket: value, incarnation: t.Incarnation}
		case rec.up.Incarnation == t.Incarnation:
			rec.knownTokenTime().peer = value
		}
	}
	maps.DeleteFunc(b.earlyTokenTimes, func(_ ident.UpstreamID, t earlyTokenTime) bool {
		return !t.younger(now, tokenTimeExpiry)
	})
}

// tokenTimeOf returns the time per output token of an engine, in seconds: the service's mean if it
// is unknown. The caller holds mu.
func (b *Scheduler) tokenTimeOf(now time.Time, rec *upstreamRecord) float64 {
	if seconds, _ := rec.tokenTime.best(now); seconds > 0 {
		return seconds
	}
	return b.performanceOf(rec.up.Service).tokenTime
}

// EngineCapacity is the capacity of an engine in each stage, relative to the mean: of the service's
// prefill engines, and of an engine with the service's mean time per token.
type EngineCapacity struct {
	Prefill, Decode float64
}

// EngineCapacities returns the capacities of the engines of a list. Engines of unknown pace have the
// capacity 1. It returns nil if no engine's time per token differs from the service's mean.
func (b *Scheduler) EngineCapacities(now time.Time, list []dialect.Upstream) map[ident.UpstreamID]EngineCapacity {
	meanThroughput := b.MeanRelativeThroughput(now, list)
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.performanceOf(serviceOf(list)).tokenTime
	meanBucket := tokenTimeBucket(mean)
	differ := false
	out := map[ident.UpstreamID]EngineCapacity{}
	for _, u := range list {
		rec := b.recordOf(u)
		c := EngineCapacity{Prefill: 1, Decode: 1}
		if rec.prefillThroughput(now) > 0 {
			c.Prefill = 1 / b.slowdown(now, rec) / meanThroughput
		}
		if seconds, bucket := rec.tokenTime.best(now); bucket > 0 && bucketsDiffer(bucket, meanBucket) {
			c.Decode, differ = mean/seconds, true
		}
		out[u.ID] = c
	}
	if !differ {
		return nil
	}
	return out
}
