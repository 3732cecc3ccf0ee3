// Package shares is the slot policy "slots.shares": each instance owns a static
// share of each decode engine's slots and lends idle ones to instances that ask.
//
// The shares depend only on the set of live instances, so that instances with the
// same view agree on them without exchanging messages. A borrower uses a slot on
// loan for one request after another until the owner recalls it or the slot has
// been idle for a while. The borrower regularly tells the owner how many slots it
// has on loan, which corrects the effect of lost messages. A loan that has not
// been confirmed for a while ends.
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

// Default settings.
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

// Settings are the policy's settings. Zero values are replaced by the defaults.
type Settings struct {
	// AskTimeout is how long to wait for one instance's answer to a Borrow.
	AskTimeout time.Duration `yaml:"ask_timeout"`
	// Wait is the maximum time for which a reservation waits for a slot.
	Wait time.Duration `yaml:"wait"`
	// Tries is the maximum number of instances asked for a loan for one
	// reservation.
	Tries int `yaml:"tries"`
	// Idle is how long a borrowed slot is kept without being needed.
	Idle time.Duration `yaml:"idle"`
	// Confirm is the time between two Confirm messages of a borrower.
	Confirm time.Duration `yaml:"confirm"`
}

// Policy is the slot policy of one instance, which is both the owner of its
// shares and a borrower of other instances' slots.
type Policy struct {
	Settings `yaml:",inline"`

	host    kernel.Host
	roster  slotkit.Roster
	holds   map[slotkit.Key]*hold
	waiting []*hold
	// engines are sorted by ID.
	engines     []*engine
	answers     []answer
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
