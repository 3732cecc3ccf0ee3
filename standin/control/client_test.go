package control_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/platform"
	"github.com/wardspool/wardspool/standin/service"
)

func TestClientOfEngine(t *testing.T) {
	e := engine.New(engine.Config{ID: "pf-1", Role: "prefill", Models: []string{"m"}})
	defer e.Close()
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	c := control.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()}

	assert.NilError(t, c.SetEngineFaults(t.Context(), control.EngineFaults{Draining: true}))
	assert.NilError(t, c.Crash(t.Context(), control.Crash{}))
	got, err := c.Engine(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(got.ID), "pf-1")
	assert.Equal(t, got.Totals.Crashes, 1)
}

func TestClientOfService(t *testing.T) {
	s := service.New(service.Config{ID: "sv-1"})
	defer s.Close()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := control.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()}

	assert.NilError(t, c.SetServiceFaults(t.Context(), control.ServiceFaults{Refuse: true}))
	got, err := c.Service(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got.Runs, 0)
}

func TestClientOfPlatform(t *testing.T) {
	p := platform.New(platform.Config{})
	defer p.Close()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	c := control.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()}

	assert.NilError(t, c.PutKey(t.Context(), "roll/current", []byte("r")))
	assert.NilError(t, c.DeleteKey(t.Context(), "roll/current"))
	assert.NilError(t, c.SetMode(t.Context(), control.PlatformMode{Mode: control.ModeStale}))
	var failed *control.StatusError
	assert.Assert(t, errors.As(c.SetMode(t.Context(), control.PlatformMode{Mode: "odd"}), &failed))
	assert.Equal(t, failed.Status, 400)
	got, err := c.Platform(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got.Calls, 0)
	assert.Equal(t, p.Mode().StaleIndex, uint64(2))
}

func TestAttested(t *testing.T) {
	ran := []control.Code{control.CodeDuplicate, control.CodeAborted, control.CodeKVMissing,
		control.CodeTransferFailed, control.CodeInternal, control.CodeUnavailable, "other", ""}
	for _, code := range ran {
		assert.Assert(t, !code.Attested(), code)
	}
	assert.Assert(t, control.CodeNotStarted.Attested())
}
