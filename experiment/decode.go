package experiment

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/perf"
)

// decodeEngine simulates a decode engine: it imports prefill results into slots
// and generates one token per step for each running attempt.
type decodeEngine struct {
	upstream
	w      *world
	params perf.Params

	// held lists the attempts that occupy a slot, in order of arrival; running
	// marks those whose KV cache has arrived.
	held       []*attempt
	running    map[ident.AttemptID]bool
	piecesUsed int
	stepping   bool
}

func newDecodeEngine(w *world, u upstream, p perf.Params) *decodeEngine {
	return &decodeEngine{upstream: u, w: w, params: p, running: map[ident.AttemptID]bool{}}
}

// reservedPieces returns the memory that an attempt reserves, assuming the
// longest answer it is allowed.
func (a *attempt) reservedPieces(p perf.Params) int {
	return p.PiecesFor(a.sub.request.PromptTokens + a.sub.request.MaxOutputTokens)
}

// newRefusal builds a failure by which an upstream attests that it did not run
// the attempt.
func newRefusal(a *attempt, code kernel.FailureCode) *kernel.AttemptFailed {
	return &kernel.AttemptFailed{
		Attempt:  a.id,
		Evidence: kernel.Refused,
		Code:     code,
		Offset:   a.startOffset,
	}
}

func (e *decodeEngine) accept(a *attempt) *kernel.AttemptFailed {
	if a.role != config.RoleDecode {
		return newRefusal(a, kernel.FailureModel)
	}
	full := len(e.held) >= e.params.Slots
	if full || e.piecesUsed+a.reservedPieces(e.params) > e.params.Pieces {
		return newRefusal(a, kernel.FailureCapacity)
	}
	source, ok := e.source(a)
	if !ok {
		return newRefusal(a, kernel.FailureKVMissing)
	}
	e.held = append(e.held, a)
	e.piecesUsed += a.reservedPieces(e.params)
	incarnation := e.incarnation
	pulled := source.startTransfer(a.kv, a, func(sent bool) {
		if e.incarnation == incarnation && !a.ended {
			e.completeImport(a, sent)
		}
	})
	if !pulled {
		e.release(a)
		return newRefusal(a, kernel.FailureKVMissing)
	}
	return nil
}

// source returns the prefill engine that holds an attempt's KV cache.
func (e *decodeEngine) source(a *attempt) (*prefillEngine, bool) {
	if a.kv == nil {
		return nil, false
	}
	p, ok := a.kv.upstream.(*prefillEngine)
	return p, ok
}

// completeImport starts generation, or fails the attempt if its KV cache was
// lost in transfer.
func (e *decodeEngine) completeImport(a *attempt, sent bool) {
	if !sent {
		e.release(a)
		e.w.report(a, *newRefusal(a, kernel.FailureKVMissing))
		return
	}
	a.started = true
	a.generated = a.startOffset
	e.running[a.id] = true
	e.startStep()
}

// startStep schedules the next step if there is anything to generate.
func (e *decodeEngine) startStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	var batch []*attempt
	for _, a := range e.held {
		if e.running[a.id] {
			batch = append(batch, a)
		}
	}
	incarnation := e.incarnation
	e.w.clock.after(e.params.StepTime(len(batch)), func() {
		if e.incarnation != incarnation || !e.alive {
			return
		}
		e.stepping = false
		for _, a := range batch {
			e.generateToken(a)
		}
		e.startStep()
	})
}

// generateToken generates the next token of an attempt.
func (e *decodeEngine) generateToken(a *attempt) {
	if a.ended {
		return
	}
	a.generated++
	if a.generated == a.startOffset+1 {
		e.w.report(a, kernel.FirstOutput{Attempt: a.id})
	}
	if a.generated >= a.sub.logical.arrival.OutputTokens {
		e.release(a)
		e.w.report(a, kernel.AttemptDone{Attempt: a.id, Tokens: a.generated})
	}
}

// release frees an attempt's slot and memory.
func (e *decodeEngine) release(a *attempt) {
	for i, h := range e.held {
		if h != a {
			continue
		}
		e.held = append(e.held[:i:i], e.held[i+1:]...)
		e.piecesUsed -= a.reservedPieces(e.params)
		break
	}
	delete(e.running, a.id)
	a.ended = true
}

func (e *decodeEngine) cancel(id ident.AttemptID) {
	for _, a := range e.held {
		if a.id != id {
			continue
		}
		importing := !e.running[id]
		e.release(a)
		if p, ok := e.source(a); ok && importing {
			p.abortTransfer(a)
		}
		return
	}
}

func (e *decodeEngine) kill() {
	lost := e.held
	e.held, e.piecesUsed, e.stepping = nil, 0, false
	clear(e.running)
	e.markDead(e.w.clock.now)
	for _, a := range lost {
		a.ended = true
		if p, ok := e.source(a); ok {
			p.abortTransfer(a)
		}
		e.w.reportBroken(a)
	}
}

func (e *decodeEngine) load() kernel.Load {
	return kernel.Load{
		At:          e.w.clock.time(),
		Running:     len(e.held),
		Slots:       e.params.Slots,
		PiecesUsed:  e.piecesUsed,
		PiecesTotal: e.params.Pieces,
	}
}

// utilization returns the fraction of slots or of memory in use, whichever is
// higher.
func (e *decodeEngine) utilization() float64 {
	slots := float64(len(e.held)) / float64(e.params.Slots)
	return max(slots, float64(e.piecesUsed)/float64(e.params.Pieces))
}

func (e *decodeEngine) heldAttempts() []*attempt { return append([]*attempt(nil), e.held...) }
