package kernel

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// PrefixStore is a PrefixIndex that the kernel updates.
type PrefixStore interface {
	PrefixIndex
	// Apply applies a cache event of an upstream.
	Apply(u *Upstream, change CacheChanged)
	// Placed records that the upstream is about to compute the blocks.
	Placed(u *Upstream, blocks []uint64, now time.Time)
	// Forget removes all entries of an upstream whose cache has been lost.
	Forget(id ident.UpstreamID)
}

// Options are the parameters of New.
type Options struct {
	Self Self
	// Seed, together with the instance's incarnation, seeds the kernel's random
	// number generator, so that runs can be repeated.
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
	// reserved maps the ID of a decode attempt to the call that holds or has
	// requested a decode slot for it.
	reserved map[ident.AttemptID]*call
	cancels  map[ident.AttemptID]*cancel
	timers   timers
	sequence uint64

	stalls     stallTracker
	budget     retryBudget
	throughput throughput
	stopping   bool
	// distrustUntil is the end of the interval after a process pause in which
	// the view is not trusted and no new work is started. A fresh view ends the
	// interval earlier.
	distrustUntil time.Time
	// dirty is set when a placement that failed before may now succeed, so that
	// the queue must be scheduled again.
	dirty bool
	// nextScheduleAt is the time of the earliest pending timerSchedule, zero if
	// there is none.
	nextScheduleAt time.Time
	// pendingReplies are replies of the slot policy that have not been processed
	// yet.
	pendingReplies []policyReply
	// queueSnapshot is the list of waiting requests over which schedule iterates,
	// kept to save allocations.
	queueSnapshot []*QueuedRequest
	placer        placer
}

// New returns a kernel that has neither a bundle nor a view yet. It refuses all
// requests until Configured delivers the first bundle, and starts no work until
// ViewChanged delivers the first trusted view.
func New(o Options) (*Kernel, error) {
	k := &Kernel{
		self:     o.Self,
		rand:     rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation))),
		prefix:   o.Prefix,
		calls:    map[ident.RequestID]*call{},
		attempts: map[ident.AttemptID]*attempt{},
		reserved: map[ident.AttemptID]*call{},
		cancels:  map[ident.AttemptID]*cancel{},
		stalls:   stallTracker{engines: map[ident.UpstreamID]*engineStalls{}},
	}
	k.fleet.init()
	return k, nil
}

// Step handles one event that happened at the given time and returns the
// actions that the driver must carry out. The returned slice is valid until the
// next call. A time before the latest one seen is replaced by that one, so the
// kernel's time never goes back.
func (k *Kernel) Step(now time.Time, ev Event) []Action {
	if now.After(k.now) {
		k.now = now
	}
	k.out = k.out[:0]
	k.wakePlugins()
	k.handle(ev)
	k.processReplies()
	k.runTimers()
	k.processReplies()
	k.schedule()
	k.processReplies()
	return k.out
}

// NextWake returns the time by which Step must be called with Tick if no other
// event occurs before. ok is false if no timer is pending.
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

// PendingCancels returns the number of cancellations that upstreams have not
// acknowledged yet.
func (k *Kernel) PendingCancels() int { return len(k.cancels) }

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
	case AttemptStalled:
		k.attemptStalled(e)
	case AttemptResumed:
		k.attemptResumed(e)
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

// handleState handles the events that do not belong to a single request.
func (k *Kernel) handleState(ev Event) {
	switch e := ev.(type) {
	case ViewChanged:
		k.viewChanged(e.View)
	case LoadReported:
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

// stop begins a graceful shutdown: requests that wait for a placement have no
// attempt in flight and are refused; those with one in flight may finish.
func (k *Kernel) stop() {
	k.stopping = true
	for _, c := range k.callsInOrder() {
		if c.started() {
			continue
		}
		k.refuseCall(c, stoppingRefusal())
	}
}

// paused marks the view as untrusted after the process did not run for gap,
// since changes in that time may not have been received yet.
func (k *Kernel) paused(gap time.Duration) {
	if gap < minDistrustedPause {
		return
	}
	k.distrustUntil = k.now.Add(distrustAfterPause)
	k.scheduleAt(k.distrustUntil)
}

const (
	// minDistrustedPause is the shortest pause after which the view is not
	// trusted; shorter pauses are ordinary scheduling delays.
	minDistrustedPause = 500 * time.Millisecond
	// distrustAfterPause limits how long an instance waits for a fresh view
	// after a pause. If its agent has failed, no fresh view arrives and the
	// instance must continue with the view that it has.
	distrustAfterPause = 2 * time.Second
)

// trusted reports whether new work may be started based on the current view.
func (k *Kernel) trusted() bool {
	return k.fleet.view.Trusted && !k.now.Before(k.distrustUntil)
}

// catalog is the content of the bundle in force, indexed by name.
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
