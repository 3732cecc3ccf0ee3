package slottest

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Engine is a fake decode engine. It runs up to Slots requests at once, within
// Pieces of memory if that is not 0, and refuses more.
type Engine struct {
	ID            ident.UpstreamID
	Slots, Pieces int
	// Refused is the number of refused requests.
	Refused int

	world   *World
	running map[slotkit.Key]int
	pieces  int
	// history contains the recent loads, one per change, from which delayed load
	// reports are produced.
	history []kernel.Load
	// busy is the time integral of the number of slots in use.
	busy      time.Duration
	busySince time.Time
}

func newEngine(w *World, id ident.UpstreamID, slots, pieces int) *Engine {
	return &Engine{ID: id, Slots: slots, Pieces: pieces, world: w, running: map[slotkit.Key]int{}, busySince: Epoch}
}

// Start takes a slot and the given pieces of memory for a request. It returns
// false, and counts a refusal, if the engine has not enough free.
func (e *Engine) Start(id ident.AttemptID, pieces int) bool {
	full := len(e.running) >= e.Slots || (e.Pieces > 0 && e.pieces+pieces > e.Pieces)
	if full {
		e.Refused++
		return false
	}
	e.accumulateBusy()
	e.running[slotkit.KeyOf(id)] = pieces
	e.pieces += pieces
	e.recordLoad()
	return true
}

// End releases a request's slot and memory.
func (e *Engine) End(id ident.AttemptID) {
	key := slotkit.KeyOf(id)
	pieces, ok := e.running[key]
	if !ok {
		return
	}
	e.accumulateBusy()
	delete(e.running, key)
	e.pieces -= pieces
	e.recordLoad()
}

// Running returns the number of slots in use.
func (e *Engine) Running() int { return len(e.running) }

// Busy returns the time integral of the number of slots in use since the last
// call.
func (e *Engine) Busy() time.Duration {
	e.accumulateBusy()
	busy := e.busy
	e.busy = 0
	return busy
}

// accumulateBusy adds the time since the last call to busy.
func (e *Engine) accumulateBusy() {
	e.busy += time.Duration(len(e.running)) * e.world.now.Sub(e.busySince)
	e.busySince = e.world.now
}

// Load returns the engine's current load.
func (e *Engine) Load() kernel.Load {
	return kernel.Load{
		At:          e.world.now,
		Running:     len(e.running),
		Slots:       e.Slots,
		PiecesUsed:  e.pieces,
		PiecesTotal: e.Pieces,
	}
}

// historyLength is the number of loads that are kept at least, once there were
// so many.
const historyLength = 512

// recordLoad appends the current load to the history.
func (e *Engine) recordLoad() {
	e.history = append(e.history, e.Load())
	if len(e.history) > 2*historyLength {
		e.history = append(e.history[:0], e.history[historyLength:]...)
	}
}

// loadBefore returns the engine's load at a past time.
func (e *Engine) loadBefore(at time.Time) kernel.Load {
	load := kernel.Load{Slots: e.Slots, PiecesTotal: e.Pieces}
	for i := len(e.history) - 1; i >= 0; i-- {
		if !e.history[i].At.After(at) {
			load = e.history[i]
			break
		}
	}
	load.At = at
	return load
}
