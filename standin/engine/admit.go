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

// maxAnswerTokens is the maximum length of an answer, in tokens.
const maxAnswerTokens = 1 << 20

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
		receivedAt:  time.Now(),
		prompt:      answer.NewPrompt(prompt),
		from:        req.ContinueFrom,
		next:        req.ContinueFrom,
		to:          cmp.Or(req.MaxTokens, req.MaxCompletionTokens, defaultMaxTokens),
		ready:       make(chan struct{}),
	}
	if p := req.KVTransferParams; p != nil {
		a.prefillOnly = p.DoRemoteDecode
		if p.DoRemotePrefill {
			a.pullParams = p
		}
	}
	if f := a.validate(); f != nil {
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

// validate returns a failure if the attempt's fields are invalid.
func (a *attempt) validate() *failure {
	switch {
	case len(a.id) > maxIDLength || len(a.correlation) > maxIDLength:
		return invalid("an ID is longer than %d bytes", maxIDLength)
	case a.to < 0 || a.to > maxAnswerTokens || a.from < 0 || a.from > maxAnswerTokens:
		return invalid("max_tokens and continue_from must be within 0 and %d", maxAnswerTokens)
	case !a.prefillOnly && a.from >= a.to:
		return invalid("continue_from %d leaves nothing of max_tokens %d", a.from, a.to)
	case a.prefillOnly && a.pullParams != nil:
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
	e.dropExpired(a.receivedAt)
	if f := e.refusal(a); f != nil {
		e.ledger.refused(f)
		return f
	}
	state := e.state
	state.arrivals++
	a.arrival = state.arrivals
	e.assignIDs(a)
	state.attempts[a.id] = a
	e.ledger.accepted(a)
	switch {
	case a.prefillOnly:
		e.enqueue(a)
	case a.pullParams != nil:
		e.reserveSlot(a)
		e.startPull(a)
	default:
		e.reserveSlot(a)
		e.enqueue(a)
	}
	return nil
}

// assignIDs assigns IDs to an attempt that came without them.
func (e *Engine) assignIDs(a *attempt) {
	if a.id == "" {
		a.id = "anonymous-" + strconv.FormatUint(a.arrival, 10)
	}
	if a.correlation == "" {
		a.correlation = a.id
	}
}

// refusal returns the reason for refusing an attempt, or nil if the engine
// accepts it.
func (e *Engine) refusal(a *attempt) *failure {
	state := e.state
	switch {
	case e.ctx.Err() != nil:
		return notStarted("the engine is closed")
	case state.tombstones.contains(a.id, a.receivedAt):
		return &failure{http.StatusConflict, control.CodeAbortedEarly, "the attempt was aborted before it arrived"}
	case state.attempts[a.id] != nil:
		return &failure{http.StatusConflict, control.CodeDuplicate, "the attempt ID is known already"}
	case e.faults.Draining:
		return &failure{http.StatusServiceUnavailable, control.CodeDraining, "the engine is leaving"}
	case e.faults.Refuse:
		return notStarted("the engine was told to refuse")
	case !slices.Contains(state.placement.servedModels(), a.model):
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
	state, p := e.state, e.cfg.Perf
	if p.PiecesFor(a.maxKVTokens()) > p.Pieces {
		return &failure{http.StatusBadRequest, control.CodeContextLength, "the request exceeds the engine's memory"}
	}
	if a.prefillOnly {
		if state.queue.len() >= e.cfg.QueueLimit {
			return notStarted("the prefill queue is full")
		}
		return nil
	}
	if state.slotsUsed >= p.Slots {
		return notStarted("no free slot")
	}
	if state.piecesUsed+p.PiecesFor(a.maxKVTokens()) > p.Pieces {
		return notStarted("no free memory")
	}
	return nil
}

// maxKVTokens returns the maximum size of the attempt's KV, in tokens.
func (a *attempt) maxKVTokens() int {
	if a.prefillOnly {
		return a.promptTokens
	}
	return a.promptTokens + a.to - a.from
}

// reserveSlot reserves a slot and the KV memory of the complete generation, so
// that a running generation is never preempted.
func (e *Engine) reserveSlot(a *attempt) {
	a.hasSlot = true
	e.state.slotsUsed++
	e.reservePieces(a, e.cfg.Perf.PiecesFor(a.maxKVTokens()))
}

// enqueue adds the attempt to the prefill queue.
func (e *Engine) enqueue(a *attempt) {
	a.stage = StageQueued
	e.state.queue.push(a)
	e.wakeLoop()
}

// startPull starts pulling the attempt's KV cache from its prefill engine.
func (e *Engine) startPull(a *attempt) {
	a.stage = StageReceiving
	ctx, cancel := context.WithCancel(e.ctx)
	a.cancelPull = cancel
	e.workers.Go(func() { e.pullKV(ctx, a) })
}
