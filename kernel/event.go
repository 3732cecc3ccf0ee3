package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Event is something that happened outside the kernel. The types in this file
// are the only implementations.
type Event interface{ event() }

// Arrive reports a new request from a caller.
type Arrive struct{ Request *Request }

// CallerGone reports that a request's caller no longer waits.
type CallerGone struct{ Request ident.RequestID }

// KVHandle is what a prefill engine returned so that a decode engine can
// import the prompt's KV cache. The kernel passes it on unread.
type KVHandle struct {
	// Engine is the prefill upstream that holds the KV cache.
	Engine ident.UpstreamID
	// Params is the engine adapter's own encoding of the transfer parameters.
	Params []byte
}

// PrefillDone reports a prefill that finished; its KV cache is now held.
type PrefillDone struct {
	Attempt ident.AttemptID
	KV      KVHandle
	// CachedTokens is how much of the prompt was reused, as the engine reports.
	CachedTokens int
}

// FirstOutput reports the first output token of a decode attempt, by which
// the KV cache has left the prefill engine.
type FirstOutput struct{ Attempt ident.AttemptID }

// AttemptDone reports that a decode or service attempt returned its whole
// answer.
type AttemptDone struct {
	Attempt ident.AttemptID
	// Tokens is the output length, for decode attempts.
	Tokens int
}

// Evidence says what is known about whether a failed attempt ran.
type Evidence int

// The kinds of evidence.
const (
	// NotSent: no byte of the attempt left this instance.
	NotSent Evidence = iota + 1
	// Refused: the upstream itself attested that it did not run the attempt.
	Refused
	// Ambiguous: the attempt may have run, wholly or in part.
	Ambiguous
)

// FailureCode classifies a failed attempt.
type FailureCode string

// The failure codes.
const (
	FailureConnect  FailureCode = "connect"      // no connection could be made
	FailureCapacity FailureCode = "capacity"     // the upstream had no room
	FailureDraining FailureCode = "draining"     // the upstream is leaving
	FailureModel    FailureCode = "model"        // the upstream does not serve the model
	FailureKVGone   FailureCode = "kv_missing"   // the KV cache was evicted before import
	FailureStalled  FailureCode = "stalled"      // a transfer or stream made no progress
	FailureBroken   FailureCode = "broken"       // the connection or the answer broke off
	FailureRejected FailureCode = "rejected"     // the upstream found fault with the request
	FailureUpstream FailureCode = "upstream"     // the upstream reported a failure of its own
	FailureTimeout  FailureCode = "call_timeout" // a service call took too long
)

// AttemptFailed reports an attempt that ended without its answer.
type AttemptFailed struct {
	Attempt ident.AttemptID
	// Upstream is where the attempt was sent. What the failure says of the
	// upstream counts even when the attempt itself was given up before.
	Upstream ident.UpstreamID
	Evidence Evidence
	Code     FailureCode
	// Offset is how many output tokens have reached the caller's stream over
	// all attempts of the request.
	Offset int
	// RetryAfter is the upstream's own hint, 0 if none.
	RetryAfter time.Duration
}

// CancelAcked reports that the upstream holds nothing more for the attempt.
type CancelAcked struct{ Attempt ident.AttemptID }

// CancelFailed reports that a cancel could not be delivered; the kernel tries
// again.
type CancelFailed struct{ Attempt ident.AttemptID }

// ViewChanged replaces the kernel's view of instances and upstreams.
type ViewChanged struct{ View *View }

// LoadSeen reports an upstream's load, read from one of its responses.
type LoadSeen struct {
	Upstream ident.UpstreamID
	Load     Load
}

// CacheChanged reports blocks that an upstream stored or dropped.
type CacheChanged struct {
	Upstream ident.UpstreamID
	// Cleared drops all blocks first.
	Cleared bool
	Stored  []uint64
	Removed []uint64
}

// Configured reports that a bundle version came into force here.
type Configured struct {
	Version uint64
	Content *config.Content
}

// PeerReceived reports a message from another instance's kernel.
type PeerReceived struct {
	From    ident.InstanceID
	Message PeerMessage
}

// PeerUndelivered reports that a message this kernel sent did not arrive, or
// may not have.
type PeerUndelivered struct {
	To      ident.InstanceID
	Message PeerMessage
}

// Paused reports that this process did not run for a while, so that its view
// is older than it seems.
type Paused struct{ Gap time.Duration }

// Stop begins a graceful shutdown: what is in flight finishes, what arrives
// is refused.
type Stop struct{}

// Tick reports that time has passed; see Kernel.NextWake.
type Tick struct{}

func (Arrive) event()          {}
func (CallerGone) event()      {}
func (PrefillDone) event()     {}
func (FirstOutput) event()     {}
func (AttemptDone) event()     {}
func (AttemptFailed) event()   {}
func (CancelAcked) event()     {}
func (CancelFailed) event()    {}
func (ViewChanged) event()     {}
func (LoadSeen) event()        {}
func (CacheChanged) event()    {}
func (Configured) event()      {}
func (PeerReceived) event()    {}
func (PeerUndelivered) event() {}
func (Paused) event()          {}
func (Stop) event()            {}
func (Tick) event()            {}
