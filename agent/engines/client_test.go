package engines

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
)

func newClient(t *testing.T) *Client {
	c := New(&net.Dialer{}, 5*time.Second)
	t.Cleanup(c.Close)
	return c
}

// address starts a server with the handler and returns its host and port.
func address(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// standin starts a stand-in engine that checks fencing numbers and returns its
// address.
func standin(t *testing.T) string {
	e := engine.New(engine.Config{
		ID: "dc-1", Role: config.RoleDecode, Models: []string{"m"}, Version: "1",
		ChecksFencing: true, Perf: perf.Defaults(), LoadWeights: time.Hour,
	})
	t.Cleanup(e.Close)
	return address(t, e.Handler())
}

// respondWith returns a handler that sends the same response to every request.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func TestStandin(t *testing.T) {
	c, addr, ctx := newClient(t), standin(t), context.Background()
	assert.NilError(t, c.Health(ctx, addr))
	l, err := c.Load(ctx, addr)
	assert.NilError(t, err)
	assert.Equal(t, l.Slots, perf.Defaults().Slots)
	assert.Assert(t, l.Incarnation > 0 && l.Seq > 0 && !l.Draining)
	held, err := c.HeldAttempts(ctx, addr)
	assert.NilError(t, err)
	assert.Equal(t, len(held), 0)
	released, err := c.Abort(ctx, addr, "a-1.1.1.1")
	assert.NilError(t, err)
	assert.Assert(t, !released)
	assert.Assert(t, c.Meter().Sent() > 0 && c.Meter().Received() > 0)
}

func TestOrders(t *testing.T) {
	c, addr, ctx := newClient(t), standin(t), context.Background()
	order := Order{Fence: 7, Placement: Placement{Role: config.RoleDecode, Models: []string{"m"}, Version: "2"}}
	s, err := c.SendOrder(ctx, addr, order)
	assert.NilError(t, err)
	assert.Equal(t, s.Highest, uint64(7))
	assert.Equal(t, s.Loading.Version, "2")
	s, err = c.ReadOrders(ctx, addr)
	assert.NilError(t, err)
	assert.Equal(t, s.Version, "1")
	assert.Assert(t, s.ChecksFencing)
	order.Fence = 6
	_, err = c.SendOrder(ctx, addr, order)
	var call *CallError
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Code, CodeStaleFence)
	assert.Equal(t, call.Highest, uint64(7))
	assert.Assert(t, Responded(err))
}

// TestFreshHeader checks that the load report of the header is preferred to the
// body's only if it is valid, of the same incarnation and not older. A header of a
// previous incarnation would otherwise replace the current load.
func TestFreshHeader(t *testing.T) {
	for name, c := range map[string]struct {
		header  string
		running int
	}{
		"fresh":        {`JSON {"named_metrics":{"incarnation":3,"seq":9,"num_requests_running":5}}`, 5},
		"another life": {`JSON {"named_metrics":{"incarnation":2,"seq":9,"num_requests_running":5}}`, 1},
		"older":        {`JSON {"named_metrics":{"incarnation":3,"seq":1,"num_requests_running":5}}`, 1},
		"broken":       {`JSON {`, 1},
		"other form":   {`BIN AAAA`, 1},
		"none":         {``, 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr := address(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerLoad, c.header)
				_, _ = w.Write([]byte(`{"incarnation":3,"seq":4,"running":1,"draining":true}`))
			}))
			l, err := newClient(t).Load(context.Background(), addr)
			assert.NilError(t, err)
			assert.Equal(t, l.Running, c.running)
			assert.Assert(t, l.Draining)
		})
	}
}

func TestFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	release := make(chan struct{})
	silent := address(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() { close(release) })
	for name, c := range map[string]struct {
		addr     string
		kind     Failure
		answered bool
	}{
		"refused":  {closed.Addr().String(), FailRefused, false},
		"error":    {address(t, respondWith(http.StatusServiceUnavailable, `{"error":{"code":"draining"}}`)), FailStatus, true},
		"no JSON":  {address(t, respondWith(http.StatusOK, "<html>")), FailBody, true},
		"redirect": {address(t, respondWith(http.StatusFound, "")), FailStatus, true},
		"silent":   {silent, FailTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			if c.kind == FailTimeout {
				canceled, cancel := context.WithCancel(ctx)
				cancel()
				ctx = canceled
			}
			_, err := newClient(t).Load(ctx, c.addr)
			assert.Equal(t, FailureKind(err), c.kind)
			assert.Equal(t, Responded(err), c.answered)
		})
	}
}

// TestEndlessResponseIsNoResponse guards against a response without end that counts as whole, or that takes much
// memory.
func TestEndlessResponseIsNoResponse(t *testing.T) {
	const limit = 48 << 20
	for name, c := range map[string]struct{ head, piece string }{
		"headers":            {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"body":               {"HTTP/1.1 200 OK\r\n\r\n{}", " "},
		"body of an error":   {"HTTP/1.1 503 Busy\r\n\r\n{}", " "},
		"body with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n{}", " "},
	} {
		t.Run(name, func(t *testing.T) {
			client, closed := newClient(t), make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				defer close(closed)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, err = io.WriteString(conn, c.head)
				for piece := strings.Repeat(c.piece, 4<<10); err == nil; {
					_, err = io.WriteString(conn, piece)
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = client.Health(t.Context(), l.Addr().String())
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < limit, "%d bytes", after.TotalAlloc-before.TotalAlloc)
			<-closed
		})
	}
}
