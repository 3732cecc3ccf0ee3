package prefix

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "scorer.prefix"

var _ kernel.Scorer = (*Scorer)(nil)

func init() { plugin.Register(new(Scorer)) }

// PluginInfo implements plugin.Plugin.
func (*Scorer) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return new(Scorer) }}
}
