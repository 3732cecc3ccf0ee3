package engine

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// defaultMaxTokens is the answer length, in tokens, if the request sets none.
const defaultMaxTokens = 16

// maxAnswer is the maximum length of an answer, in tokens.
const maxAnswer = 1 << 20

// maxIDLength is the maximum length of attempt and correlation IDs, in bytes.
const maxIDLength = 256

// newAttempt creates an attempt from a request, or returns a failure if the
// request is malformed. It needs no lock, because it reads only immutable state.
func (e *Engine) newAttempt(r *http.Request, req CompletionRequest, prompt string) (*attempt, *failure) {
	a := &attempt{
		id:          r.Header.Get(HeaderAttempt),
		correlation: r.Header.Get(HeaderCorrelation),
		model:       req.Model,
		priority:    req.Priority,
		since:       time.Now(),
		prompt:      answer.Of(prompt),
		from:        req.ContinueFrom,
		next:        req.ContinueFrom,
		to:          cmp.Or(req.MaxTokens, req.MaxCompletionTokens, defaultMaxTokens),
		ready:       make(chan struct{}),
	}
	if p := req.KVTransferParams; p != nil {
		a.prefillOnly = p.DoRemoteDecode
		if p.DoRemotePrefill {
			a.pull = p
		}
	}
	if f := a.check(); f != nil {
		return nil, f
	}
	text := prompt
	if a.from > 0 {
		text += " " + answer.Expected(prompt, a.from)
	}
	a.promptTokens = max(tokens.Count(text), 1)
	a.hashes = tokens.BlockHashes(text, e.cfg.Perf.PieceTokens)
	return a, nil
}

// check returns a failure if the attempt's fields are invalid.
func (a *attempt) check() *failure {
	switch {
	case len(a.id) > maxIDLength || len(a.correlation) > maxIDLength:
		return invalid("an ID is longer than %d bytes", maxIDLength)
	case a.to < 0 || a.to > maxAnswer || a.from < 0 || a.from > maxAnswer:
		return invalid("max_tokens and continue_from must be within 0 and %d", maxAnswer)
	case !a.prefillOnly && a.from >= a.to:
		return invalid("continue_from %d leaves nothing of max_tokens %d", a.from, a.to)
	case a.prefillOnly && a.pull != nil:
		return invalid("do_remote_decode and do_remote_prefill exclude each other")
	default:
		return nil
	}
}

// invalid returns the failure of a malformed request.
func invalid(format string, args ...any) *failure {
	return &failure{http.StatusBadRequest, control.CodeInvalid, fmt.Sprintf(format, args...)}
}

// notStarted returns an attested refusal: the attempt did not run, for example
// for lack of capacity.
func notStarted(message string) *failure {
	return &failure{http.StatusServiceUnavailable, control.CodeNotStarted, message}
}

// admit accepts an attempt, or returns the reason for refusing it.
func (e *Engine) admit(a *attempt) *failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(a.since)
	if f := e.refusal(a); f != nil {
		e.ledger.refused(f)
		return f
	}
	l := e.life
	l.nextOrder++
	a.order = l.nextOrder
	e.name(a)
	l.attempts[a.id] = a
	e.ledger.accepted(a)
	switch {
	case a.prefillOnly:
		e.enqueue(a)
	case a.pull != nil:
		e.takeSlot(a)
		e.startFetch(a)
	default:
		e.takeSlot(a)
		e.enqueue(a)
	}
	return nil
}

// name assigns IDs to an attempt that came without them.
func (e *Engine) name(a *attempt) {
	if a.id == "" {
		a.id = "anonymous-" + strconv.FormatUint(a.order, 10)
	}
	if a.correlation == "" {
		a.correlation = a.id
	}
}

// refusal returns the reason for refusing an attempt, or nil if the engine
// accepts it.
func (e *Engine) refusal(a *attempt) *failure {
	l := e.life
	switch {
	case e.ctx.Err() != nil:
		return notStarted("the engine is closed")
	case l.tombstones.take(a.id, a.since):
		return &failure{http.StatusConflict, control.CodeAbortedEarly, "the attempt was aborted before it arrived"}
	case l.attempts[a.id] != nil:
		return &failure{http.StatusConflict, control.CodeDuplicate, "the attempt ID is known already"}
	case e.faults.Draining:
		return &failure{http.StatusServiceUnavailable, control.CodeDraining, "the engine is leaving"}
	case e.faults.Refuse:
		return notStarted("the engine was told to refuse")
	case !slices.Contains(l.placement.servedModels(), a.model):
		return &failure{http.StatusNotFound, control.CodeModelNotFound, fmt.Sprintf("the model %q is not loaded", a.model)}
	case a.prefillOnly != (e.role() == config.RolePrefill):
		return &failure{http.StatusServiceUnavailable, control.CodeWrongRole, "the engine's role is " + string(e.role())}
	default:
		return e.capacityRefusal(a)
	}
}

// capacityRefusal returns a failure if the engine has no free queue place, slot
// or KV memory for the attempt.
func (e *Engine) capacityRefusal(a *attempt) *failure {
	l, p := e.life, e.cfg.Perf
	if p.PiecesFor(a.wholeTokens()) > p.Pieces {
		return &failure{http.StatusBadRequest, control.CodeContextLength, "the request exceeds the engine's memory"}
	}
	if a.prefillOnly {
		if l.queue.len() >= e.cfg.QueueLimit {
			return notStarted("the prefill queue is full")
		}
		return nil
	}
	if l.slotsUsed >= p.Slots {
		return notStarted("no free slot")
	}
	if l.piecesUsed+p.PiecesFor(a.wholeTokens()) > p.Pieces {
		return notStarted("no free memory")
	}
	return nil
}

// wholeTokens returns the maximum size of the attempt's KV, in tokens.
func (a *attempt) wholeTokens() int {
	if a.prefillOnly {
		return a.promptTokens
	}
	return a.promptTokens + a.to - a.from
}

// takeSlot reserves a slot and the KV memory of the complete generation, so
// that a running generation is never preempted.
func (e *Engine) takeSlot(a *attempt) {
	a.slot = true
	e.life.slotsUsed++
	e.reserve(a, e.cfg.Perf.PiecesFor(a.wholeTokens()))
}

// enqueue adds the attempt to the prefill queue.
func (e *Engine) enqueue(a *attempt) {
	a.stage = StageQueued
	e.life.queue.push(a)
	e.poke()
}

// startFetch starts pulling the attempt's KV cache from its prefill engine.
func (e *Engine) startFetch(a *attempt) {
	a.stage = StageReceiving
	ctx, cancel := context.WithCancel(e.ctx)
	a.cancel = cancel
	e.workers.Go(func() { e.fetch(ctx, a) })
}
