package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// Bounds of the cache event interface.
const (
	// maxBatches bounds the batches kept for readers.
	maxBatches = 4096
	// maxWait bounds how long a reader may wait.
	maxWait = 60 * time.Second
)

// lossy decides which batches of events are lost.
type lossy struct {
	random *rand.Rand
	share  float64
}

// newLossy returns a decider that loses the given share of batches.
func newLossy(seed uint64, share float64) *lossy {
	return &lossy{random: rand.New(rand.NewPCG(seed, seed)), share: share}
}

// next reports whether the next batch is lost.
func (l *lossy) next() bool { return l.share > 0 && l.random.Float64() < l.share }

// eventLog keeps the cache events of one life. It is guarded by the engine's
// mutex.
type eventLog struct {
	delay time.Duration
	lossy *lossy
	// seq numbers the batches, also the lost ones.
	seq     uint64
	batches []pendingBatch
	changed chan struct{} // closed and replaced when there is a new batch
	closed  bool
}

// pendingBatch is a batch that readers may see from a time on.
type pendingBatch struct {
	CacheBatch
	visible time.Time
	lost    bool
}

// newEventLog returns an empty log.
func newEventLog(delay time.Duration, lossy *lossy) *eventLog {
	return &eventLog{delay: delay, lossy: lossy, changed: make(chan struct{})}
}

// add logs the events of one change.
func (l *eventLog) add(events []CacheEvent) {
	if len(events) == 0 || l.closed {
		return
	}
	now := time.Now()
	l.seq++
	l.batches = append(l.batches, pendingBatch{
		CacheBatch: CacheBatch{Seq: l.seq, AtMS: now.UnixMilli(), Events: events},
		visible:    now.Add(l.delay),
		lost:       l.lossy.next(),
	})
	if len(l.batches) > maxBatches {
		l.batches = l.batches[len(l.batches)-maxBatches:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// close wakes all readers for good.
func (l *eventLog) close() {
	if !l.closed {
		l.closed = true
		close(l.changed)
	}
}

// read returns the published batches after a number, the last published
// number, and when the next batch is to be published (zero if none is waiting).
func (l *eventLog) read(after uint64, now time.Time) (batches []CacheBatch, last uint64, next time.Time) {
	batches = []CacheBatch{}
	last = l.seq - uint64(len(l.batches))
	for _, b := range l.batches {
		if b.visible.After(now) {
			return batches, last, b.visible
		}
		last = b.Seq
		if b.Seq > after && !b.lost {
			batches = append(batches, b.CacheBatch)
		}
	}
	return batches, last, time.Time{}
}

// storeBlocks puts an attempt's blocks into the prefix cache and logs it.
func (e *Engine) storeBlocks(a *attempt) {
	added, evicted := e.life.cache.Insert(a.hashes)
	var events []CacheEvent
	if len(added) > 0 {
		events = append(events, CacheEvent{
			Type:            BlockStored,
			BlockHashes:     added,
			ParentBlockHash: parentOf(added[0], a.hashes),
			BlockSize:       e.cfg.Perf.PieceTokens,
		})
	}
	if len(evicted) > 0 {
		events = append(events, CacheEvent{Type: BlockRemoved, BlockHashes: evicted})
	}
	e.life.events.add(events)
}

// parentOf returns the block before h in a prompt, nil if h is the first.
func parentOf(h tokens.BlockHash, prompt []tokens.BlockHash) *tokens.BlockHash {
	for i := 1; i < len(prompt); i++ {
		if prompt[i] == h {
			return &prompt[i-1]
		}
	}
	return nil
}

// clearCache empties the prefix cache and logs it.
func (e *Engine) clearCache() {
	e.life.cache.Clear()
	e.life.events.add([]CacheEvent{{Type: AllBlocksCleared}})
}

// serveCacheEvents answers GET /v1/cache_events?after=SEQ&wait=DURATION.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := eventQuery(r)
	if !ok {
		invalid("after must be a number and wait a duration").write(w)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		out, next, changed := e.cacheEvents(after)
		if len(out.Batches) > 0 || out.LastSeq != after || wait <= 0 {
			control.WriteJSON(w, http.StatusOK, out)
			return
		}
		publish := time.NewTimer(untilOr(next, maxWait))
		select {
		case <-changed:
		case <-publish.C:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			publish.Stop()
			return
		}
		publish.Stop()
	}
}

// untilOr returns the time until t, or otherwise if t is zero.
func untilOr(t time.Time, otherwise time.Duration) time.Duration {
	if t.IsZero() {
		return otherwise
	}
	return time.Until(t)
}

// eventQuery reads the query of a request for cache events.
func eventQuery(r *http.Request) (after uint64, wait time.Duration, ok bool) {
	query := r.URL.Query()
	var err error
	if s := query.Get("after"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, false
		}
	}
	if s := query.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			return 0, 0, false
		}
	}
	return after, min(wait, maxWait), true
}

// cacheEvents reads the log; changed is closed when it grows.
func (e *Engine) cacheEvents(after uint64) (out CacheEventsResponse, next time.Time, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.life.events
	out.Incarnation = e.life.incarnation
	out.Batches, out.LastSeq, next = log.read(after, time.Now())
	if after > out.LastSeq && after <= log.seq {
		// The reader has a snapshot that is ahead of what is published.
		out.LastSeq = after
	}
	return out, next, log.changed
}

// serveCacheBlocks answers GET /v1/cache_blocks.
func (e *Engine) serveCacheBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := CacheBlocksResponse{
		Incarnation: e.life.incarnation,
		Seq:         e.life.events.seq,
		BlockSize:   e.cfg.Perf.PieceTokens,
		Hashes:      e.life.cache.Hashes(),
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}
