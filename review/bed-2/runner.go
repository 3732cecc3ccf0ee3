package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Profile says how the runners of a service work.
type Profile struct {
	// Engine means that they are model runners.
	Engine bool
	// TokensInEvent returns how many tokens the event with the given index, from 0, holds. The ID of an event is
	// the number of tokens made so far, so that IDs increase.
	TokensInEvent func(index int) int
	// Events is the number of events of a stream, EventTime the time between two of them.
	Events    int
	EventTime time.Duration
	// PrefillTime is how long a prompt takes.
	PrefillTime time.Duration
	// WorkTime is how long a plain request takes.
	WorkTime time.Duration
}

// Runner is a stand-in of one runner. Its entry in the store is written once, because only seq would change.
type Runner struct {
	ID, Service, Zone, Addr string
	Profile                 Profile

	store  *Store
	record *Record
	fleet  *Runners
	server *http.Server

	mu      sync.Mutex
	stage   string
	busy    bool
	seq     int
	fence   int64
	handles map[string]bool
	holds   map[string]bool
	runs    map[string]*run
}

// run is a request that a runner runs.
type run struct {
	made int
	stop chan struct{}
	once sync.Once
}

// Runners are all runners, by address.
type Runners struct {
	mu     sync.Mutex
	byAddr map[string]*Runner
}

// StartRunner starts a runner and registers it.
func StartRunner(st *Store, rec *Record, fleet *Runners, service, zone, stage string, p Profile) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &Runner{
		ID: fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff), Service: service, Zone: zone, Addr: l.Addr().String(), Profile: p,
		store: st, record: rec, fleet: fleet, stage: stage, handles: map[string]bool{}, holds: map[string]bool{}, runs: map[string]*run{},
	}
	fleet.mu.Lock()
	fleet.byAddr[r.Addr] = r
	fleet.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.register("ready")
	return r
}

// register writes the runner's entry.
func (r *Runner) register(state string) {
	r.mu.Lock()
	entry := map[string]any{"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "slots": 64, "state": state, "coldRemainingMs": 0, "seq": 1}
	if r.Profile.Engine {
		entry["stage"] = r.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.mu.Unlock()
	r.store.Put("servers/"+r.ID, entry)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := q.URL.Path
	switch {
	case path == "/healthz":
		w.Header().Set("Instance-Id", r.ID)
	case path == "/wardspool/report":
		r.report(w)
	case path == "/wardspool/hold-take":
		r.take(w, r.holds, "hold")
	case strings.HasPrefix(path, "/wardspool/hold-drop/"):
		r.drop(r.holds, path)
	case strings.HasPrefix(path, "/wardspool/kv-handle/"):
		r.drop(r.handles, path)
	case path == "/wardspool/order":
		r.order(w, q)
	case path == "/wardspool/kv-move":
		r.move(w, q)
	case path == "/wardspool/kv-list":
		answerJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
	case path == "/wardspool/kv-events":
		answerJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "lost": false, "events": []any{}})
	case strings.HasPrefix(path, "/wardspool/"):
		w.WriteHeader(http.StatusNotFound)
	case !r.Profile.Engine:
		r.plain(w, q)
	case q.Header.Get("Serving-Stage") == "prefill":
		r.prefill(w, q)
	default:
		r.decode(w, q)
	}
}

func (r *Runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	runs := []any{}
	for id, n := range r.runs {
		runs = append(runs, []any{id, 1000, n.made, 5})
	}
	out := map[string]any{
		"stage": r.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": r.busy, "seq": r.seq,
		"queued": 0, "active": len(r.runs), "kvUsed": 1000 * len(r.runs), "kvTotal": 89659, "kvHandles": len(r.handles),
		"pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": runs,
	}
	r.mu.Unlock()
	answerJSON(w, http.StatusOK, out)
}

// take adds a lease or handle and returns its ID under the given name.
func (r *Runner) take(w http.ResponseWriter, in map[string]bool, name string) {
	id := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
	r.mu.Lock()
	in[id] = true
	r.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{name: id})
}

func (r *Runner) drop(in map[string]bool, path string) {
	r.mu.Lock()
	delete(in, path[strings.LastIndexByte(path, '/')+1:])
	r.mu.Unlock()
}

// switchTime is how long a change of the stage takes.
const switchTime = 6 * time.Second

func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Stage, Holder string
		FencingToken      int64
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	r.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Op != "stage" || o.Holder == "" || o.FencingToken == 0:
		status = http.StatusBadRequest
	case o.FencingToken < r.fence:
		status = http.StatusPreconditionFailed
	case r.busy:
		status = http.StatusConflict
	case o.Stage == r.stage:
		status = http.StatusOK
	}
	if status == http.StatusAccepted || status == http.StatusOK {
		r.fence = o.FencingToken
	}
	if status == http.StatusAccepted {
		r.busy = true
		r.seq++
		time.AfterFunc(switchTime, func() {
			r.mu.Lock()
			r.stage, r.busy = o.Stage, false
			r.mu.Unlock()
			r.register("ready")
		})
	}
	r.mu.Unlock()
	r.record.Add("order", "runner", r.ID, "holder", o.Holder, "stage", o.Stage, "fence", o.FencingToken, "status", status)
	w.WriteHeader(status)
}

// signature returns the signature of an answer.
func (r *Runner) signature() string { return "sig." + r.ID }

// refuse states that a request was not run.
func (r *Runner) refuse(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *Runner) prefill(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	stage, busy := r.stage, r.busy
	r.mu.Unlock()
	if stage != "prefill" {
		r.refuse(w, q, http.StatusMisdirectedRequest)
		return
	}
	if busy {
		r.refuse(w, q, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(r.Profile.PrefillTime)
	tokens, _ := strconv.Atoi(strings.Split(q.Header.Get("Token-Usage"), ",")[0])
	id := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
	r.mu.Lock()
	r.handles[id] = true
	r.mu.Unlock()
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	answerJSON(w, http.StatusOK, map[string]any{"kvHandle": id, "tokens": tokens, "version": 1})
}

// takeSource takes the handle that a request names. It returns false if the handle is gone.
func (r *Runner) takeSource(source string) bool {
	addr, id, _ := strings.Cut(source, "/")
	r.fleet.mu.Lock()
	from := r.fleet.byAddr[addr]
	r.fleet.mu.Unlock()
	if from == nil {
		return false
	}
	from.mu.Lock()
	defer from.mu.Unlock()
	ok := from.handles[id]
	delete(from.handles, id)
	return ok
}

func (r *Runner) decode(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	r.mu.Lock()
	stage, busy := r.stage, r.busy
	delete(r.holds, q.Header.Get("Kv-Hold"))
	r.mu.Unlock()
	source := q.Header.Get("Kv-Source")
	switch {
	case stage != "decode":
		r.refuse(w, q, http.StatusMisdirectedRequest)
		return
	case busy, source != "" && !r.takeSource(source):
		r.refuse(w, q, http.StatusServiceUnavailable)
		return
	}
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	this := &run{stop: make(chan struct{})}
	r.mu.Lock()
	r.runs[id] = this
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		if r.runs[id] == this {
			delete(r.runs, id)
		}
		r.mu.Unlock()
	}()
	r.record.Add("run", "runner", r.ID, "service", r.Service, "request", id, "after", last)
	end := r.stream(w, q, this, last)
	r.record.Add("run ends", "runner", r.ID, "request", id, "how", end)
	if end == "stopped" {
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events after the one with the ID last, and returns how it ended.
func (r *Runner) stream(w http.ResponseWriter, q *http.Request, this *run, last int) string {
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	h.Set("Response-Signature", r.signature())
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	tokens := 0
	for i := range r.Profile.Events {
		tokens += r.Profile.TokensInEvent(i)
		if tokens <= last {
			continue
		}
		select {
		case <-time.After(r.Profile.EventTime):
		case <-this.stop:
			return "stopped"
		case <-q.Context().Done():
			return "its caller closed the connection"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens up to %d\n\n", tokens, tokens); err != nil {
			return "its caller closed the connection"
		}
		w.(http.Flusher).Flush()
		r.mu.Lock()
		this.made++
		r.mu.Unlock()
	}
	return "complete"
}

func (r *Runner) move(w http.ResponseWriter, q *http.Request) {
	var m struct {
		ID, Destination string
		Last            bool
	}
	_ = json.NewDecoder(q.Body).Decode(&m)
	r.fleet.mu.Lock()
	to := r.fleet.byAddr[m.Destination]
	r.fleet.mu.Unlock()
	r.mu.Lock()
	this := r.runs[m.ID]
	r.mu.Unlock()
	if this == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.Last {
		this.once.Do(func() { close(this.stop) })
		r.mu.Lock()
		delete(r.runs, m.ID)
		r.mu.Unlock()
	}
	id := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
	r.mu.Lock()
	r.handles[id] = true
	made := this.made
	r.mu.Unlock()
	status := http.StatusOK
	if to == nil {
		status = http.StatusServiceUnavailable
	}
	answerJSON(w, status, map[string]any{"kvHandle": id, "made": made})
}

// plain answers a request of a plain service.
func (r *Runner) plain(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	r.record.Add("run", "runner", r.ID, "service", r.Service, "request", id)
	select {
	case <-time.After(r.Profile.WorkTime):
	case <-q.Context().Done():
		r.record.Add("run ends", "runner", r.ID, "request", id, "how", "its caller closed the connection")
		return
	}
	body := "the answer to " + id
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", r.signature())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	r.record.Add("run ends", "runner", r.ID, "request", id, "how", "complete", "error", err)
}
