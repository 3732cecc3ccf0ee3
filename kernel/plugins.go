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

// Host is the interface of the kernel for its plug-ins. Its methods may be called
// only during a call into the plug-in.
type Host interface {
	// Now returns the time of the event being handled.
	Now() time.Time
	Self() Self
	View() *View
	Content() *config.Content
	// Upstream returns the upstream of the view with the given ID, nil if there
	// is none.
	Upstream(id ident.UpstreamID) *Upstream
	// Model returns a model's declaration, nil if there is none.
	Model(name string) *config.Model
	// Rand returns the random number generator that the driver has seeded. It is
	// the kernel's only source of randomness.
	Rand() *rand.Rand
	// Send sends a message to another instance's kernel.
	Send(to ident.InstanceID, m PeerMessage)
	// QueueLength returns the number of requests waiting for placement.
	QueueLength() int
	// Estimate predicts the placement of a request that arrives now.
	Estimate(r *Request) Estimate
	// SlotGranted and SlotDenied answer a reservation that was pending. retryAt
	// is the earliest time at which a denied request is placed again, unless its
	// prefill has finished: it then looks for another engine immediately.
	SlotGranted(reservation ident.AttemptID)
	SlotDenied(reservation ident.AttemptID, retryAt time.Time)
}

// Estimate is the predicted timing of a request that arrives now.
type Estimate struct {
	// Possible is false when there is no prefill or no decode engine that could
	// run the request. The other fields are then 0.
	Possible bool
	// SlotWait is the expected wait for a decode slot.
	SlotWait time.Duration
	// FirstOutput is the expected time to first output, including all waits.
	FirstOutput time.Duration
	// Pace is the expected time between output tokens.
	Pace time.Duration
}

// Attacher is implemented by plug-ins that need the Host. Attach is called once,
// before any other method of these interfaces.
type Attacher interface{ Attach(h Host) }

// Configurer is implemented by plug-ins that read the bundle's content. Configure
// is called whenever a bundle version comes into force.
type Configurer interface{ Configure(c *config.Content) }

// Waker is implemented by plug-ins that need timers. Wake is called at the first
// event at or after the time that NextWake returns.
type Waker interface {
	NextWake() (at time.Time, ok bool)
	Wake()
}

// Observer is implemented by plug-ins that receive the decision records of all
// requests.
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
	// PromptTokens is the length of the prompt in tokens. It includes the output
	// that the caller already has, which is appended when a decode is resumed.
	PromptTokens int
}

// PrefixIndex records which upstream holds which blocks in its prefix cache.
type PrefixIndex interface {
	// CachedBlocks returns the number of leading blocks that the upstream holds.
	CachedBlocks(u *Upstream, blocks []uint64) int
}

// Filter excludes upstreams that must not be used for a request.
type Filter interface {
	plugin.Plugin
	// Keep reports whether u may serve the decision's request in the role.
	Keep(d *Decision, u *Upstream, role config.Role) bool
}

// Scorer assigns a cost in seconds to placements; lower is better. The costs of
// all scorers are weighted and added.
type Scorer interface {
	plugin.Plugin
	// Prefill returns the cost that depends on the prefill engine alone.
	Prefill(d *Decision, u *Upstream) float64
	// Decode returns the cost that depends on the decode engine, or the plain
	// service, alone.
	Decode(d *Decision, u *Upstream) float64
	// Pair returns the cost that depends on both engines, such as that of the
	// KV transfer between them.
	Pair(d *Decision, prefill, decode *Upstream) float64
}

// ZeroCost implements the methods of Scorer with cost 0. Scorers embed it and
// override the methods for the parts of a placement that they rate.
type ZeroCost struct{}

// Prefill returns 0.
func (ZeroCost) Prefill(*Decision, *Upstream) float64 { return 0 }

// Decode returns 0.
func (ZeroCost) Decode(*Decision, *Upstream) float64 { return 0 }

// Pair returns 0.
func (ZeroCost) Pair(*Decision, *Upstream, *Upstream) float64 { return 0 }

// SlotRequest asks for a decode slot.
type SlotRequest struct {
	// Reservation is the ID of the decode attempt that will use the slot. It
	// contains the request's deadline, after which the slot is certainly free.
	Reservation ident.AttemptID
	Upstream    ident.UpstreamID
	Workspace   ident.Workspace
	// Pieces is the KV memory needed, in pieces.
	Pieces int
	// Lead is the expected time until the slot is used, that is, the time for
	// the prefill and the KV transfer.
	Lead time.Duration
	// OutputTokens is the maximum number of tokens that will be generated.
	OutputTokens  int
	FirstOutputBy time.Time
}

// SlotResult is the immediate result of a slot request.
type SlotResult int

// The results of a slot request.
const (
	// SlotReserved means that the slot is reserved.
	SlotReserved SlotResult = iota + 1
	// SlotPending means that the answer is pending: the policy will call
	// Host.SlotGranted or Host.SlotDenied.
	SlotPending
	// SlotUnavailable means that no slot is free.
	SlotUnavailable
)

// SlotAnswer is a slot policy's immediate answer to a slot request.
type SlotAnswer struct {
	Result SlotResult
	// RetryAt is, for SlotUnavailable, the time at which a slot may become free. The
	// zero time means that it is not known.
	RetryAt time.Time
}

// Availability is a slot policy's estimate of the free slots of a decode engine.
type Availability struct {
	// Free is the number of slots that requests of this instance could get now.
	Free int
	// NextFree is the expected wait for a slot when Free is 0.
	NextFree time.Duration
}

// SlotPolicy shares the decode engines' slots between the entry instances.
// A wrong answer may waste work but does not break correctness, since the engine
// itself refuses a request for which it has no slot.
type SlotPolicy interface {
	plugin.Plugin
	Attacher
	// Reserve requests a slot.
	Reserve(request SlotRequest) SlotAnswer
	// Release gives a reservation back or withdraws a pending one. It is
	// idempotent.
	Release(reservation ident.AttemptID)
	// Started reports that the reserved slot is now in use.
	Started(reservation ident.AttemptID)
	// Refused reports that the engine refused a request for lack of capacity.
	Refused(upstream ident.UpstreamID)
	// Availability returns, for scorers, the slots that a request of this
	// instance could get on the engine.
	Availability(u *Upstream) Availability
}

// PeerHandler is implemented by plug-ins that exchange messages with their
// peers on other instances.
type PeerHandler interface {
	// MessageKinds returns the kinds of message that the plug-in handles.
	MessageKinds() []string
	// Receive handles a message from a peer.
	Receive(from ident.InstanceID, m PeerMessage)
	// Undelivered handles the report that a message did not arrive or may not
	// have arrived.
	Undelivered(to ident.InstanceID, m PeerMessage)
}

// QueuedRequest is a request in the queue.
type QueuedRequest struct {
	Request *Request
	// Since is the time at which the request was queued, which for a retry is
	// later than its arrival.
	Since time.Time
	// NotBefore is the earliest time at which a placement may be tried.
	NotBefore time.Time
	// Delivered is the number of output tokens that the caller already has; it
	// is above 0 when a lost decode waits to be resumed.
	Delivered int
}

// QueueOrder holds the waiting requests and determines the order in which they
// are placed.
type QueueOrder interface {
	plugin.Plugin
	Attacher
	Add(w *QueuedRequest)
	Remove(id ident.RequestID)
	// All yields the waiting requests in the order in which they are to be
	// placed. The queue must not be changed during the iteration.
	All() iter.Seq[*QueuedRequest]
	Len() int
	// Served charges a request's workspace for the engine time that it used.
	Served(r *Request, engineSeconds float64)
}

// Refusal is the reason for which a request is not run or not completed, with
// the problem and the retry-after hint that its caller receives.
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
	// Finished reports that a request that this check admitted has ended.
	Finished(r *Request, outcome api.Outcome)
}
