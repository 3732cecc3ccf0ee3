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

// Default settings. See docs/design/slots.md for the measurements behind them.
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

// Settings are the policy's settings. Zero values are replaced by the defaults.
type Settings struct {
	// AskTimeout is how long a holder waits for the grantor's first answer.
	AskTimeout time.Duration `yaml:"ask_timeout"`
	// QueueWait is the maximum time for which an ask waits in the grantor's
	// queue.
	QueueWait time.Duration `yaml:"queue_wait"`
	// QueueLimit is the maximum number of asks queued for one engine.
	QueueLimit int `yaml:"queue_limit"`
	// RenewInterval is the time between two Renews of a holder.
	RenewInterval time.Duration `yaml:"renew_interval"`
	// TakeOver is how long a new grantor limits its leases by the engine's load
	// report, because it may not know all leases yet. It stops earlier once it
	// has received a Renew from every live instance.
	TakeOver time.Duration `yaml:"take_over"`
	// Margin is the number of slots that a new grantor does not lease during
	// TakeOver although the load report shows them as free.
	Margin int `yaml:"margin"`
}

// Policy is the slot policy of one instance. The instance is the holder of its
// own leases, and the grantor of the engines for which it was chosen.
type Policy struct {
	Settings `yaml:",inline"`

	host kernel.Host
	// instanceID is this instance's ID.
	instanceID ident.InstanceID
	roster     slotkit.Roster
	holder     holder
	grantor    grantor
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

// Validate implements plugin.Validator. The error is a *SettingError.
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

// SettingError reports a setting with a negative value.
type SettingError struct{ Setting string }

// Error implements error.
func (e *SettingError) Error() string { return "setting " + e.Setting + " must not be negative" }

// Attach implements kernel.Attacher.
func (p *Policy) Attach(h kernel.Host) {
	p.host = h
	p.instanceID = h.Self().Instance
}

// self returns this instance's ID.
func (p *Policy) self() ident.InstanceID { return p.instanceID }
