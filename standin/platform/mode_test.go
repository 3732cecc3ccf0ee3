package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/standin/control"
)

// setMode sets the mode over the control interface.
func setMode(t *testing.T, p *Platform, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, control.PathMode, strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
}

func TestStale(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("v1"))
		p.Put("l", []byte("w1"))
		p.Put("k", []byte("v2"))
		setMode(t, p, `{"mode":"stale","stale_index":2}`)
		p.Put("new", []byte("n"))
		assert.Equal(t, get(p, "/v1/keys/k"), result{status: 200, index: "1", body: "v1"})
		assert.Equal(t, get(p, "/v1/keys/new").status, 404)
		assert.Equal(t, get(p, "/v1/keys?prefix=").body, `{"keys":[{"key":"k","index":1},{"key":"l","index":2}]}`)
		// A reader that has index 3 is served a lower index.
		assert.Equal(t, get(p, "/v1/keys/k?index=3&wait=1s"), result{status: 304, index: "1"})
		time.AfterFunc(time.Second, func() { setMode(t, p, `{"mode":"up"}`) })
		assert.Equal(t, get(p, "/v1/keys/k?index=1&wait=10s"), result{status: 200, index: "3", body: "v2"})
	})
}

func TestStaleFromNow(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("v1"))
		setMode(t, p, `{"mode":"stale"}`)
		p.Put("k", []byte("v2"))
		assert.Equal(t, get(p, "/v1/keys/k").body, "v1")
	})
}

func TestDown(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("v"))
		setMode(t, p, `{"mode":"down"}`)
		assert.Equal(t, get(p, "/v1/keys/k").status, http.StatusServiceUnavailable)
		setMode(t, p, `{"mode":"down","down_by":"hang"}`)
		start := time.Now()
		time.AfterFunc(time.Second, func() { setMode(t, p, `{"mode":"up"}`) })
		assert.Assert(t, get(p, "/v1/keys/k").dropped)
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, get(p, "/v1/keys/k").status, 200)
	})
}

func TestLags(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		setMode(t, p, `{"mode":"up","lags":[{"prefix":"","lag_ms":100},{"prefix":"ups","lag_ms":3000}]}`)
		p.Put("upstreams", []byte("u"))
		p.Put("instances", []byte("i"))
		start := time.Now()
		assert.Equal(t, get(p, "/v1/keys/instances").status, 404)
		assert.Equal(t, get(p, "/v1/keys/instances?index=0&wait=10s").body, "i")
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		assert.Equal(t, get(p, "/v1/keys/upstreams?index=0&wait=10s").body, "u")
		assert.Equal(t, time.Since(start), 3*time.Second)
	})
}

func TestFlapping(t *testing.T) {
	run := func() (states string) {
		bubble.Test(t, func(t *testing.T) {
			p := New(Config{})
			defer p.Close()
			p.Put("k", []byte("v"))
			setMode(t, p, `{"mode":"flapping","seed":3,"mean_up_ms":400,"mean_down_ms":200}`)
			for range 100 {
				states += map[int]string{200: "u", 503: "d"}[get(p, "/v1/keys/k").status]
				time.Sleep(50 * time.Millisecond)
			}
		})
		return states
	}
	first := run()
	assert.Equal(t, first, run())
	down := strings.Count(first, "d")
	assert.Assert(t, down > 10 && down < 60, "down %d of 100", down)
}

// TestFlapEndsWatch checks that a pending watch ends when a flapping platform goes down.
func TestFlapEndsWatch(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("v"))
		setMode(t, p, `{"mode":"flapping","seed":3,"down_by":"close"}`)
		start := time.Now()
		assert.Assert(t, get(p, "/v1/keys/k?index=1&wait=30s").dropped)
		passed := time.Since(start)
		assert.Assert(t, passed >= 500*time.Millisecond && passed < 1500*time.Millisecond, passed)
	})
}

func TestBadModes(t *testing.T) {
	p := New(Config{})
	defer p.Close()
	for _, m := range []control.PlatformMode{{}, {Mode: "odd"}, {Mode: control.ModeDown, DownBehavior: "odd"}} {
		var invalid *control.InvalidError
		assert.Assert(t, errors.As(p.SetMode(m), &invalid))
	}
	assert.Equal(t, p.Mode().Mode, control.ModeUp)
}

func TestHistoryIsBounded(t *testing.T) {
	s := newStore()
	for range 20 {
		s.put("k", make([]byte, MaxValue), time.Time{})
	}
	assert.Assert(t, len(s.keys["k"]) <= maxHistoryBytes/MaxValue)
	seen, _ := s.get("k", view{lag: func(string) time.Duration { return 0 }})
	assert.Equal(t, seen.index, uint64(20))
}

func TestBenchWrites(t *testing.T) {
	p := New(Config{})
	defer p.Close()
	write := func(method, body string) int {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(method, control.PathKeys+"roll/current", strings.NewReader(body)))
		return w.Code
	}
	assert.Equal(t, write(http.MethodPut, strings.Repeat("x", MaxValue)), 200)
	assert.Equal(t, write(http.MethodPut, strings.Repeat("x", MaxValue+1)), 413)
	assert.Equal(t, len(get(p, "/v1/keys/roll/current").body), MaxValue)
	assert.Equal(t, write(http.MethodDelete, ""), 200)
	assert.Equal(t, get(p, "/v1/keys/roll/current").status, 404)
}
