package kernel

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// PrefixStore is a PrefixIndex that the kernel keeps up to date.
type PrefixStore interface {
	PrefixIndex
	// Apply takes an upstream's cache event.
	Apply(u *Upstream, change CacheChanged)
	// Placed notes that the upstream is about to compute the blocks.
	Placed(u *Upstream, blocks []uint64, now time.Time)
	// Forget drops all that is known of an upstream, whose memory is gone.
	Forget(id ident.UpstreamID)
}

// Options are the parameters of New.
type Options struct {
	Self Self
	// Seed makes the kernel's random choices repeatable.
	Seed uint64
	// Prefix is the prefix index; nil disables prefix reuse.
	Prefix PrefixStore
}

// Kernel is the decision kernel of one entry instance. See the package comment.
type Kernel struct {
	self   Self
	rand   *rand.Rand
	prefix PrefixStore

	now time.Time
	out []Action

	catalog catalog
	policy  policy
	fleet   fleet

	calls    map[ident.RequestID]*call
	attempts map[ident.AttemptID]*attempt
	// reserved finds the call that holds or awaits a decode slot, by the ID of
	// the decode attempt the slot is for.
	reserved map[ident.AttemptID]*call
	cancels  map[ident.AttemptID]*cancel
	timers   timers
	sequence uint64

	stalls     stallBook
	budget     retryBudget
	throughput throughput
	stopping   bool
	// distrustUntil ends the time after a pause in which nothing is started
	// unless the view is refreshed earlier.
	distrustUntil time.Time
	// dirty is set when a placement that failed before might now succeed.
	dirty bool
	// kickAt is the earliest pending timerKick, zero if there is none.
	kickAt time.Time
	// verdicts are the slot policy's answers not yet acted upon.
	verdicts []slotVerdict
	// scratch is reused by schedule.
	scratch []*Waiting
	placer  placer
}

// New returns a kernel without bundle and view; it refuses requests until it
// has both.
func New(o Options) (*Kernel, error) {
	k := &Kernel{
		self:     o.Self,
		rand:     rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation))),
		prefix:   o.Prefix,
		calls:    map[ident.RequestID]*call{},
		attempts: map[ident.AttemptID]*attempt{},
		reserved: map[ident.AttemptID]*call{},
		cancels:  map[ident.AttemptID]*cancel{},
		stalls:   stallBook{ends: map[ident.UpstreamID]*stallEnd{}},
	}
	k.fleet.init()
	return k, nil
}

// Step handles one event that happened at the given time and returns what is
// to be done. The returned slice is valid until the next call. Times must not
// go back; an earlier one is taken as the latest seen.
func (k *Kernel) Step(now time.Time, ev Event) []Action {
	if now.After(k.now) {
		k.now = now
	}
	k.out = k.out[:0]
	k.wakePlugins()
	k.handle(ev)
	k.settleSlots()
	k.runTimers()
	k.settleSlots()
	k.schedule()
	k.settleSlots()
	return k.out
}

// NextWake returns when Step must be called with Tick at the latest.
func (k *Kernel) NextWake() (time.Time, bool) {
	at, ok := k.timers.next()
	for _, w := range k.policy.wakers {
		t, has := w.NextWake()
		if has && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// InFlight returns the number of requests without a final answer.
func (k *Kernel) InFlight() int { return len(k.calls) }

// Unreleased returns the number of cancels not yet acknowledged.
func (k *Kernel) Unreleased() int { return len(k.cancels) }

// Version returns the bundle version in force, 0 if none.
func (k *Kernel) Version() uint64 { return k.catalog.version }

func (k *Kernel) handle(ev Event) {
	switch e := ev.(type) {
	case Arrive:
		k.arrive(e.Request)
	case CallerGone:
		k.callerGone(e.Request)
	case PrefillDone:
		k.prefillDone(e)
	case FirstOutput:
		k.firstOutput(e)
	case AttemptDone:
		k.attemptDone(e)
	case AttemptFailed:
		k.attemptFailed(e)
	case CancelAcked:
		k.cancelAcked(e.Attempt)
	case CancelFailed:
		k.cancelFailed(e.Attempt)
	case PeerReceived:
		k.peerReceived(e)
	case PeerUndelivered:
		k.peerUndelivered(e)
	default:
		k.handleState(ev)
	}
}

// handleState handles the events that concern no single request.
func (k *Kernel) handleState(ev Event) {
	switch e := ev.(type) {
	case ViewChanged:
		k.viewChanged(e.View)
	case LoadSeen:
		k.loadSeen(e)
	case CacheChanged:
		k.cacheChanged(e)
	case Configured:
		k.configured(e)
	case Paused:
		k.paused(e.Gap)
	case Stop:
		k.stop()
	case Tick:
		k.dirty = true
	}
}

func (k *Kernel) emit(a Action) { k.out = append(k.out, a) }

func (k *Kernel) wakePlugins() {
	for _, w := range k.policy.wakers {
		at, ok := w.NextWake()
		if ok && !at.After(k.now) {
			w.Wake()
			k.dirty = true
		}
	}
}

// stop begins a graceful shutdown: requests that wait for a placement have not
// run and are refused; those that run finish.
func (k *Kernel) stop() {
	k.stopping = true
	for _, c := range k.callsInOrder() {
		if c.started() {
			continue
		}
		k.refuseCall(c, stoppingRefusal())
	}
}

// paused makes the kernel distrust a view that it may have slept through.
func (k *Kernel) paused(gap time.Duration) {
	if gap < minDistrustedPause {
		return
	}
	k.distrustUntil = k.now.Add(distrustAfterPause)
	k.kick(k.distrustUntil)
}

const (
	// minDistrustedPause is the shortest pause after which the view is
	// distrusted; shorter ones are ordinary scheduling delays.
	minDistrustedPause = 500 * time.Millisecond
	// distrustAfterPause bounds the time that a paused instance waits for a
	// fresh view: when its agent is dead it must go on with what it has.
	distrustAfterPause = 2 * time.Second
)

// trusted reports whether new work may be started on the present view.
func (k *Kernel) trusted() bool {
	return k.fleet.view.Trusted && !k.now.Before(k.distrustUntil)
}

// catalog is the bundle content in force, indexed by name.
type catalog struct {
	version    uint64
	content    *config.Content
	models     map[string]*config.Model
	services   map[string]*config.Service
	workspaces map[ident.Workspace]*config.Workspace
}

func newCatalog(version uint64, c *config.Content) catalog {
	cat := catalog{
		version:    version,
		content:    c,
		models:     make(map[string]*config.Model, len(c.Models)),
		services:   make(map[string]*config.Service, len(c.Services)),
		workspaces: make(map[ident.Workspace]*config.Workspace, len(c.Workspaces)),
	}
	for i := range c.Models {
		cat.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Services {
		cat.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		cat.workspaces[c.Workspaces[i].Name] = &c.Workspaces[i]
	}
	return cat
}
