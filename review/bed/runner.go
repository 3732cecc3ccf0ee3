package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a model runner or a process of a plain service.
type runner struct {
	rec                      *record
	id, service, zone, stage string
	address                  string
	slots, kvTokens          int
	// prefillPerMS is the number of prompt tokens read in a ms, tokenTime the time per output token.
	prefillPerMS float64
	tokenTime    time.Duration

	mu      sync.Mutex
	seq     int64
	fence   int64
	busy    bool
	active  int
	kvUsed  int
	held    map[string]int
	handles map[string]int
	next    int
	orders  []order
	runs    []ran
	// losing means that the runner loses the answers to lostShare of the requests that it runs.
	losing bool
	// silentUntil is when a silence of the runner ends: until then it sends nothing and does no work.
	silentUntil time.Time
	// keeps means that the runner doesn't drop a stream when its connection closes.
	keeps bool
	// work holds the time of each run's first and last token.
	work []work
}

// order is an order that reached a runner.
type order struct {
	At     time.Time
	Op     string `json:"op"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fencingToken"`
	Status int
}

// ran is a request that a runner ran.
type ran struct{ id, method, target, host, body string }

// work is the time that a runner worked on the output of a stream.
type work struct {
	id         string
	begin, end time.Time
}

// stride is the number of tokens in an event.
const stride = 64

// addRunner starts a runner and registers it in the store, where it beats from then on.
func (b *bed) addRunner(r *runner) error {
	r.rec, r.held, r.handles = b.rec, map[string]int{}, map[string]int{}
	var err error
	if r.address, err = b.listen("127.0.0.1", r); err != nil {
		return err
	}
	b.runners = append(b.runners, r)
	b.rec.add("runner %s of %s at %s in %s, stage %q", r.id, r.service, r.address, r.zone, r.stage)
	b.store.put("servers/"+r.id, r.entry())
	b.beats.Go(func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-tick.C:
				b.store.put("servers/"+r.id, r.entry())
			}
		}
	})
	return nil
}

// addModelRunners starts the nine model runners of the site, the first of them for prefill.
func (b *bed) addModelRunners(zones []string, prefill int) error {
	for i := range 9 {
		r := &runner{
			id: fmt.Sprintf("i-%04d", i), service: "manifest-llm", zone: zones[i%len(zones)], stage: "decode", slots: 64, kvTokens: 89659,
			prefillPerMS: 55.6, tokenTime: 650 * time.Microsecond,
		}
		if i < prefill {
			r.stage = "prefill"
		}
		if err := b.addRunner(r); err != nil {
			return err
		}
	}
	return nil
}

// addPlainRunners starts the three runners of the site's plain service.
func (b *bed) addPlainRunners(zones []string) error {
	for i, zone := range zones {
		if err := b.addRunner(&runner{id: fmt.Sprintf("i-%04d", i), service: "preorder-api", zone: zone, slots: 6}); err != nil {
			return err
		}
	}
	return nil
}

// entry returns what the runner writes to the store.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "coldRemainingMs": 0, "seq": r.seq}
	if r.stage != "" {
		e["stage"] = r.stage
	}
	return e
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.awaitSound()
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/wardspool/report":
		r.report(w)
	case q.URL.Path == "/wardspool/order":
		r.order(w, body)
	case q.URL.Path == "/wardspool/hold-take":
		r.hold(w, body)
	case strings.HasPrefix(q.URL.Path, "/wardspool/hold-drop/"):
		r.dropHold(strings.TrimPrefix(q.URL.Path, "/wardspool/hold-drop/"))
	case strings.HasPrefix(q.URL.Path, "/wardspool/kv-handle/"):
		r.dropHandle(strings.TrimPrefix(q.URL.Path, "/wardspool/kv-handle/"))
	case strings.HasPrefix(q.URL.Path, "/wardspool/"):
		w.WriteHeader(http.StatusNotFound)
	case r.stage == "":
		r.plain(w, q, body)
	case q.Header.Get("Serving-Stage") == "prefill":
		r.prefill(w, q)
	default:
		r.stream(w, q)
	}
}

// report answers with the runner's load.
func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := 0
	for _, n := range r.held {
		held += n
	}
	writeJSON(w, http.StatusOK, map[string]any{"stage": r.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": r.busy, "seq": len(r.orders),
		"queued": 0, "active": r.active, "kvUsed": r.kvUsed, "kvTotal": r.kvTokens, "kvHandles": len(r.handles), "held": held, "pinned": 0, "runs": []any{}})
}

// switchTime is how long a runner is away while it changes its stage.
const switchTime = 6 * time.Second

// order carries out an order. The runner checks fencing tokens.
func (r *runner) order(w http.ResponseWriter, body []byte) {
	o := order{At: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := json.Unmarshal(body, &o)
	switch {
	case err != nil || o.Holder == "" || o.Fence == 0 || o.Op != "stage":
		o.Status = http.StatusBadRequest
	case o.Fence < r.fence:
		o.Status = http.StatusPreconditionFailed
	case r.busy:
		o.Status = http.StatusConflict
	case o.Stage == r.stage:
		o.Status = http.StatusOK
	default:
		o.Status = http.StatusAccepted
		r.busy = true
		time.AfterFunc(switchTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.stage, r.busy = o.Stage, false
		})
	}
	if o.Status != http.StatusBadRequest {
		r.fence = max(r.fence, o.Fence)
	}
	r.orders = append(r.orders, o)
	r.rec.add("runner %s: order from %s to %s, fencing token %d: %d", r.id, o.Holder, o.Stage, o.Fence, o.Status)
	w.WriteHeader(o.Status)
}

// hold reserves a slot and memory.
func (r *runner) hold(w http.ResponseWriter, body []byte) {
	var q struct {
		Tokens int   `json:"tokens"`
		TTLMS  int64 `json:"ttlMs"`
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	used := r.kvUsed
	for _, n := range r.held {
		used += n
	}
	if json.Unmarshal(body, &q) != nil || r.busy || r.active+len(r.held) >= r.slots || used+q.Tokens > r.kvTokens {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.next++
	id := fmt.Sprintf("h%d", r.next)
	r.held[id] = q.Tokens
	time.AfterFunc(time.Duration(q.TTLMS)*time.Millisecond, func() { r.dropHold(id) })
	writeJSON(w, http.StatusOK, map[string]any{"hold": id})
}

// dropHold releases a reservation.
func (r *runner) dropHold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, id)
}

// dropHandle frees a prefill result.
func (r *runner) dropHandle(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.handles, id)
}

// shed answers that the request was not run.
func (r *runner) shed(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lostShare is the share of the answers that a runner loses, in tenths.
const lostShare = 4

// plain runs a request of a plain service.
func (r *runner) plain(w http.ResponseWriter, q *http.Request, body []byte) {
	id := q.Header.Get("Request-Id")
	r.mu.Lock()
	r.runs = append(r.runs, ran{id, q.Method, q.RequestURI, q.Host, string(body)})
	// The multiplier spreads the lost answers over each ten runs.
	lost := r.losing && len(r.runs)*7%10 < lostShare
	r.mu.Unlock()
	r.rec.add("runner %s runs %s: %s %s, Host %s, path %s", r.id, id, q.Method, q.RequestURI, q.Host, q.URL.Path)
	time.Sleep(60 * time.Millisecond)
	if lost {
		r.rec.add("runner %s has run %s and resets the connection: the answer is lost", r.id, id)
		reset(w)
		return
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Signature", "sig-"+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// setLosing sets whether the runner loses answers.
func (r *runner) setLosing(losing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losing = losing
}

// usage returns the prompt tokens of a request and its output tokens: what the client estimates.
func usage(q *http.Request) (prompt, output int) {
	fmt.Sscanf(q.Header.Get("Token-Usage"), "%d,%d", &prompt, &output)
	var hint int
	if _, err := fmt.Sscanf(q.Header.Get("Length-Hint"), "%d", &hint); err == nil {
		output = min(output, hint)
	}
	return prompt, output
}

// prefill reads a prompt and keeps its KV cache under a handle.
func (r *runner) prefill(w http.ResponseWriter, q *http.Request) {
	prompt, _ := usage(q)
	r.mu.Lock()
	wrong, away := r.stage != "prefill", r.busy
	r.next++
	handle := fmt.Sprintf("kv%d", r.next)
	r.mu.Unlock()
	if wrong {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if away {
		r.shed(w, q)
		return
	}
	time.Sleep(time.Duration(float64(prompt)/r.prefillPerMS) * time.Millisecond)
	r.mu.Lock()
	r.handles[handle] = prompt
	r.mu.Unlock()
	time.AfterFunc(time.Second, func() { r.dropHandle(handle) })
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	writeJSON(w, http.StatusOK, map[string]any{"kvHandle": handle, "tokens": prompt, "version": 1})
}

// stream generates the output of a request.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	prompt, output := usage(q)
	r.mu.Lock()
	delete(r.held, q.Header.Get("Kv-Hold"))
	wrong, full := r.stage != "decode", r.busy || r.active >= r.slots || r.kvUsed+prompt+output > r.kvTokens
	if !wrong && !full {
		r.active++
		r.kvUsed += prompt + output
		r.runs = append(r.runs, ran{id: id, method: q.Method, target: q.RequestURI})
	}
	r.mu.Unlock()
	if wrong {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		r.shed(w, q)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.active--
		r.kvUsed -= prompt + output
	}()
	if q.Header.Get("Kv-Source") == "" {
		time.Sleep(time.Duration(2*float64(prompt)/r.prefillPerMS) * time.Millisecond)
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Signature", "sig-"+id)
	h.Set("Content-Type", "text/event-stream")
	first := 0
	if seen, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = seen
	}
	done := work{id: id, begin: time.Now()}
	defer func() {
		done.end = time.Now()
		r.rec.add("runner %s ends its work on %s", r.id, id)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.work = append(r.work, done)
	}()
	r.rec.add("runner %s begins to make the output of %s at event %d", r.id, id, first+1)
	for i := first; i < (output+stride-1)/stride; i++ {
		r.awaitSound()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1); err != nil && !r.keeps {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(stride * r.tokenTime):
		case <-r.dropped(q):
			return
		}
	}
}

// dropped returns a channel that is closed when the runner drops a stream because its connection closed.
func (r *runner) dropped(q *http.Request) <-chan struct{} {
	if r.keeps {
		return nil
	}
	return q.Context().Done()
}

// fallSilent makes the runner silent for the given time, after which it goes on.
func (r *runner) fallSilent(lasts time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(lasts)
}

// awaitSound waits for the end of the runner's silence.
func (r *runner) awaitSound() {
	for {
		r.mu.Lock()
		left := time.Until(r.silentUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// writeJSON writes a JSON answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
