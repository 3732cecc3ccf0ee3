package kernel

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Host is what the kernel offers its plug-ins. It is valid only during a call
// into the plug-in; the time is that of the event being handled.
type Host interface {
	Now() time.Time
	Self() Self
	View() *View
	Content() *config.Content
	// Upstream finds an upstream of the view by ID, nil if there is none.
	Upstream(id ident.UpstreamID) *Upstream
	// Model finds a model's declaration, nil if there is none.
	Model(name string) *config.Model
	// Rand is seeded by the driver; the kernel has no other randomness.
	Rand() *rand.Rand
	// Send sends a message to another instance's kernel.
	Send(to ident.InstanceID, m PeerMessage)
	// QueueLength is the number of requests waiting for placement.
	QueueLength() int
	// Estimate predicts a request's placement if it arrived now.
	Estimate(r *Request) Estimate
	// SlotGranted and SlotDenied answer a reservation that was pending.
	SlotGranted(reservation ident.AttemptID)
	SlotDenied(reservation ident.AttemptID, retryAt time.Time)
}

// Estimate predicts how a request would fare if it arrived now.
type Estimate struct {
	// Possible is false when no upstream could take it at any time.
	Possible bool
	// SlotWait is the expected wait for a decode slot.
	SlotWait time.Duration
	// FirstOutput is the expected time to first output, waits included.
	FirstOutput time.Duration
	// Pace is the expected time between output tokens.
	Pace time.Duration
}

// Attacher is implemented by plug-ins that need the Host. Attach is called once,
// before any other call.
type Attacher interface{ Attach(h Host) }

// Configurer is implemented by plug-ins that follow the bundle. Configure is
// called whenever a version comes into force.
type Configurer interface{ Configure(c *config.Content) }

// Waker is implemented by plug-ins that need to act as time passes. Wake is
// called at the first event at or after the time NextWake last returned.
type Waker interface {
	NextWake() (at time.Time, ok bool)
	Wake()
}

// Observer is implemented by plug-ins that follow each request's way through
// its decision records.
type Observer interface{ Observe(r *Request, rec Record) }

// Decision is the context in which a placement is chosen.
type Decision struct {
	Now     time.Time
	Self    Self
	Request *Request
	Model   *config.Model
	View    *View
	Slots   SlotPolicy
	Prefix  PrefixIndex
	// PromptTokens is the prompt to compute, resumed output included.
	PromptTokens int
}

// PrefixIndex knows which upstream holds which prefix blocks.
type PrefixIndex interface {
	// CachedBlocks returns how many leading blocks the upstream holds.
	CachedBlocks(u *Upstream, blocks []uint64) int
}

// Filter drops upstreams that must not be used for a request.
type Filter interface {
	plugin.Plugin
	// Keep reports whether u may serve the decision's request in the role.
	Keep(d *Decision, u *Upstream, role config.Role) bool
}

// Scorer rates placements by cost in seconds; lower is better. Costs of all
// scorers are weighted and added.
type Scorer interface {
	plugin.Plugin
	// Prefill rates a prefill engine on its own.
	Prefill(d *Decision, u *Upstream) float64
	// Decode rates a decode engine, or a plain service, on its own.
	Decode(d *Decision, u *Upstream) float64
	// Pair rates what depends on both, such as the transfer between them.
	Pair(d *Decision, prefill, decode *Upstream) float64
}

// NoCost is embedded by scorers that rate only some parts of a placement.
type NoCost struct{}

// Prefill returns 0.
func (NoCost) Prefill(*Decision, *Upstream) float64 { return 0 }

// Decode returns 0.
func (NoCost) Decode(*Decision, *Upstream) float64 { return 0 }

// Pair returns 0.
func (NoCost) Pair(*Decision, *Upstream, *Upstream) float64 { return 0 }

// SlotAsk asks for a decode slot.
type SlotAsk struct {
	// Reservation is the ID of the decode attempt that will use the slot. It
	// carries the request's deadline, after which the slot is free for certain.
	Reservation ident.AttemptID
	Upstream    ident.UpstreamID
	Workspace   ident.Workspace
	// Pieces is the KV memory needed.
	Pieces int
	// Lead is the expected time until the slot is used: prefill and transfer.
	Lead time.Duration
	// OutputTokens is the most the slot will generate.
	OutputTokens  int
	FirstOutputBy time.Time
}

// SlotVerdict is a slot policy's immediate answer.
type SlotVerdict int

// The verdicts.
const (
	// SlotHeld: the slot is reserved.
	SlotHeld SlotVerdict = iota + 1
	// SlotWaits: the policy will call Host.SlotGranted or Host.SlotDenied.
	SlotWaits
	// SlotNone: there is no slot now.
	SlotNone
)

// SlotAnswer is a verdict and, for SlotNone, when asking again makes sense.
type SlotAnswer struct {
	Verdict SlotVerdict
	RetryAt time.Time
}

// Availability is a slot policy's belief about one decode engine.
type Availability struct {
	// Free is the number of slots a request from here could get now.
	Free int
	// NextFree is the expected wait for a slot when Free is 0.
	NextFree time.Duration
}

// SlotPolicy shares the decode engines' slots between the entry instances.
// Being wrong may cost waste, never correctness: the engine has the last word.
type SlotPolicy interface {
	plugin.Plugin
	Attacher
	// Reserve asks for a slot.
	Reserve(ask SlotAsk) SlotAnswer
	// Release gives a reservation back or withdraws a pending one. It is
	// idempotent.
	Release(reservation ident.AttemptID)
	// Started reports that the reserved slot is now in use.
	Started(reservation ident.AttemptID)
	// Refused reports that the engine itself had no slot.
	Refused(upstream ident.UpstreamID)
	// Availability tells scorers what a request from here could get.
	Availability(u *Upstream) Availability
}

// PeerHandler is implemented by plug-ins that exchange messages with their
// peers on other instances.
type PeerHandler interface {
	// MessageKinds lists the kinds of message the plug-in takes.
	MessageKinds() []string
	// Receive handles a message from a peer.
	Receive(from ident.InstanceID, m PeerMessage)
	// Undelivered handles the news that a message did not arrive.
	Undelivered(to ident.InstanceID, m PeerMessage)
}

// Waiting is a request in the queue.
type Waiting struct {
	Request *Request
	// Since is when the request was queued, which for a retry is later than its
	// arrival.
	Since time.Time
	// NotBefore is the earliest time to try a placement.
	NotBefore time.Time
	// Delivered is how many output tokens the caller already has; it is above 0
	// when a lost decode waits to be resumed.
	Delivered int
}

// QueueOrder holds the waiting requests and says who goes first.
type QueueOrder interface {
	plugin.Plugin
	Attacher
	Add(w *Waiting)
	Remove(id ident.RequestID)
	// All yields the waiting requests, the first to be served first. The queue
	// must not be changed during the iteration.
	All() iter.Seq[*Waiting]
	Len() int
	// Served charges a request's workspace for the engine time it was given.
	Served(r *Request, engineSeconds float64)
}

// Refusal says why a request was not admitted and when to come back.
type Refusal struct {
	Reason     Reason
	Problem    api.ProblemType
	Detail     string
	RetryAfter time.Duration
}

// Admission checks an arriving request.
type Admission interface {
	plugin.Plugin
	Attacher
	// Admit returns nil to admit the request. When a later check refuses a
	// request that this one admitted, Finished is called for it.
	Admit(r *Request) *Refusal
	// Finished reports that an admitted request is over.
	Finished(r *Request, outcome api.Outcome)
}
