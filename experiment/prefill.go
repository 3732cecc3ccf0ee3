package experiment

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/perf"
	"github.com/wardspool/wardspool/tokens"
)

// prefillEngine simulates a prefill engine: it computes one prompt at a time, by
// priority and then in order of arrival, keeps each result for its lifetime and
// sends it over its link.
type prefillEngine struct {
	upstream
	w      *world
	params perf.Params
	cache  *perf.Cache

	queue   []*attempt
	current *attempt
	// startedAt and uncachedTokens describe the prompt being computed.
	startedAt      time.Duration
	uncachedTokens int
	held           map[ident.AttemptID]*attempt

	link     *perf.Link
	stalled  bool
	nextFlow perf.FlowID
	flows    map[perf.FlowID]*transfer
}

// cachePieces is the size of a prefill engine's prefix cache, in pieces.
const cachePieces = 100

func newPrefillEngine(w *world, u upstream, p perf.Params) *prefillEngine {
	e := &prefillEngine{upstream: u, w: w, params: p, cache: perf.NewCache(cachePieces)}
	e.reset()
	return e
}

// reset clears everything but the prefix cache.
func (e *prefillEngine) reset() {
	e.queue, e.current = nil, nil
	e.held = map[ident.AttemptID]*attempt{}
	e.flows = map[perf.FlowID]*transfer{}
	e.link = perf.NewLink(e.params.LinkBytesPerSecond)
}

func (e *prefillEngine) accept(a *attempt) *kernel.AttemptFailed {
	if a.role != config.RolePrefill {
		return newRefusal(a, kernel.FailureModel)
	}
	e.queue = append(e.queue, a)
	sort.SliceStable(e.queue, func(i, j int) bool {
		return e.queue[i].sub.request.Priority < e.queue[j].sub.request.Priority
	})
	e.startNext()
	return nil
}

// startNext starts computing the first prompt of the queue if the engine is
// idle.
func (e *prefillEngine) startNext() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	a := e.queue[0]
	e.queue = e.queue[1:]
	a.started = true
	e.current = a
	e.startedAt = e.w.clock.now
	length := a.promptTokens()
	e.uncachedTokens = e.params.Uncached(length, e.cache.Match(a.blocks()))
	incarnation := e.incarnation
	e.w.clock.after(e.params.PrefillDuration(e.uncachedTokens), func() {
		if e.current == a && e.incarnation == incarnation {
			e.completeCurrent(a)
		}
	})
}

// promptTokens returns the length of the prompt plus the output to continue
// from.
func (a *attempt) promptTokens() int { return a.sub.request.PromptTokens + a.startOffset }

// blocks returns the block hashes of the prompt. Output to continue from is
// never in a prefix cache.
func (a *attempt) blocks() []tokens.BlockHash {
	blocks := make([]tokens.BlockHash, len(a.sub.request.Blocks))
	for i, b := range a.sub.request.Blocks {
		blocks[i] = tokens.BlockHash(b)
	}
	return blocks
}

// completeCurrent stores the result of a prompt and reports it.
func (e *prefillEngine) completeCurrent(a *attempt) {
	now := e.w.clock.now
	e.current = nil
	a.computedTokens = e.uncachedTokens
	a.prefilledAt = now
	e.w.checker.addComputed(a, e.uncachedTokens)
	e.held[a.id] = a
	added, evicted := e.cache.Insert(a.blocks())
	e.w.feeds.cacheChanged(e, added, evicted)
	cached := a.promptTokens() - e.uncachedTokens
	e.w.report(a, kernel.PrefillDone{
		Attempt:      a.id,
		KV:           kernel.KVHandle{Engine: e.spec.ID, Params: []byte(a.id.String())},
		CachedTokens: cached,
	})
	incarnation := e.incarnation
	e.w.clock.after(e.params.KVLifetime, func() {
		if e.incarnation == incarnation && e.held[a.id] == a {
			e.discard(a, wasteEvicted)
		}
	})
	e.startNext()
}

// discard drops a result that was not used.
func (e *prefillEngine) discard(a *attempt, cause wasteCause) {
	delete(e.held, a.id)
	a.ended = true
	e.w.checker.addWasted(a, cause)
}

func (e *prefillEngine) cancel(id ident.AttemptID) {
	for i, a := range e.queue {
		if a.id == id {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			a.ended = true
			return
		}
	}
	if e.current != nil && e.current.id == id {
		e.abandonCurrent(wasteCancelled)
		e.startNext()
		return
	}
	if a, ok := e.held[id]; ok {
		e.discard(a, wasteCancelled)
		return
	}
	for _, flow := range sortedKeys(e.flows) {
		t := e.flows[flow]
		if t.prefill.id != id {
			continue
		}
		e.removeFlow(flow)
		e.discard(t.prefill, wasteCancelled)
		t.done(false)
		e.completeTransfers()
	}
}

// abandonCurrent stops the current computation; what was computed so far is
// wasted.
func (e *prefillEngine) abandonCurrent(cause wasteCause) {
	a := e.current
	e.current = nil
	spent := (e.w.clock.now - e.startedAt).Seconds() * e.params.PrefillTokensPerSecond
	a.computedTokens = min(int(spent), e.uncachedTokens)
	a.ended = true
	e.w.checker.addComputed(a, a.computedTokens)
	e.w.checker.addWasted(a, cause)
}

func (e *prefillEngine) kill() {
	lost := e.queue
	if e.current != nil {
		lost = append(lost, e.current)
		e.abandonCurrent(wasteKilled)
	}
	for _, id := range sortedAttempts(e.held) {
		e.discard(e.held[id], wasteKilled)
	}
	flows := e.flows
	e.reset()
	e.cache.Clear()
	e.markDead(e.w.clock.now)
	for _, id := range sortedKeys(flows) {
		t := flows[id]
		t.prefill.ended = true
		e.w.checker.addWasted(t.prefill, wasteKilled)
		t.done(false)
	}
	for _, a := range lost {
		a.ended = true
		e.w.reportBroken(a)
	}
}

func (e *prefillEngine) load() kernel.Load {
	l := kernel.Load{At: e.w.clock.time(), Slots: 1, Waiting: len(e.queue), PiecesTotal: e.spec.Pieces}
	for _, a := range e.queue {
		l.QueuedTokens += e.params.Uncached(a.promptTokens(), e.cache.Match(a.blocks()))
	}
	if e.current != nil {
		l.Running = 1
		spent := (e.w.clock.now - e.startedAt).Seconds() * e.params.PrefillTokensPerSecond
		l.QueuedTokens += max(e.uncachedTokens-int(spent), 0)
	}
	for _, a := range e.heldAttempts() {
		l.PiecesUsed += e.params.PiecesFor(a.promptTokens())
	}
	return l
}

func (e *prefillEngine) heldAttempts() []*attempt {
	var list []*attempt
	list = append(list, e.queue...)
	if e.current != nil {
		list = append(list, e.current)
	}
	for _, id := range sortedAttempts(e.held) {
		list = append(list, e.held[id])
	}
	for _, id := range sortedKeys(e.flows) {
		list = append(list, e.flows[id].prefill)
	}
	return list
}
