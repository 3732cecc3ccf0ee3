package stale

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "filter.stale"

var _ kernel.Filter = (*Filter)(nil)

func init() { plugin.Register(new(Filter)) }

// PluginInfo implements plugin.Plugin.
func (*Filter) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return new(Filter) }}
}
