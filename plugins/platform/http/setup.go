// Package http implements the platform adapter "platform.http". It reads the
// configuration service with the protocol described in docs/protocols/platform.md.
package http

import (
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which the plug-in is registered.
const ID plugin.ID = "platform.http"

func init() { plugin.Register(&HTTP{}) }

// HTTP implements configservice.Adapter. The methods of configservice.Reader may
// be used only after Provision.
type HTTP struct {
	options configservice.Options

	*configservice.Client
}

var _ configservice.Adapter = (*HTTP)(nil)

// PluginInfo implements plugin.Plugin.
func (*HTTP) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &HTTP{} }}
}

// Use implements configservice.Adapter.
func (h *HTTP) Use(o configservice.Options) { h.options = o }

// Provision implements plugin.Provisioner. The error is a
// *configservice.AddressError.
func (h *HTTP) Provision() error {
	c, err := configservice.NewClient(h.options)
	h.Client = c
	return err
}

// Cleanup implements plugin.Cleaner.
func (h *HTTP) Cleanup() error {
	if h.Client != nil {
		h.Client.Close()
	}
	return nil
}
