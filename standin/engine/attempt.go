package engine

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// Stage is the processing stage of an attempt.
type Stage string

// Stages of an attempt.
const (
	// StageQueued means that the attempt waits in the prefill queue.
	StageQueued Stage = "queued"
	// StagePrefill means that the prompt is being computed.
	StagePrefill Stage = "prefill"
	// StageHeld means that a prefill result waits for a decode engine to pull it.
	StageHeld Stage = "held"
	// StageSending means that a prefill result is being sent to a decode engine.
	StageSending Stage = "sending"
	// StageReceiving means that a prefill result is being pulled from another
	// engine.
	StageReceiving Stage = "receiving"
	// StageDecode means that the answer is being generated.
	StageDecode Stage = "decode"
	// StageEnded means that the attempt is over and holds no resources.
	StageEnded Stage = "ended"
)

// attempt is a prefill or decode that the engine has accepted. The engine's
// mutex guards all fields after the first group, which doesn't change.
type attempt struct {
	id, correlation string
	format          format
	model           string
	priority        int
	arrival         uint64 // number in the order of arrival
	prefillOnly     bool
	receivedAt      time.Time
	prompt          answer.Prompt
	promptTokens    int // including the part of the answer generated before
	hashes          []tokens.BlockHash
	from, to        int // offsets [from, to) of the tokens to generate
	pullParams      *KVTransferParams
	// ready is closed when the prefill result is available, when the generation
	// starts, or when the attempt ends before either.
	ready chan struct{}

	stage   Stage
	pieces  int
	hasSlot bool
	// cached, computed and remaining count prompt tokens of a prefill on this
	// engine: found in the prefix cache, computed so far and still to compute.
	cached, computed, remaining int
	// remoteComputed counts the prompt tokens that the prefill engine computed.
	remoteComputed int
	// kvUsed is true once a token has been generated from the prompt's KV.
	kvUsed     bool
	next       int // offset of the next token to generate
	blockIDs   []int64
	expiresAt  time.Time // of a prefill result
	timer      *time.Timer
	cancelPull func() // cancels a pull
	failure    *failure
	endedAt    time.Time
	reader     *reader
}

// running reports whether the attempt has not ended.
func (a *attempt) running() bool { return a.stage != StageEnded }

// finished reports whether the generation reached its last token.
func (a *attempt) finished() bool { return !a.prefillOnly && a.next >= a.to }

// failure is the reason why an attempt ended early or was refused.
type failure struct {
	status  int
	code    control.Code
	message string
}

// Error implements error.
func (f *failure) Error() string { return string(f.code) + ": " + f.message }

// write sends the failure as the response.
func (f *failure) write(w http.ResponseWriter) {
	control.WriteError(w, f.status, f.code, f.message)
}

// Failures with which an accepted attempt ends early.
var (
	failureAborted  = failure{http.StatusConflict, control.CodeAborted, "the attempt was aborted"}
	failureStopped  = failure{http.StatusInternalServerError, control.CodeInternal, "the engine stopped"}
	failureInjected = failure{http.StatusInternalServerError, control.CodeInternal, "the generation failed"}
	failureEvicted  = failure{http.StatusGone, control.CodeKVMissing, "the prefill result outlived its lifetime"}
	failureNoKV     = failure{http.StatusConflict, control.CodeKVMissing, "the prefill engine no longer has the KV cache"}
	failureTransfer = failure{http.StatusBadGateway, control.CodeTransferFailed, "the KV cache couldn't be fetched"}
)

// end ends an attempt and releases its resources. A nil failure means success.
// The caller holds the mutex. Calling end again has no effect.
func (e *Engine) end(a *attempt, f *failure) {
	if !a.running() {
		return
	}
	e.ledger.ended(a, f)
	wasReady := a.stage == StageDecode || a.stage == StageHeld || a.stage == StageSending
	e.release(a)
	a.stage = StageEnded
	a.failure = f
	a.endedAt = time.Now()
	if !wasReady {
		close(a.ready)
	}
	if a.reader != nil {
		a.reader.notify()
	}
	e.state.ended = append(e.state.ended, a)
	e.wakeLoop()
}

// release frees the attempt's KV memory and slot, stops its timer and transfer,
// and removes it from the queue.
func (e *Engine) release(a *attempt) {
	e.state.piecesUsed -= a.pieces
	a.pieces = 0
	if a.hasSlot {
		e.state.slotsUsed--
		a.hasSlot = false
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancelPull != nil {
		a.cancelPull()
	}
	if len(a.blockIDs) > 0 {
		delete(e.state.resultsByBlock, a.blockIDs[0])
		e.state.transfers.cancel(a)
	}
	e.state.queue.remove(a)
	if a.stage == StagePrefill {
		e.state.prefilling--
	}
	if e.state.currentPrefill == a {
		e.state.currentPrefill = nil
	}
}

// dropExpired removes the attempts that ended at least Config.Retention ago.
func (e *Engine) dropExpired(now time.Time) {
	state := e.state
	n := 0
	for n < len(state.ended) && now.Sub(state.ended[n].endedAt) >= e.cfg.Retention {
		delete(state.attempts, state.ended[n].id)
		n++
	}
	state.ended = state.ended[n:]
}
