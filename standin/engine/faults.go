package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// serveFaults handles GET and PUT /control/faults.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f control.EngineFaults
		if !control.ReadJSON(w, r, &f) {
			return
		}
		e.SetFaults(f)
	}
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, f)
}

// SetFaults replaces the set of injected faults.
func (e *Engine) SetFaults(f control.EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.state.transfers.setRate(e.linkRate())
	e.updateConnected()
}

// updateConnected drops connections if the engine is down or the injected
// faults require it, and otherwise serves them again.
func (e *Engine) updateConnected() {
	if e.down || e.faults.DropConnections {
		e.disconnect()
		return
	}
	if e.connected.Err() != nil {
		e.connected, e.disconnect = context.WithCancel(e.ctx)
	}
}

// BreakConnections drops all current connections, like a momentary link
// failure. Later requests are served.
func (e *Engine) BreakConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnect()
	e.updateConnected()
}

// serveCrash handles POST /control/crash.
func (e *Engine) serveCrash(w http.ResponseWriter, r *http.Request) {
	var c control.Crash
	if !control.ReadJSON(w, r, &c) {
		return
	}
	e.Crash(time.Duration(c.DownMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// Crash simulates a crash: it discards all state except the judge's counters
// and drops all connections for the given duration. Afterwards the engine
// serves again as a new incarnation.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.updateConnected()
	e.closeState()
	e.state = e.newState(e.state.incarnation)
	e.ledger.totals.Crashes++
	time.AfterFunc(down, e.restart)
}

// restart serves connections again after the downtime of a crash.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.updateConnected()
}
