// Package driver runs the decision kernel of an entry instance. One goroutine
// owns the kernel: it passes events to the kernel and executes the actions that
// the kernel returns. Each attempt at an upstream has its own goroutine, which
// writes the output tokens directly to the caller and reports to the kernel
// only the events that need a decision.
package driver

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Decider is the interface of the kernel that the driver uses.
type Decider interface {
	Step(now time.Time, ev kernel.Event) []kernel.Action
	NextWake() (time.Time, bool)
	InFlight() int
	PendingCancels() int
	Version() uint64
}

// PeerSender sends a message to the kernel of another instance. Send may block.
type PeerSender interface {
	Send(ctx context.Context, to ident.InstanceID, m kernel.PeerMessage) error
}

// Observer receives notifications from the driver. Its methods are called from
// several goroutines and must not block.
type Observer interface {
	// Decided receives each decision record.
	Decided(r kernel.Record)
	// Ended receives the summary of each finished request.
	Ended(s Summary)
	// TokenDropped is called for each dropped token: one from an attempt that is no
	// longer current, or a duplicate.
	TokenDropped()
	// AttemptEnded receives the result of each attempt at an upstream. err is nil if
	// the attempt succeeded.
	AttemptEnded(upstream ident.UpstreamID, err *adapter.CallError)
	// LoadObserved receives what an upstream reported about its own state.
	LoadObserved(upstream ident.UpstreamID, o adapter.Observation)
	// PeerSendFailed receives the error of a message that could not be sent to a
	// peer.
	PeerSendFailed(to ident.InstanceID, err error)
}

// Options are the parameters of New.
type Options struct {
	Kernel  Decider
	Engine  adapter.Engine
	Service adapter.Service
	// Peers may be nil if there are no other instances.
	Peers    PeerSender
	Observer Observer
	Log      *slog.Logger
	// Inbox is the capacity of the queue of events for the kernel.
	Inbox int
	// PauseAfter is the shortest time without execution that counts as a pause
	// of the process.
	PauseAfter time.Duration
	// PeerQueue is the capacity of the send queue of each peer.
	PeerQueue int
	// OnPause is called after a pause was handled, OnConfigured after a bundle
	// version came into force. Both are called from the driver's goroutine and
	// may be nil.
	OnPause      func(gap time.Duration)
	OnConfigured func(version uint64, c *config.Content)
}

// Defaults of Options.
const (
	DefaultInbox      = 4096
	DefaultPauseAfter = 500 * time.Millisecond
	DefaultPeerQueue  = 256
)

// clockChecksPerPause is the number of clock checks within PauseAfter, the
// shortest pause that must be detected.
const clockChecksPerPause = 5

// message is an entry of the inbox.
type message struct {
	event kernel.Event
	// attempt is set for events from an attempt's goroutine.
	attempt *attempt
	// exchange is set for kernel.Arrive.
	exchange *Exchange
	// idle is closed when no request is in flight and no cancel is pending.
	idle chan struct{}
}

// Driver runs one kernel.
type Driver struct {
	opts    Options
	inbox   chan message
	stopped chan struct{}
	gate    *pauseGate
	// ctx is cancelled when Run returns and ends all attempts. workers counts
	// the driver's goroutines.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// rejected is the bundle version that this binary was last unable to run.
	rejected atomic.Pointer[kernel.ConfigRejected]

	// The remaining fields are owned by the goroutine of Run.
	backlog           []kernel.Event
	finishedExchanges []finishedExchange
	exchanges         map[ident.RequestID]*Exchange
	attempts          map[ident.AttemptID]*attempt
	upstreams         map[ident.UpstreamID]*kernel.Upstream
	// prefilling is the number of prompt tokens in flight at each engine.
	prefilling  map[ident.UpstreamID]int
	content     *config.Content
	specs       map[ident.UpstreamID]*config.Upstream
	models      map[string]*config.Model
	services    map[string]*config.Service
	peers       map[ident.InstanceID]chan kernel.PeerMessage
	idleWaiters []chan struct{}
}

// New returns a driver. Run starts it.
func New(o Options) *Driver {
	if o.Inbox <= 0 {
		o.Inbox = DefaultInbox
	}
	if o.PauseAfter <= 0 {
		o.PauseAfter = DefaultPauseAfter
	}
	if o.PeerQueue <= 0 {
		o.PeerQueue = DefaultPeerQueue
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{
		opts:       o,
		inbox:      make(chan message, o.Inbox),
		stopped:    make(chan struct{}),
		gate:       newPauseGate(o.PauseAfter),
		ctx:        ctx,
		cancel:     cancel,
		exchanges:  map[ident.RequestID]*Exchange{},
		attempts:   map[ident.AttemptID]*attempt{},
		upstreams:  map[ident.UpstreamID]*kernel.Upstream{},
		prefilling: map[ident.UpstreamID]int{},
		peers:      map[ident.InstanceID]chan kernel.PeerMessage{},
	}
}

// Run runs the kernel until ctx ends. It then ends all attempts, answers the
// remaining requests, and returns when all goroutines of the driver have ended.
func (d *Driver) Run(ctx context.Context) {
	defer d.shutDown()
	ticker := time.NewTicker(d.opts.PauseAfter / clockChecksPerPause)
	defer ticker.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	d.gate.markRunning(time.Now())
	for {
		d.resetWake(wake)
		select {
		case m := <-d.inbox:
			d.receive(m)
		case <-wake.C:
			d.step(kernel.Tick{})
		case <-ticker.C:
			d.checkPause()
		case <-ctx.Done():
			return
		}
	}
}

// resetWake sets the timer to the kernel's next wake-up time.
func (d *Driver) resetWake(wake *time.Timer) {
	at, ok := d.opts.Kernel.NextWake()
	if !ok {
		wake.Stop()
		return
	}
	wake.Reset(max(time.Until(at), 0))
}

// shutDown ends all attempts and answers the remaining requests.
func (d *Driver) shutDown() {
	d.cancel()
	for _, ex := range d.exchanges {
		// The outcome is unknown: only the kernel could tell whether the
		// request ran.
		ex.finish(stoppedResult(api.Unknown))
	}
	close(d.stopped)
	d.workers.Wait()
}

// Post passes an event to the kernel. It blocks while the inbox is full and
// returns false once the driver has stopped.
func (d *Driver) Post(ev kernel.Event) bool { return d.send(message{event: ev}) }

// tryPost passes an event to the kernel, or drops it if the inbox is full.
func (d *Driver) tryPost(ev kernel.Event) {
	select {
	case d.inbox <- message{event: ev}:
	default:
	}
}

func (d *Driver) send(m message) bool {
	if d.Stopped() {
		return false
	}
	select {
	case d.inbox <- m:
		return true
	case <-d.stopped:
		return false
	}
}

// Quiesce waits until no request is in flight and all cancels are acknowledged.
// It returns ctx's error if ctx ends first.
func (d *Driver) Quiesce(ctx context.Context) error {
	idle := make(chan struct{})
	d.send(message{idle: idle})
	select {
	case <-idle:
		return nil
	case <-d.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Rejected returns the bundle version that this binary was last unable to run,
// or nil if there was none.
func (d *Driver) Rejected() *kernel.ConfigRejected { return d.rejected.Load() }

// Stopped reports whether Run has returned.
func (d *Driver) Stopped() bool {
	select {
	case <-d.stopped:
		return true
	default:
		return false
	}
}
