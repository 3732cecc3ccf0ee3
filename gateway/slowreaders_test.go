package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// largeResponseBytes is the size of a large response. It exceeds the socket buffers between an
// instance and its caller.
const largeResponseBytes = 12 << 20

// startLargeResponseUpstream starts an upstream that answers with largeResponseBytes bytes, or with
// a short body on paths that end in "small".
func startLargeResponseUpstream(t *testing.T) dialect.Upstream {
	t.Helper()
	body := bytes.Repeat([]byte("x"), largeResponseBytes)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
		if strings.HasSuffix(r.URL.Path, "small") {
			fmt.Fprint(w, "few")
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return dialect.Upstream{ID: "app", Service: "app", Address: strings.TrimPrefix(s.URL, "http://"), Zone: "a"}
}

// requestWithoutReading sends a request for a large answer and never reads the answer.
func requestWithoutReading(t *testing.T, i *instance) {
	t.Helper()
	c, err := net.Dial("tcp", i.settings.Listen.Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(c, "GET /plain/large HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n\r\n")
	assert.NilError(t, err)
}

// getFrom sends a GET request from the given local address and reads the whole answer. It returns
// the status and the number of bytes of the body.
func getFrom(t *testing.T, i *instance, from, path string) (status, length int) {
	t.Helper()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.settings.Listen.Callers+path, nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", "q")
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, len(body)
}

// TestSlowReadersHoldBoundedMemory guards against unread answers exceeding their caller's share
// of the memory budget, blocking other callers or small answers, or leaking reservations.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	b := newLocalFleet(t)
	b.source.list = []dialect.Upstream{startLargeResponseUpstream(t)}
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	budget := int64(bufferMemoryShare * float64(i.settings.MemoryMB<<20))
	for range 20 {
		requestWithoutReading(t, i)
	}
	await(t, "half of a large answer is buffered", func() bool { return i.service.memory.Used() > largeResponseBytes/2 })
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(10 * time.Millisecond) {
		used := i.service.memory.Used()
		assert.Assert(t, used <= budget/2, "one caller holds %d of %d bytes", used, budget)
	}
	status, length := getFrom(t, i, "127.0.0.2", "/plain/large")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, length, largeResponseBytes)
	status, _ = getFrom(t, i, "127.0.0.1", "/plain/small")
	assert.Equal(t, status, http.StatusOK)
	await(t, "all memory is released", func() bool { return i.service.memory.Used() == 0 })
}

// TestBodiesWithoutMemoryAreRefused guards against large bodies waiting for memory instead of
// being refused at once, and against refusing small ones.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	b := newLocalFleet(t)
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	other := i.service.memory.Open("other")
	assert.NilError(t, other.TryGrow(int64(bufferMemoryShare*float64(i.settings.MemoryMB<<20))))
	start := time.Now()
	status, header, _ := b.post(t, i, "/plain/x", strings.Repeat("x", 1<<20))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Check(t, time.Since(start) < 500*time.Millisecond)
	status, _, _ = b.post(t, i, "/plain/x", "few")
	assert.Equal(t, status, http.StatusOK)
	other.Close()
	status, _, _ = b.post(t, i, "/plain/x", strings.Repeat("x", 1<<20))
	assert.Equal(t, status, http.StatusOK)
}
