// Package http is the platform adapter "platform.http": it reads the
// configuration service by the protocol of docs/protocols/platform.md.
package http

import (
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the plug-in's name.
const ID plugin.ID = "platform.http"

func init() { plugin.Register(&HTTP{}) }

// HTTP is the adapter. The methods of configservice.Reader may be used after Provision.
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
