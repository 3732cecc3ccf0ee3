package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// watch is a read of one key that optionally waits for a newer value.
type watch struct {
	key    string
	reader string
	// blocking is true if the reader gave an index. The watch then waits until the key
	// has a higher one.
	blocking bool
	index    uint64
	wait     time.Duration
}

// parseWatch parses the query of a read. It returns false if the query is malformed.
func parseWatch(r *http.Request) (watch, bool) {
	out := watch{key: mux.Vars(r)["key"], reader: r.Header.Get(HeaderReader)}
	query := r.URL.Query()
	var err error
	if s := query.Get("index"); s != "" {
		out.blocking = true
		if out.index, err = strconv.ParseUint(s, 10, 64); err != nil {
			return watch{}, false
		}
	}
	if s := query.Get("wait"); s != "" {
		if out.wait, err = time.ParseDuration(s); err != nil {
			return watch{}, false
		}
	}
	out.wait = min(out.wait, maxWait)
	return out, true
}

// observation is the state of a key and the platform as a watch sees it at one time.
type observation struct {
	version version
	down    bool
	// next is when the state may change without a write or a change of mode, because of
	// a lag or the flapping schedule; zero if it won't.
	next time.Time
	// changed is closed on the next write or change of mode.
	changed chan struct{}
}

// observe returns the current state of a key for a reader.
func (p *Platform) observe(key string) observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var s observation
	var flapTime time.Time
	s.down, flapTime = p.down(now)
	s.version, s.next = p.store.get(key, p.view(now))
	if s.next.IsZero() || !flapTime.IsZero() && flapTime.Before(s.next) {
		s.next = flapTime
	}
	s.changed = p.changed
	return s
}

// serveGet handles GET /v1/keys/{key}.
func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	q, ok := parseWatch(r)
	if !ok {
		control.WriteError(w, http.StatusBadRequest, control.CodeInvalid, "index must be a number and wait a duration")
		return
	}
	s, ok := p.await(r, q)
	switch {
	case !ok:
		control.AbortConnection()
	case s.down:
		p.serveDown(w, r)
	case q.blocking && s.version.index <= q.index && s.version.index > 0:
		w.Header().Set(HeaderIndex, strconv.FormatUint(s.version.index, 10))
		w.WriteHeader(http.StatusNotModified)
	default:
		p.writeValue(w, q, s.version)
	}
}

// await waits until the key has a newer value, the platform is down, or the watch has timed
// out. It returns false if the reader has disconnected or the platform is closed.
func (p *Platform) await(r *http.Request, q watch) (observation, bool) {
	deadline := time.NewTimer(q.wait)
	defer deadline.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for {
		s := p.observe(q.key)
		if !q.blocking || s.down || s.version.index > q.index || q.wait <= 0 {
			return s, true
		}
		wake := time.NewTimer(untilOr(s.next, maxWait))
		select {
		case <-s.changed:
		case <-wake.C:
		case <-deadline.C:
			q.wait = 0
		case <-r.Context().Done():
			wake.Stop()
			return observation{}, false
		case <-p.ctx.Done():
			wake.Stop()
			return observation{}, false
		}
		wake.Stop()
	}
}

// untilOr returns the time until t, or the value of otherwise if t is zero.
func untilOr(t time.Time, otherwise time.Duration) time.Duration {
	if t.IsZero() {
		return otherwise
	}
	return time.Until(t)
}

// addWaiting adds n to the number of reads and watches in progress.
func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	p.waiting += n
	p.mu.Unlock()
}

// writeValue sends the value of a version, or status 404 if it has none.
func (p *Platform) writeValue(w http.ResponseWriter, q watch, v version) {
	if v.index > 0 {
		w.Header().Set(HeaderIndex, strconv.FormatUint(v.index, 10))
	}
	if v.deleted {
		control.WriteError(w, http.StatusNotFound, control.CodeNotFound, "no such key")
		return
	}
	p.mu.Lock()
	p.meter.addBytes(q.reader, len(v.value))
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(v.value)))
	// The error is ignored: the reader may have disconnected.
	_, _ = w.Write(v.value)
}
