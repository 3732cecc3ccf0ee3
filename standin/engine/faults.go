package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// serveFaults answers GET and PUT /control/faults.
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

// SetFaults replaces the faults that the engine shows.
func (e *Engine) SetFaults(f control.EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.life.transfers.setRate(e.linkRate())
	e.updateConnected()
}

// updateConnected drops or admits connections as the faults say.
func (e *Engine) updateConnected() {
	if e.down || e.faults.DropConnections {
		e.disconnect()
		return
	}
	if e.connected.Err() != nil {
		e.connected, e.disconnect = context.WithCancel(e.ctx)
	}
}

// BreakConnections drops every connection there is at this moment, as a link
// that breaks for an instant. Connections made afterwards are served.
func (e *Engine) BreakConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnect()
	e.updateConnected()
}

// serveCrash answers POST /control/crash.
func (e *Engine) serveCrash(w http.ResponseWriter, r *http.Request) {
	var c control.Crash
	if !control.ReadJSON(w, r, &c) {
		return
	}
	e.Crash(time.Duration(c.DownMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// Crash loses all state but the judge's counters, and drops every connection
// until the time is over. Then the engine is back as a new incarnation.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.updateConnected()
	e.endLife()
	e.life = e.newLife(e.life.incarnation)
	e.ledger.totals.Crashes++
	time.AfterFunc(down, e.comeBack)
}

// comeBack ends the time for which a crashed engine is away.
func (e *Engine) comeBack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.updateConnected()
}
