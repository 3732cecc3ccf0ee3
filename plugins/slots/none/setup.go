// Package none is the slot policy "slots.none", which grants every reservation
// at once and leaves it to the engine to refuse. It is the baseline that the
// other slot policies are measured against.
package none

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the policy's plug-in ID.
const ID plugin.ID = "slots.none"

func init() { plugin.Register(&Policy{}) }

var _ kernel.SlotPolicy = (*Policy)(nil)

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}
