package tsf

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "order.tsf"

var _ kernel.QueueOrder = (*Order)(nil)

func init() { plugin.Register(new(Order)) }

// PluginInfo implements plugin.Plugin.
func (*Order) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return new(Order) }}
}
