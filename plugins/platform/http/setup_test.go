package http

import (
	"context"
	"errors"
	nethttp "net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/plugin"
)

func TestReadsTheService(t *testing.T) {
	s := httptest.NewServer(nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		w.Header().Set("X-Index", "4")
		_, _ = w.Write([]byte(r.URL.Path + " " + r.Header.Get("X-Reader")))
	}))
	defer s.Close()
	reader, err := configservice.Open(ID, configservice.Options{URLs: []string{s.URL}, Reader: "entry-a1", Wait: 5 * time.Second})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, plugin.Unload(ID, reader)) }()
	v, err := reader.Get(context.Background(), configservice.KeyBundleParts+"ab")
	assert.NilError(t, err)
	assert.Equal(t, v.Index, uint64(4))
	assert.Equal(t, string(v.Bytes), "/v1/keys/bundle/parts/ab entry-a1")
}

func TestNeedsAnAddress(t *testing.T) {
	_, err := configservice.Open(ID, configservice.Options{Reader: "entry-a1"})
	var missing *configservice.AddressError
	assert.Assert(t, errors.As(err, &missing))
}

// noAdapter is a plug-in that does not implement configservice.Adapter.
type noAdapter struct{}

const noAdapterID plugin.ID = "platform.nothing"

func init() { plugin.Register(noAdapter{}) }

func (noAdapter) PluginInfo() plugin.Info {
	return plugin.Info{ID: noAdapterID, New: func() plugin.Plugin { return noAdapter{} }}
}

func TestOpensAdaptersOnly(t *testing.T) {
	var unknown *plugin.UnknownError
	_, err := configservice.Open("platform.absent", configservice.Options{})
	assert.Assert(t, errors.As(err, &unknown))
	var none *configservice.NotAdapterError
	_, err = configservice.Open(noAdapterID, configservice.Options{})
	assert.Assert(t, errors.As(err, &none))
}
