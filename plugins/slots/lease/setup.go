package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// ID is the policy's plug-in ID.
const ID plugin.ID = "slots.lease"

// The default settings. docs/design/slots.md gives the measurements behind them.
const (
	defaultAskTimeout    = 150 * time.Millisecond
	defaultQueueWait     = 1 * time.Second
	defaultQueueLimit    = 64
	defaultRenewInterval = 4 * time.Second
	defaultTakeOver      = 1 * time.Second
	defaultMargin        = 2
)

func init() { plugin.Register(&Policy{}) }

var (
	_ kernel.SlotPolicy  = (*Policy)(nil)
	_ kernel.PeerHandler = (*Policy)(nil)
	_ kernel.Waker       = (*Policy)(nil)
)

// Settings are the policy's settings. A zero takes the default.
type Settings struct {
	// AskTimeout is how long a holder waits for the grantor's first answer.
	AskTimeout time.Duration `yaml:"ask_timeout"`
	// QueueWait is the longest an ask waits at the grantor.
	QueueWait time.Duration `yaml:"queue_wait"`
	// QueueLimit bounds the asks that wait for one engine.
	QueueLimit int `yaml:"queue_limit"`
	// RenewInterval is the time between a holder's lists of its leases.
	RenewInterval time.Duration `yaml:"renew_interval"`
	// TakeOver is how long a new grantor goes by the engine's load unless it has
	// heard from all holders earlier.
	TakeOver time.Duration `yaml:"take_over"`
	// Margin is the number of slots a grantor keeps back while it goes by the
	// engine's load.
	Margin int `yaml:"margin"`
}

// Policy is the slot policy of one instance, as holder of leases and as
// grantor of others'.
type Policy struct {
	Settings `yaml:",inline"`

	host kernel.Host
	// me is this instance.
	me      ident.InstanceID
	roster  slotkit.Roster
	holder  holder
	grantor grantor
}

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}

// Provision implements plugin.Provisioner.
func (p *Policy) Provision() error {
	slotkit.SetDefault(&p.AskTimeout, defaultAskTimeout)
	slotkit.SetDefault(&p.QueueWait, defaultQueueWait)
	slotkit.SetDefault(&p.QueueLimit, defaultQueueLimit)
	slotkit.SetDefault(&p.RenewInterval, defaultRenewInterval)
	slotkit.SetDefault(&p.TakeOver, defaultTakeOver)
	slotkit.SetDefault(&p.Margin, defaultMargin)
	p.holder.init()
	p.grantor.init()
	return nil
}

// Validate implements plugin.Validator. Its error is a *SettingError.
func (p *Policy) Validate() error {
	switch {
	case p.AskTimeout < 0:
		return &SettingError{Setting: "ask_timeout"}
	case p.QueueWait < 0:
		return &SettingError{Setting: "queue_wait"}
	case p.QueueLimit < 0:
		return &SettingError{Setting: "queue_limit"}
	case p.RenewInterval < 0:
		return &SettingError{Setting: "renew_interval"}
	case p.TakeOver < 0:
		return &SettingError{Setting: "take_over"}
	case p.Margin < 0:
		return &SettingError{Setting: "margin"}
	}
	return nil
}

// SettingError reports a setting out of its range.
type SettingError struct{ Setting string }

// Error implements error.
func (e *SettingError) Error() string { return "setting " + e.Setting + " must not be negative" }

// Attach implements kernel.Attacher.
func (p *Policy) Attach(h kernel.Host) {
	p.host = h
	p.me = h.Self().Instance
}

// self returns this instance's ID.
func (p *Policy) self() ident.InstanceID { return p.me }
