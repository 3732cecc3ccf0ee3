package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// Limits of the cache event endpoint.
const (
	// maxBatches is the maximum number of batches kept for readers.
	maxBatches = 4096
	// maxWait is the maximum duration of a long poll.
	maxWait = 60 * time.Second
)

// batchDropper selects at random the event batches that are never published.
type batchDropper struct {
	random *rand.Rand
	share  float64
}

// newBatchDropper returns a batchDropper for a share of batches, 0 to 1.
func newBatchDropper(seed uint64, share float64) *batchDropper {
	return &batchDropper{random: rand.New(rand.NewPCG(seed, seed)), share: share}
}

// next reports whether the next batch is dropped.
func (l *batchDropper) next() bool { return l.share > 0 && l.random.Float64() < l.share }

// eventLog stores the cache events of one incarnation. The engine's mutex
// guards it.
type eventLog struct {
	delay   time.Duration
	dropper *batchDropper
	// seq is the number of the latest batch. Dropped batches are numbered too.
	seq     uint64
	batches []pendingBatch
	changed chan struct{} // closed and replaced when a batch is added
	closed  bool
}

// pendingBatch is a batch with the time of its publication.
type pendingBatch struct {
	CacheBatch
	publishAt time.Time
	dropped   bool
}

// newEventLog returns an empty log.
func newEventLog(delay time.Duration, dropper *batchDropper) *eventLog {
	return &eventLog{delay: delay, dropper: dropper, changed: make(chan struct{})}
}

// add appends the events of one cache change as a batch.
func (l *eventLog) add(events []CacheEvent) {
	if len(events) == 0 || l.closed {
		return
	}
	now := time.Now()
	l.seq++
	l.batches = append(l.batches, pendingBatch{
		CacheBatch: CacheBatch{Seq: l.seq, AtMS: now.UnixMilli(), Events: events},
		publishAt:  now.Add(l.delay),
		dropped:    l.dropper.next(),
	})
	if len(l.batches) > maxBatches {
		l.batches = l.batches[len(l.batches)-maxBatches:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// close wakes all waiting readers. Later changes are not logged.
func (l *eventLog) close() {
	if !l.closed {
		l.closed = true
		close(l.changed)
	}
}

// read returns the published batches after a sequence number, the last
// published sequence number, and the publication time of the next batch (zero
// if none is pending).
func (l *eventLog) read(after uint64, now time.Time) (batches []CacheBatch, last uint64, next time.Time) {
	batches = []CacheBatch{}
	last = l.seq - uint64(len(l.batches))
	for _, b := range l.batches {
		if b.publishAt.After(now) {
			return batches, last, b.publishAt
		}
		last = b.Seq
		if b.Seq > after && !b.dropped {
			batches = append(batches, b.CacheBatch)
		}
	}
	return batches, last, time.Time{}
}

// storeBlocks adds an attempt's blocks to the prefix cache and logs the change.
func (e *Engine) storeBlocks(a *attempt) {
	added, evicted := e.state.cache.Insert(a.hashes)
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
	e.state.events.add(events)
}

// parentOf returns the block before h in a prompt, or nil if h is the first.
func parentOf(h tokens.BlockHash, prompt []tokens.BlockHash) *tokens.BlockHash {
	for i := 1; i < len(prompt); i++ {
		if prompt[i] == h {
			return &prompt[i-1]
		}
	}
	return nil
}

// clearCache empties the prefix cache and logs the change.
func (e *Engine) clearCache() {
	e.state.cache.Clear()
	e.state.events.add([]CacheEvent{{Type: AllBlocksCleared}})
}

// serveCacheEvents handles GET /v1/cache_events?after=SEQ&wait=DURATION as a
// long poll.
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

// eventQuery parses the query of a request for cache events; ok is false if it
// is malformed.
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

// cacheEvents reads the event log. The channel changed is closed when a batch
// is added.
func (e *Engine) cacheEvents(after uint64) (out CacheEventsResponse, next time.Time, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.state.events
	out.Incarnation = e.state.incarnation
	out.Batches, out.LastSeq, next = log.read(after, time.Now())
	if after > out.LastSeq && after <= log.seq {
		// The reader has a snapshot that is ahead of the published batches.
		out.LastSeq = after
	}
	return out, next, log.changed
}

// serveCacheBlocks handles GET /v1/cache_blocks.
func (e *Engine) serveCacheBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := CacheBlocksResponse{
		Incarnation: e.state.incarnation,
		Seq:         e.state.events.seq,
		BlockSize:   e.cfg.Perf.PieceTokens,
		Hashes:      e.state.cache.Hashes(),
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}
