package engine

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// Bounds of the memory of aborts that came before their attempts.
const (
	maxTombstones     = 100_000
	tombstoneLifetime = 2 * time.Minute
)

// tombstones remembers the attempts that were aborted before they arrived.
type tombstones struct {
	until map[string]time.Time
	order []string // oldest first; may name some that are gone
}

// newTombstones returns an empty memory.
func newTombstones() *tombstones {
	return &tombstones{until: make(map[string]time.Time)}
}

// add remembers an attempt ID and drops what is too old or too much.
func (t *tombstones) add(id string, now time.Time) {
	if _, known := t.until[id]; !known {
		t.order = append(t.order, id)
	}
	t.until[id] = now.Add(tombstoneLifetime)
	for len(t.order) > 0 {
		oldest := t.order[0]
		until, known := t.until[oldest]
		if known && until.After(now) && len(t.order) <= maxTombstones {
			return
		}
		delete(t.until, oldest)
		t.order = t.order[1:]
	}
}

// take reports whether an attempt ID was aborted before. It stays remembered,
// because the same attempt may arrive twice.
func (t *tombstones) take(id string, now time.Time) bool {
	until, known := t.until[id]
	return known && until.After(now)
}

// serveAbort answers POST /abort_request.
func (e *Engine) serveAbort(w http.ResponseWriter, r *http.Request) {
	var req AbortRequest
	if !control.ReadJSON(w, r, &req) {
		return
	}
	if req.RID == "" || len(req.RID) > maxIDLength {
		invalid("rid is missing or too long").write(w)
		return
	}
	control.WriteJSON(w, http.StatusOK, AbortResponse{Released: e.abort(req.RID)})
}

// abort releases an attempt, in whichever stage it is, and reports whether
// there was something to release. An unknown attempt is refused if it arrives.
func (e *Engine) abort(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.life.attempts[id]
	if a == nil {
		e.life.tombstones.add(id, time.Now())
	}
	if a == nil || !a.running() {
		e.ledger.abortMissed()
		return false
	}
	e.ledger.aborted(a)
	e.end(a, &failureAborted)
	return true
}
