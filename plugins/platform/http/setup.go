// Package http is the platform adapter "platform.http": it reads the
// configuration service by the protocol of docs/protocols/platform.md.
package http

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/platform"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the plug-in's name.
const ID plugin.ID = "platform.http"

func init() { plugin.Register(&HTTP{}) }

// HTTP is the adapter. Its exported fields are its settings; Reader's methods
// may be used after Provision.
type HTTP struct {
	// URLs are the addresses of the service, tried in turn.
	URLs []string `yaml:"urls"`
	// Instance is this instance's ID, sent with each read.
	Instance ident.InstanceID `yaml:"instance"`
	// Timeout bounds one read, on top of a watch's wait.
	Timeout time.Duration `yaml:"timeout"`
	// Wait is how long one poll of a watch waits.
	Wait time.Duration `yaml:"wait"`

	*platform.Client `yaml:"-"`
}

var _ platform.Reader = (*HTTP)(nil)

// PluginInfo implements plugin.Plugin.
func (*HTTP) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &HTTP{} }}
}

// Provision implements plugin.Provisioner. The error is a
// *platform.AddressError.
func (h *HTTP) Provision() error {
	c, err := platform.NewClient(platform.Options{
		URLs:    h.URLs,
		Reader:  h.Instance,
		Timeout: h.Timeout,
		Wait:    h.Wait,
	})
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
