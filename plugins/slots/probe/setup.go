// Package probe is the slot policy "slots.probe", which sends no messages: each
// instance goes by the engine's load reports, by what it has in flight itself,
// and by refusals, and looks at a few random engines at a time so that
// instances with the same reports do not all choose the same engine.
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

// Settings are the policy's settings. A zero takes the default.
type Settings struct {
	// Choices is how many engines are looked at for a decision.
	Choices int `yaml:"choices"`
	// Margin is how many slots are kept back for what the load report does not
	// show yet. Negative: none, and as many more are believed free.
	Margin int `yaml:"margin"`
	// Backoff is how long an engine is left alone after it refused.
	Backoff time.Duration `yaml:"backoff"`
}

// Policy is the slot policy of one instance.
type Policy struct {
	Settings `yaml:",inline"`

	host    kernel.Host
	holds   map[slotkit.Key]*hold
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
	p.holds = map[slotkit.Key]*hold{}
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

// SettingError reports a setting out of its range.
type SettingError struct{ Setting string }

// Error implements error.
func (e *SettingError) Error() string { return "setting " + e.Setting + " must not be negative" }

// Attach implements kernel.Attacher.
func (p *Policy) Attach(h kernel.Host) { p.host = h }
