package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Event reports to the kernel that something happened. The types in this file
// are the only implementations.
type Event interface{ event() }

// Arrive reports a new request from a caller.
type Arrive struct{ Request *Request }

// CallerGone reports that a request's caller no longer waits.
type CallerGone struct{ Request ident.RequestID }

// KVHandle identifies the KV cache of a finished prefill. The prefill engine
// returns it and the decode engine uses it to import the cache. The kernel
// passes Params on without interpreting it.
type KVHandle struct {
	// Engine is the prefill upstream that holds the KV cache.
	Engine ident.UpstreamID
	// Params is the engine adapter's own encoding of the transfer parameters.
	Params []byte
}

// PrefillDone reports that a prefill finished. The prefill engine holds its KV
// cache until the cache is imported, released or evicted.
type PrefillDone struct {
	Attempt ident.AttemptID
	KV      KVHandle
	// CachedTokens is the number of prompt tokens that the engine took from its
	// prefix cache, as reported by the engine.
	CachedTokens int
}

// FirstOutput reports the first output token of a decode attempt. The decode
// engine has then imported the KV cache, and the prefill engine has released it.
type FirstOutput struct{ Attempt ident.AttemptID }

// AttemptDone reports that a decode or service attempt returned its whole
// answer.
type AttemptDone struct {
	Attempt ident.AttemptID
	// Tokens is the output length, for decode attempts.
	Tokens int
}

// Evidence states whether a failed attempt may have run.
type Evidence int

// The kinds of evidence.
const (
	// NotSent means that this instance sent no byte of the attempt.
	NotSent Evidence = iota + 1
	// Refused means that the upstream itself stated that it did not run the
	// attempt.
	Refused
	// Ambiguous means that the attempt may have run completely or in part.
	Ambiguous
)

// FailureCode classifies a failed attempt.
type FailureCode string

// The failure codes.
const (
	FailureConnect   FailureCode = "connect"      // no connection could be made
	FailureCapacity  FailureCode = "capacity"     // the upstream had no free capacity
	FailureDraining  FailureCode = "draining"     // the upstream is shutting down
	FailureModel     FailureCode = "model"        // the upstream does not serve the model
	FailureKVMissing FailureCode = "kv_missing"   // the KV cache was evicted before import
	FailureStalled   FailureCode = "stalled"      // a transfer or stream made no progress
	FailureBroken    FailureCode = "broken"       // the connection broke or the answer was incomplete
	FailureRejected  FailureCode = "rejected"     // the upstream rejected the request as invalid
	FailureUpstream  FailureCode = "upstream"     // the upstream reported an internal error
	FailureTimeout   FailureCode = "call_timeout" // a service call exceeded its timeout
)

// AttemptFailed reports an attempt that ended without a complete answer.
type AttemptFailed struct {
	Attempt ident.AttemptID
	// Upstream is the upstream to which the attempt was sent. With code
	// FailureDraining the kernel marks it as leaving even if the attempt itself
	// is no longer tracked.
	Upstream ident.UpstreamID
	Evidence Evidence
	Code     FailureCode
	// Offset is the number of output tokens written to the caller's stream, over
	// all attempts of the request.
	Offset int
	// Origin is the attempt that wrote the first of these tokens, zero if it is not
	// known.
	Origin ident.AttemptID
	// RetryAfter is the retry-after hint of the upstream, 0 if it sent none.
	RetryAfter time.Duration
}

// AttemptStalled reports that a prefill or a decode has made no progress within
// its time limit. The attempt goes on; the event is repeated after each further
// time limit.
type AttemptStalled struct {
	Attempt ident.AttemptID
	// Offset is the number of output tokens written to the caller's stream, over
	// all attempts of the request.
	Offset int
	// Origin is the attempt that wrote the first of these tokens, zero if it is not
	// known.
	Origin ident.AttemptID
}

// AttemptResumed reports the first output token that a stalled decode attempt has
// written to the caller since AttemptStalled.
type AttemptResumed struct{ Attempt ident.AttemptID }

// CancelAcked reports that the upstream holds no more resources for the attempt.
type CancelAcked struct{ Attempt ident.AttemptID }

// CancelFailed reports that a cancel could not be delivered. The kernel repeats
// it later.
type CancelFailed struct{ Attempt ident.AttemptID }

// ViewChanged replaces the kernel's view of instances and upstreams.
type ViewChanged struct{ View *View }

// LoadReported reports an upstream's load, taken from one of its responses.
type LoadReported struct {
	Upstream ident.UpstreamID
	Load     Load
}

// CacheChanged reports blocks that an upstream added to its prefix cache or
// removed from it.
type CacheChanged struct {
	Upstream ident.UpstreamID
	// Cleared means that all earlier blocks are removed before Removed and
	// Stored are applied.
	Cleared bool
	Stored  []uint64
	Removed []uint64
}

// Configured delivers a bundle version to bring into force on this instance. The
// kernel answers with ConfigRejected if it cannot run the bundle's policy.
type Configured struct {
	Version uint64
	Content *config.Content
}

// PeerReceived reports a message from another instance's kernel.
type PeerReceived struct {
	From    ident.InstanceID
	Message PeerMessage
}

// PeerUndelivered reports that a message sent by this kernel did not arrive or
// may not have arrived.
type PeerUndelivered struct {
	To      ident.InstanceID
	Message PeerMessage
}

// Paused reports that this process did not run for the duration Gap, for
// example because the machine was suspended. Its view is then older than its
// arrival time suggests.
type Paused struct{ Gap time.Duration }

// Stop begins a graceful shutdown: requests with an attempt in flight may
// finish, waiting and new requests are refused.
type Stop struct{}

// Tick reports that time has passed; see Kernel.NextWake.
type Tick struct{}

func (Arrive) event()          {}
func (CallerGone) event()      {}
func (PrefillDone) event()     {}
func (FirstOutput) event()     {}
func (AttemptDone) event()     {}
func (AttemptFailed) event()   {}
func (AttemptStalled) event()  {}
func (AttemptResumed) event()  {}
func (CancelAcked) event()     {}
func (CancelFailed) event()    {}
func (ViewChanged) event()     {}
func (LoadReported) event()    {}
func (CacheChanged) event()    {}
func (Configured) event()      {}
func (PeerReceived) event()    {}
func (PeerUndelivered) event() {}
func (Paused) event()          {}
func (Stop) event()            {}
func (Tick) event()            {}
