// Package probe is the slot policy "slots.probe", which sends no messages. Each
// instance estimates the free slots of an engine from the engine's load report,
// from its own uses, and from refusals. For each decision it considers only a
// few random engines, so that instances with the same reports do not all choose
// the same engine.
package probe

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// ID is the policy's plug-in ID.
const ID plugin.ID = "slots.probe"

// The default settings. docs/design/slots.md gives the measurements behind them.
const (
	defaultChoices = 2
	defaultMargin  = 1
	defaultBackoff = 200 * time.Millisecond
)

func init() { plugin.Register(&Policy{}) }

var _ kernel.SlotPolicy = (*Policy)(nil)

// Settings are the policy's settings. The default replaces a setting that is
// zero.
type Settings struct {
	// Choices is the number of engines considered for a decision.
	Choices int `yaml:"choices"`
	// Margin is the number of slots kept free for uses that the load report does
	// not show yet. If it is negative, that many slots more than estimated are
	// assumed to be free.
	Margin int `yaml:"margin"`
	// Backoff is how long an engine gets no new work after a refusal.
	Backoff time.Duration `yaml:"backoff"`
}

// Policy is the slot policy of one instance.
type Policy struct {
	Settings `yaml:",inline"`

	host    kernel.Host
	uses    map[slotkit.Key]*slotUse
	engines map[ident.UpstreamID]*engine
	sample  sample
}

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}

// Provision implements plugin.Provisioner.
func (p *Policy) Provision() error {
	if p.Choices == 0 {
		p.Choices = defaultChoices
	}
	if p.Margin == 0 {
		p.Margin = defaultMargin
	}
	if p.Backoff == 0 {
		p.Backoff = defaultBackoff
	}
	p.uses = map[slotkit.Key]*slotUse{}
	p.engines = map[ident.UpstreamID]*engine{}
	return nil
}

// Validate implements plugin.Validator. Its error is a *SettingError.
func (p *Policy) Validate() error {
	if p.Choices < 0 {
		return &SettingError{Setting: "choices"}
	}
	if p.Backoff < 0 {
		return &SettingError{Setting: "backoff"}
	}
	return nil
}

// SettingError reports a setting whose value is out of range.
type SettingError struct{ Setting string }

// Error implements error.
func (e *SettingError) Error() string { return "setting " + e.Setting + " must not be negative" }

// Attach implements kernel.Attacher.
func (p *Policy) Attach(h kernel.Host) { p.host = h }
