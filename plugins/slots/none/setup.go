// Package none is the slot policy "slots.none". It grants every reservation
// immediately, so that only the engine itself refuses requests. It is the
// baseline with which the other slot policies are compared.
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
