// Package http implements the service adapter "service.http". It calls plain
// services over HTTP/1.1; see README.md.
package http

import (
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "service.http"

func init() { plugin.Register(&Service{}) }

// Service implements adapter.Service. Its exported fields are its settings.
// Fields that are zero take the defaults of package roundtrip.
type Service struct {
	// DialTimeout bounds the time to establish a TCP connection.
	DialTimeout time.Duration `yaml:"dial_timeout"`
	// IdlePerUpstream is the number of idle connections kept for each service.
	IdlePerUpstream int `yaml:"idle_per_upstream"`

	client *roundtrip.Client
}

var _ adapter.Service = (*Service)(nil)

// PluginInfo implements plugin.Plugin.
func (*Service) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Service{} }}
}

// Provision implements plugin.Provisioner.
func (s *Service) Provision() error {
	s.client = roundtrip.New(roundtrip.Options{
		DialTimeout:     s.DialTimeout,
		IdlePerUpstream: s.IdlePerUpstream,
	})
	return nil
}

// Cleanup implements plugin.Cleaner.
func (s *Service) Cleanup() error {
	if s.client != nil {
		s.client.Close()
	}
	return nil
}
