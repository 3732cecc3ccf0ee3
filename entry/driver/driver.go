// Package driver runs the decision kernel of an entry instance. One goroutine
// owns the kernel: it hands in events and carries out actions. Each attempt at
// an upstream has a goroutine of its own, which sends the output tokens
// straight to the caller and reports to the kernel only what it must decide on.
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

// Decider is the kernel as the driver uses it.
type Decider interface {
	Step(now time.Time, ev kernel.Event) []kernel.Action
	NextWake() (time.Time, bool)
	InFlight() int
	PendingCancels() int
	Version() uint64
}

// PeerSender sends a message to another instance's kernel. It may block.
type PeerSender interface {
	Send(ctx context.Context, to ident.InstanceID, m kernel.PeerMessage) error
}

// Observer follows what happens at the driver. Its methods are called from
// several goroutines and must not block.
type Observer interface {
	// Decided receives each decision record.
	Decided(r kernel.Record)
	// Ended receives the summary of each request that ended.
	Ended(s Summary)
	// Late counts a token that came for an attempt that is no longer current,
	// or twice.
	Late()
	// Contact receives how each attempt at an upstream went; err is nil for
	// one that succeeded.
	Contact(upstream ident.UpstreamID, err *adapter.CallError)
	// Observed receives what an upstream said of itself.
	Observed(upstream ident.UpstreamID, o adapter.Observation)
	// Undelivered receives a message to a peer that failed.
	Undelivered(to ident.InstanceID, err error)
}

// Options are the parameters of New.
type Options struct {
	Kernel  Decider
	Engine  adapter.Engine
	Service adapter.Service
	// Peers may be nil, if there are none.
	Peers    PeerSender
	Observer Observer
	Log      *slog.Logger
	// Inbox bounds the events that wait for the kernel.
	Inbox int
	// PauseAfter is how long the process must not have run to count as paused.
	PauseAfter time.Duration
	// PeerQueue bounds the messages that wait for one peer.
	PeerQueue int
	// OnPause is called after a pause was handled, and OnConfigured when a
	// bundle version came into force, both from the driver's goroutine. Either
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

// beatsPerPause is how often the driver looks at the clock while a pause of the
// shortest length passes.
const beatsPerPause = 5

// message is one item of the inbox.
type message struct {
	event kernel.Event
	// attempt is set for events of an attempt's goroutine.
	attempt *attempt
	// exchange is set for kernel.Arrive.
	exchange *Exchange
	// quiet is closed when nothing is in flight any more.
	quiet chan struct{}
}

// Driver runs one kernel. See the package comment.
type Driver struct {
	opts    Options
	inbox   chan message
	stopped chan struct{}
	gate    *pauseGate
	// ctx ends all attempts when Run returns; workers counts their goroutines.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// rejected is the version that this binary could not run last.
	rejected atomic.Pointer[kernel.ConfigRejected]

	// The rest is owned by the goroutine of Run.
	backlog   []kernel.Event
	endings   []ending
	exchanges map[ident.RequestID]*Exchange
	attempts  map[ident.AttemptID]*attempt
	upstreams map[ident.UpstreamID]*kernel.Upstream
	// prefilling is the prompt work in flight at each engine, in tokens.
	prefilling map[ident.UpstreamID]int
	content    *config.Content
	specs      map[ident.UpstreamID]*config.Upstream
	models     map[string]*config.Model
	services   map[string]*config.Service
	peers      map[ident.InstanceID]chan kernel.PeerMessage
	quiet      []chan struct{}
}

// New returns a driver; Run starts it.
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

// Run owns the kernel until ctx ends. It then ends all attempts, answers the
// requests that remain, and returns when no goroutine of the driver is left.
func (d *Driver) Run(ctx context.Context) {
	defer d.shutDown()
	beat := time.NewTicker(d.opts.PauseAfter / beatsPerPause)
	defer beat.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	d.gate.beat(time.Now())
	for {
		d.arm(wake)
		select {
		case m := <-d.inbox:
			d.receive(m)
		case <-wake.C:
			d.step(kernel.Tick{})
		case <-beat.C:
			d.checkPause()
		case <-ctx.Done():
			return
		}
	}
}

// arm sets the timer to the kernel's next wake-up.
func (d *Driver) arm(wake *time.Timer) {
	at, ok := d.opts.Kernel.NextWake()
	if !ok {
		wake.Stop()
		return
	}
	wake.Reset(max(time.Until(at), 0))
}

// shutDown ends what is left when Run returns.
func (d *Driver) shutDown() {
	d.cancel()
	for _, ex := range d.exchanges {
		// Whether it ran was the kernel's to say.
		ex.finish(stoppedResult(api.Unknown))
	}
	close(d.stopped)
	d.workers.Wait()
}

// Post hands an event to the kernel. It blocks while the inbox is full and
// returns false once the driver has stopped.
func (d *Driver) Post(ev kernel.Event) bool { return d.send(message{event: ev}) }

// offer hands an event to the kernel unless the inbox is full.
func (d *Driver) offer(ev kernel.Event) {
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

// Quiesce waits until no request is in flight and all cancels are
// acknowledged. It returns the context's error if that ends first.
func (d *Driver) Quiesce(ctx context.Context) error {
	quiet := make(chan struct{})
	d.send(message{quiet: quiet})
	select {
	case <-quiet:
		return nil
	case <-d.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Rejected returns the bundle version that this binary could not run last, nil if
// there was none.
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
