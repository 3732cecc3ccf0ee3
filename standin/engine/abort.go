package engine

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// Limits on the record of aborts that arrived before their attempts.
const (
	maxTombstones     = 100_000
	tombstoneLifetime = 2 * time.Minute
)

// tombstones records the IDs of attempts that were aborted before they arrived.
type tombstones struct {
	expiresAt map[string]time.Time
	order     []string // oldest first; may contain IDs that are no longer in until
}

// newTombstones returns an empty record.
func newTombstones() *tombstones {
	return &tombstones{expiresAt: make(map[string]time.Time)}
}

// add records an attempt ID and drops entries that have expired or exceed
// maxTombstones, oldest first.
func (t *tombstones) add(id string, now time.Time) {
	if _, known := t.expiresAt[id]; !known {
		t.order = append(t.order, id)
	}
	t.expiresAt[id] = now.Add(tombstoneLifetime)
	for len(t.order) > 0 {
		oldest := t.order[0]
		until, known := t.expiresAt[oldest]
		if known && until.After(now) && len(t.order) <= maxTombstones {
			return
		}
		delete(t.expiresAt, oldest)
		t.order = t.order[1:]
	}
}

// contains reports whether an attempt ID was aborted before it arrived. The
// entry is kept, because the same attempt may arrive twice.
func (t *tombstones) contains(id string, now time.Time) bool {
	until, known := t.expiresAt[id]
	return known && until.After(now)
}

// serveAbort handles POST /abort_request.
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

// abort releases an attempt in any stage and reports whether there was
// something to release. An unknown ID is recorded, so that its attempt is
// refused if it arrives later.
func (e *Engine) abort(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.state.attempts[id]
	if a == nil {
		e.state.tombstones.add(id, time.Now())
	}
	if a == nil || !a.running() {
		e.ledger.abortUnknown()
		return false
	}
	e.ledger.aborted(a)
	e.end(a, &failureAborted)
	return true
}
