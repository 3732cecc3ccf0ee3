package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// result is the result of a read.
type result struct {
	dropped    bool
	status     int
	index      string
	body       string
	retryAfter string
}

// get reads a path as the reader "reader".
func get(p *Platform, path string) result {
	return getAs(context.Background(), p, "reader", path)
}

// getAs reads a path as the given reader. A handler that aborts counts as dropped.
func getAs(ctx context.Context, p *Platform, reader, path string) (out result) {
	req := httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	req.Header.Set(HeaderReader, reader)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			out = result{dropped: true}
		}
	}()
	p.Handler().ServeHTTP(w, req)
	return result{
		status:     w.Code,
		index:      w.Header().Get(HeaderIndex),
		body:       strings.TrimSpace(w.Body.String()),
		retryAfter: w.Header().Get("Retry-After"),
	}
}

// withPlatform runs a test on a platform with a fake clock and a limit of 5 calls per second.
func withPlatform(t *testing.T, test func(t *testing.T, p *Platform)) {
	bubble.Test(t, func(t *testing.T) {
		p := New(Config{Rate: 5})
		defer p.Close()
		test(t, p)
	})
}

func TestReadAndList(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("bundle/head", []byte("h"))
		p.Put("bundle/parts/ab", []byte("part"))
		p.Put("roll/current", []byte("r"))
		assert.Equal(t, get(p, "/v1/keys/bundle/parts/ab"), result{status: 200, index: "2", body: "part"})
		assert.Equal(t, get(p, "/v1/keys?prefix=bundle/").body,
			`{"keys":[{"key":"bundle/head","index":1},{"key":"bundle/parts/ab","index":2}]}`)
		p.Delete("roll/current")
		gone := get(p, "/v1/keys/roll/current")
		assert.Equal(t, gone.status, http.StatusNotFound)
		assert.Equal(t, gone.index, "4")
		var body control.ErrorBody
		assert.NilError(t, json.Unmarshal([]byte(get(p, "/v1/keys/absent").body), &body))
		assert.Equal(t, body.Error.Code, control.CodeNotFound)
		assert.Equal(t, get(p, "/v1/keys/roll/current?index=x").status, http.StatusBadRequest)
	})
}

// TestLongPoll checks when a watch returns and what, for a change 1 s after its start.
func TestLongPoll(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(p *Platform)
		after  time.Duration
		want   result
	}{
		{"newer already", "/v1/keys/k?index=0&wait=10s", nil, 0, result{status: 200, index: "1", body: "v1"}},
		{"no index", "/v1/keys/k?wait=10s", nil, 0, result{status: 200, index: "1", body: "v1"}},
		{"written", "/v1/keys/k?index=1&wait=10s", func(p *Platform) { p.Put("k", []byte("v2")) },
			time.Second, result{status: 200, index: "2", body: "v2"}},
		{"other key", "/v1/keys/k?index=1&wait=10s", func(p *Platform) { p.Put("l", nil) },
			10 * time.Second, result{status: 304, index: "1"}},
		{"nothing", "/v1/keys/k?index=1&wait=2s", nil, 2 * time.Second, result{status: 304, index: "1"}},
		{"no wait", "/v1/keys/k?index=1", nil, 0, result{status: 304, index: "1"}},
		{"reader ahead", "/v1/keys/k?index=9&wait=1s", nil, time.Second, result{status: 304, index: "1"}},
		{"appears", "/v1/keys/new?index=0&wait=10s", func(p *Platform) { p.Put("new", []byte("n")) },
			time.Second, result{status: 200, index: "2", body: "n"}},
		{"down", "/v1/keys/k?index=1&wait=10s", func(p *Platform) {
			_ = p.SetMode(control.PlatformMode{Mode: control.ModeDown, DownBehavior: control.DownByClose})
		}, time.Second, result{dropped: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPlatform(t, func(t *testing.T, p *Platform) {
				p.Put("k", []byte("v1"))
				if tt.change != nil {
					time.AfterFunc(time.Second, func() { tt.change(p) })
				}
				start := time.Now()
				assert.Equal(t, get(p, tt.path), tt.want)
				assert.Equal(t, time.Since(start), tt.after)
				assert.Equal(t, p.Judge().Waiting, 0)
				assert.Equal(t, p.Judge().Calls, 1)
			})
		})
	}
}

func TestRemovedKeyWakesWatch(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("v"))
		time.AfterFunc(time.Second, func() { p.Delete("k") })
		got := get(p, "/v1/keys/k?index=1&wait=10s")
		assert.Equal(t, got.status, http.StatusNotFound)
		assert.Equal(t, got.index, "2")
	})
}

func TestReaderLeaves(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		assert.Assert(t, getAs(ctx, p, "a", "/v1/keys/k?index=0&wait=10s").dropped)
		assert.Equal(t, p.Judge().Waiting, 0)
	})
}

func TestRateLimit(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *Platform) {
		p.Put("k", []byte("abc"))
		for range 5 {
			assert.Equal(t, get(p, "/v1/keys/k").status, 200)
			time.Sleep(100 * time.Millisecond)
		}
		for _, reader := range []string{"a", "b"} {
			limited := getAs(t.Context(), p, reader, "/v1/keys/k")
			assert.Equal(t, limited.status, http.StatusTooManyRequests)
			assert.Equal(t, limited.retryAfter, "1")
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, get(p, "/v1/keys/k").status, 200)
		assert.DeepEqual(t, p.Judge(), judge.Platform{
			Calls: 8, Limited: 2, PeakPerSecond: 7,
			ByReader: []judge.Reader{
				{Reader: "a", Calls: 1, PeakPerSecond: 1},
				{Reader: "b", Calls: 1, PeakPerSecond: 1},
				{Reader: "reader", Calls: 6, PeakPerSecond: 5, BytesSent: 18},
			},
		})
	})
}
