package engine

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// Stage is how far an attempt has come.
type Stage string

// The stages.
const (
	// StageQueued waits for its prefill.
	StageQueued Stage = "queued"
	// StagePrefill is being prefilled.
	StagePrefill Stage = "prefill"
	// StageHeld is a prefill result that waits for its decode engine.
	StageHeld Stage = "held"
	// StageSending is a prefill result on its way to a decode engine.
	StageSending Stage = "sending"
	// StageReceiving waits for a prefill result from another engine.
	StageReceiving Stage = "receiving"
	// StageDecode generates.
	StageDecode Stage = "decode"
	// StageEnded holds nothing any more.
	StageEnded Stage = "ended"
)

// attempt is one prefill or decode that the engine has taken in. All fields
// but the first group are guarded by the engine's mutex.
type attempt struct {
	id, correlation string
	form            format
	model           string
	priority        int
	order           uint64 // of arrival
	prefillOnly     bool
	since           time.Time
	prompt          answer.Prompt
	promptTokens    int // with the continued part of the answer
	hashes          []tokens.BlockHash
	from, to        int // the tokens to generate
	pull            *KVTransferParams
	// ready is closed when the prefill result is there, the generation begins,
	// or the attempt has ended before.
	ready chan struct{}

	stage  Stage
	pieces int
	slot   bool
	// cached, computed and left count the prompt tokens of a prefill here.
	cached, computed, left int
	// inherited counts the prompt tokens that another engine computed for it.
	inherited int
	// used is true once a token came of the prompt's KV.
	used     bool
	next     int // the next token to generate
	blockIDs []int64
	expires  time.Time // of a prefill result
	timer    *time.Timer
	cancel   func() // ends a pull
	failure  *failure
	endedAt  time.Time
	reader   *reader
}

// running reports whether the attempt has not ended.
func (a *attempt) running() bool { return a.stage != StageEnded }

// finished reports whether the generation reached its last token.
func (a *attempt) finished() bool { return !a.prefillOnly && a.next >= a.to }

// failure is why an attempt ended early or was refused.
type failure struct {
	status  int
	code    control.Code
	message string
}

// Error implements error.
func (f *failure) Error() string { return string(f.code) + ": " + f.message }

// write answers with the failure.
func (f *failure) write(w http.ResponseWriter) {
	control.WriteError(w, f.status, f.code, f.message)
}

// The ways in which an accepted attempt ends early.
var (
	failureAborted  = failure{http.StatusConflict, control.CodeAborted, "the attempt was aborted"}
	failureCrashed  = failure{http.StatusInternalServerError, control.CodeInternal, "the engine stopped"}
	failureInjected = failure{http.StatusInternalServerError, control.CodeInternal, "the generation failed"}
	failureEvicted  = failure{http.StatusGone, control.CodeKVMissing, "the prefill result outlived its lifetime"}
	failureNoKV     = failure{http.StatusConflict, control.CodeKVMissing, "the prefill engine no longer has the KV cache"}
	failureTransfer = failure{http.StatusBadGateway, control.CodeTransferFailed, "the KV cache couldn't be fetched"}
)

// end ends an attempt and releases what it holds. A nil failure is success.
// The caller holds the mutex. Ending an ended attempt changes nothing.
func (e *Engine) end(a *attempt, f *failure) {
	if !a.running() {
		return
	}
	e.ledger.end(a, f)
	wasReady := a.stage == StageDecode || a.stage == StageHeld || a.stage == StageSending
	e.release(a)
	a.stage = StageEnded
	a.failure = f
	a.endedAt = time.Now()
	if !wasReady {
		close(a.ready)
	}
	if a.reader != nil {
		a.reader.poke()
	}
	e.life.ended = append(e.life.ended, a)
	e.poke()
}

// release gives back the attempt's memory, slot, timer and transfer.
func (e *Engine) release(a *attempt) {
	e.life.piecesUsed -= a.pieces
	a.pieces = 0
	if a.slot {
		e.life.slotsUsed--
		a.slot = false
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if len(a.blockIDs) > 0 {
		delete(e.life.results, a.blockIDs[0])
		e.life.transfers.cancel(a)
	}
	e.life.queue.remove(a)
	if a.stage == StagePrefill {
		e.life.prefilling--
	}
	if e.life.current == a {
		e.life.current = nil
	}
}

// forget drops the attempts that ended longer ago than the retention.
func (e *Engine) forget(now time.Time) {
	l := e.life
	n := 0
	for n < len(l.ended) && now.Sub(l.ended[n].endedAt) >= e.cfg.Retention {
		delete(l.attempts, l.ended[n].id)
		n++
	}
	l.ended = l.ended[n:]
}
