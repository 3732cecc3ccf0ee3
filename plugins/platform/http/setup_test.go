package http

import (
	"context"
	"errors"
	nethttp "net/http"
	"net/http/httptest"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/platform"
	"github.com/wardspool/wardspool/plugin"
)

// load makes the plug-in from YAML settings.
func load(settings string) (plugin.Plugin, error) {
	return plugin.Load(ID, func(into any) error { return yaml.Unmarshal([]byte(settings), into) })
}

func TestReadsTheService(t *testing.T) {
	s := httptest.NewServer(nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		w.Header().Set("X-Index", "4")
		_, _ = w.Write([]byte(r.URL.Path + " " + r.Header.Get("X-Reader")))
	}))
	defer s.Close()
	p, err := load("urls: [" + s.URL + "]\ninstance: entry-a1\nwait: 5s\n")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, plugin.Unload(ID, p)) }()
	reader, ok := p.(platform.Reader)
	assert.Assert(t, ok)
	v, err := reader.Get(context.Background(), platform.KeyBundleParts+"ab")
	assert.NilError(t, err)
	assert.Equal(t, v.Index, uint64(4))
	assert.Equal(t, string(v.Bytes), "/v1/keys/bundle/parts/ab entry-a1")
}

func TestNeedsAnAddress(t *testing.T) {
	_, err := load("instance: entry-a1\n")
	var missing *platform.AddressError
	assert.Assert(t, errors.As(err, &missing))
}
