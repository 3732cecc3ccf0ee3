// Package openai implements the engine adapter "engine.openai". It uses the
// OpenAI-compatible API with vLLM's KV transfer parameters; see README.md.
package openai

import (
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "engine.openai"

func init() { plugin.Register(&Engine{}) }

// Engine implements adapter.Engine. Its exported fields are its settings. Fields
// that are zero take the defaults of package roundtrip.
type Engine struct {
	// DialTimeout bounds the time to establish a TCP connection.
	DialTimeout time.Duration `yaml:"dial_timeout"`
	// IdlePerUpstream is the number of idle connections kept for each engine.
	IdlePerUpstream int `yaml:"idle_per_upstream"`

	client *roundtrip.Client
}

var _ adapter.Engine = (*Engine)(nil)

// PluginInfo implements plugin.Plugin.
func (*Engine) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Engine{} }}
}

// Provision implements plugin.Provisioner.
func (e *Engine) Provision() error {
	e.client = roundtrip.New(roundtrip.Options{
		DialTimeout:     e.DialTimeout,
		IdlePerUpstream: e.IdlePerUpstream,
		BufferBytes:     streamBufferBytes,
	})
	return nil
}

// Cleanup implements plugin.Cleaner.
func (e *Engine) Cleanup() error {
	if e.client != nil {
		e.client.Close()
	}
	return nil
}
