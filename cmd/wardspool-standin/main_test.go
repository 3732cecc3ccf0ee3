package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/perf"
	"github.com/wardspool/wardspool/standin/platform"
)

// TestDefaults checks that the defaults of the flags equal those of the performance
// model.
func TestDefaults(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.Vars{"version": "v"})
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"engine", "--listen=127.0.0.1:0", "--id=e", "--model=m", "--model=n"})
	assert.NilError(t, err)
	assert.Equal(t, c.Engine.Perf.params(), perf.Defaults())
	assert.DeepEqual(t, c.Engine.Models, []string{"m", "n"})
}

// TestSeed checks that a file becomes a key, and that a file larger than
// platform.MaxValue is refused.
func TestSeed(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "bundle", "parts"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "bundle", "parts", "ab"), []byte("part"), 0o600))
	p := platform.New(platform.Config{})
	defer p.Close()
	assert.NilError(t, seed(p, dir))
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/keys/bundle/parts/ab", nil))
	assert.Equal(t, w.Body.String(), "part")

	large := make([]byte, platform.MaxValue+1)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "large"), large, 0o600))
	assert.ErrorContains(t, seed(p, dir), "exceeds")
}

// TestServeStops checks that serve answers a request and returns nil once its
// context is done.
func TestServeStops(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	go func() { done <- serve(ctx, slog.New(slog.DiscardHandler), l, handler) }()
	resp, err := http.Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(text), "ok")
	stop()
	assert.NilError(t, <-done)
}

// TestBadFlags checks that invalid parameters and an invalid address are reported.
func TestBadFlags(t *testing.T) {
	c := engineCmd{Listen: "127.0.0.1:0", ID: "e", Models: []string{"m"}}
	assert.ErrorContains(t, c.Run(t.Context(), slog.New(slog.DiscardHandler)), "slots")
	s := serviceCmd{Listen: "no address", ID: "s", Service: "s"}
	assert.ErrorContains(t, s.Run(t.Context(), slog.New(slog.DiscardHandler)), "listening")
}
