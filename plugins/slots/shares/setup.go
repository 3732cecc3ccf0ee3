// Package shares is the slot policy "slots.shares": each instance owns a static
// share of each decode engine's slots and lends idle ones to instances that ask.
//
// Shares follow from the live instances alone, so that instances with the same
// view agree on them without talking. A loan is used for request after request
// until its owner wants it back or it has been idle for a while. The borrower
// tells the owner regularly how many slots it has on loan, which makes up for
// lost messages; a loan that is not confirmed for a while is over.
package shares

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// ID is the policy's plug-in ID.
const ID plugin.ID = "slots.shares"

// The default settings.
const (
	defaultAskTimeout = 150 * time.Millisecond
	defaultWait       = 1 * time.Second
	defaultTries      = 3
	defaultIdle       = 250 * time.Millisecond
	defaultConfirm    = 1 * time.Second
)

func init() { plugin.Register(&Policy{}) }

var (
	_ kernel.SlotPolicy  = (*Policy)(nil)
	_ kernel.PeerHandler = (*Policy)(nil)
	_ kernel.Waker       = (*Policy)(nil)
)

// Settings are the policy's settings. A zero takes the default.
type Settings struct {
	// AskTimeout is how long to wait for one instance's answer.
	AskTimeout time.Duration `yaml:"ask_timeout"`
	// Wait is the longest a reservation waits for a slot of the own share.
	Wait time.Duration `yaml:"wait"`
	// Tries is how many instances are asked for a loan.
	Tries int `yaml:"tries"`
	// Idle is how long a loan is kept unused.
	Idle time.Duration `yaml:"idle"`
	// Confirm is the time between a borrower's confirmations.
	Confirm time.Duration `yaml:"confirm"`
}

// Policy is the slot policy of one instance, as owner and as borrower.
type Policy struct {
	Settings `yaml:",inline"`

	host    kernel.Host
	roster  slotkit.Roster
	holds   map[slotkit.Key]*hold
	waiting []*hold
	// engines are kept in the order of their IDs.
	engines     []*engine
	outbox      []answer
	flushing    bool
	seq         uint64
	nextConfirm time.Time
}

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}

// Provision implements plugin.Provisioner.
func (p *Policy) Provision() error {
	slotkit.SetDefault(&p.AskTimeout, defaultAskTimeout)
	slotkit.SetDefault(&p.Wait, defaultWait)
	slotkit.SetDefault(&p.Tries, defaultTries)
	slotkit.SetDefault(&p.Idle, defaultIdle)
	slotkit.SetDefault(&p.Confirm, defaultConfirm)
	p.holds = map[slotkit.Key]*hold{}
	return nil
}

// Attach implements kernel.Attacher.
func (p *Policy) Attach(h kernel.Host) { p.host = h }

// self returns this instance's ID.
func (p *Policy) self() ident.InstanceID { return p.host.Self().Instance }
