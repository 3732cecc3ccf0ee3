package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// The figures of the engines of these tests: an event each eventTime, as many as the caller
// bounds its output to.
const (
	eventTime  = 10 * time.Millisecond
	stopStride = 1
)

// pacedEngine is an upstream that prefills at once, and decodes an event each eventTime. It
// grants reservations while room says so, and leaves plain requests unanswered.
func pacedEngine(t *testing.T, id string, room func() bool) dialect.Upstream {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The body is read so that the end of the connection shows.
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch {
		case r.URL.Path == "/wardspool/hold-take":
			if !room() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprint(w, `{"hold":"r"}`)
		case r.Method == http.MethodDelete:
		case r.Header.Get("Serving-Stage") == "prefill":
			fmt.Fprint(w, `{"kvHandle":"k","tokens":10}`)
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			w.Header().Set("Response-Signature", "sig")
			_, bound, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
			events, _ := strconv.Atoi(bound)
			for i := range events {
				fmt.Fprintf(w, "id: %d\ndata: a\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(eventTime):
				case <-r.Context().Done():
					return
				}
			}
		case strings.HasPrefix(r.URL.Path, "/plain/"):
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return dialect.Upstream{ID: ident.UpstreamID(id), Address: strings.TrimPrefix(s.URL, "http://"), Zone: "a"}
}

// newStopBed is a fleetBed whose engines take their time.
func newStopBed(t *testing.T, room func() bool) *fleetBed {
	t.Helper()
	b := newFleetBed(t)
	app, prefill, decode := pacedEngine(t, "app", room), pacedEngine(t, "p", room), pacedEngine(t, "d", room)
	app.Service, prefill.Service, decode.Service = "app", "llm", "llm"
	prefill.Stage, decode.Stage = dialect.StagePrefill, dialect.StageDecode
	b.source.list = []dialect.Upstream{app, prefill, decode}
	engine := *b.source.config.Services["llm"].Engine
	engine.Stride = stopStride
	llm := b.source.config.Services["llm"]
	llm.Engine = &engine
	b.source.config.Services["llm"] = llm
	for i := range b.source.config.Routes {
		b.source.config.Routes[i].Timeout = time.Minute
		b.source.config.Routes[i].Objective = 30 * time.Second
	}
	return b
}

// callerView is what a caller got: a status and whether the answer was whole.
type callerView struct {
	status int
	header http.Header
	err    error
	events int
}

// served reports whether the caller has a whole answer, refused whether it was told that
// nothing ran and when to come back.
func (v callerView) served() bool { return v.status == http.StatusOK && v.err == nil }
func (v callerView) refused() bool {
	return v.status == http.StatusServiceUnavailable && v.err == nil && v.header.Get("Retry-After") != ""
}

// call sends a request of a caller of its own and waits for its end.
func (b *fleetBed) call(t *testing.T, i *instance, path string, events int) callerView {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.settings.Listen.Callers+path, strings.NewReader("prompt"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprintf("q%d", time.Now().UnixNano()))
	req.Header.Set("Token-Usage", fmt.Sprintf("10,%d", events))
	req.Header.Set("Length-Hint", strconv.Itoa(events))
	resp, err := client.Do(req)
	if err != nil {
		return callerView{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerView{status: resp.StatusCode, header: resp.Header, err: err, events: strings.Count(string(body), "id: ")}
}

// TestStoppingInstanceCutsNoAnswerThatItTookOn:
//
// Callers saw streams end with a closed connection when their instance was stopped in a rolling
// restart. In order: the stop began, the balancer went on to send connections for some seconds, the
// instance took on streams that last longer than what was left of the grace time, and broke
// them off at its end (in the logs `requests broken off by the stop`, and `stream broke off` 7.6 s after
// each `stopping`; most had arrived after it).
func TestStoppingInstanceCutsNoAnswerThatItTookOn(t *testing.T) {
	b := newStopBed(t, func() bool { return true })
	i := b.startWith(t, "one", 3)
	await(t, "ready", func() bool { return b.status(t, i) == http.StatusOK })
	// A stream that has ended shows the pace of the engines.
	assert.Assert(t, b.call(t, i, "/stream/x", 50).served())
	i.stop()
	await(t, "not ready", func() bool { return b.status(t, i) == http.StatusServiceUnavailable })
	var calls sync.WaitGroup
	for _, c := range []struct {
		events int
		ends   bool
	}{{20, true}, {100, true}, {1000, false}, {3000, false}} {
		calls.Go(func() {
			got := b.call(t, i, "/stream/x", c.events)
			assert.Check(t, got.served() == c.ends && got.refused() == !c.ends, "%d events: %+v", c.events, got)
			if c.ends {
				assert.Check(t, got.events == c.events)
			}
		})
	}
	calls.Wait()
}

// TestEndOfTheGraceTimeIsAnswered: whoever has no part of an answer yet learns whether the
// request ran, and when to come back.
//
// Callers saw a closed connection, which says nothing, when the instance ended while their requests
// waited in line or for an upstream.
func TestEndOfTheGraceTimeIsAnswered(t *testing.T) {
	b := newStopBed(t, func() bool { return false })
	i := b.startWith(t, "one", 1)
	await(t, "ready", func() bool { return b.status(t, i) == http.StatusOK })
	views := map[string]callerView{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, path := range []string{"/stream/x", "/plain/x"} {
		calls.Go(func() {
			v := b.call(t, i, path, 10)
			mu.Lock()
			defer mu.Unlock()
			views[path] = v
		})
	}
	await(t, "both are under way", func() bool { return i.service.front.Active() == 2 })
	i.stop()
	calls.Wait()
	assert.Assert(t, views["/stream/x"].refused(), "%+v", views["/stream/x"])
	assert.Assert(t, errors.Is(views["/plain/x"].err, nil), "%+v", views["/plain/x"])
	assert.Equal(t, views["/plain/x"].status, http.StatusBadGateway)
}

// TestHalfReadRequestIsToldOfTheEnd: a caller that is still sending its body learns that nothing
// ran.
func TestHalfReadRequestIsToldOfTheEnd(t *testing.T) {
	b := newStopBed(t, func() bool { return true })
	i := b.startWith(t, "one", 1)
	await(t, "ready", func() bool { return b.status(t, i) == http.StatusOK })
	conn, err := net.Dial("tcp", i.settings.Listen.Callers)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	await(t, "it is being read", func() bool { return i.service.front.Active() == 1 })
	i.stop()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Assert(t, resp.Close)
}

// TestStopEndsWithinItsGraceTime, also while releases at an engine that doesn't answer are on
// their way: they lapse by themselves, and a process that is killed at work breaks off more.
func TestStopEndsWithinItsGraceTime(t *testing.T) {
	b := newStopBed(t, func() bool { return true })
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wardspool/hold-take" {
			fmt.Fprint(w, `{"hold":"r"}`)
			return
		}
		// Neither prompts nor releases are answered.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(engine.Close)
	for n := range b.source.list {
		b.source.list[n].Address = strings.TrimPrefix(engine.URL, "http://")
	}
	const grace = time.Second
	i := b.startWith(t, "one", grace.Seconds())
	await(t, "ready", func() bool { return b.status(t, i) == http.StatusOK })
	var call sync.WaitGroup
	defer call.Wait()
	call.Go(func() { b.call(t, i, "/stream/x", 10) })
	await(t, "it is under way", func() bool { return i.service.front.Active() == 1 })
	start := time.Now()
	i.stop()
	err := <-i.done
	i.done <- err
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < grace, "%v", time.Since(start))
}
