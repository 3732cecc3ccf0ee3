package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Action is an instruction to the driver. The types in this file and
// ConfigRejected are the only implementations.
type Action interface{ action() }

// StartPrefill sends a request's prompt to a prefill engine.
type StartPrefill struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// ContinueFrom is the number of output tokens already delivered to the
	// caller, which are appended to the prompt when a lost decode is resumed.
	ContinueFrom int
}

// StartDecode sends a request to a decode engine. The engine imports the KV
// cache and streams the output starting at token ContinueFrom.
type StartDecode struct {
	Attempt      ident.AttemptID
	Request      ident.RequestID
	Upstream     ident.UpstreamID
	KV           KVHandle
	ContinueFrom int
}

// ReattachDecode reconnects to the output stream of a running decode attempt at
// token Offset, after the connection to its engine broke. It starts no new
// work. The driver first waits for Wait, so that two reconnects do not both fail
// in the same short network interruption.
type ReattachDecode struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	Offset   int
	Wait     time.Duration
}

// CallService sends a request to a plain service, that is, to an upstream that
// does not serve models.
type CallService struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
}

// CancelAttempt asks an upstream to stop an attempt and release the resources
// that it holds for it. The driver answers with CancelAcked or CancelFailed.
type CancelAttempt struct {
	Attempt  ident.AttemptID
	Upstream ident.UpstreamID
}

// AbandonAttempt tells the driver that an attempt's upstream is dead. The
// driver closes the attempt's connection and reports AttemptFailed with code
// FailureBroken and the offset that the caller's stream has reached.
type AbandonAttempt struct{ Attempt ident.AttemptID }

// Answer is the final answer to a request. The kernel emits exactly one for each
// request, even if the caller has disconnected. Problem is nil when Outcome is
// api.Complete.
type Answer struct {
	Request ident.RequestID
	Outcome api.Outcome
	Problem *api.Problem
}

// SendPeer sends a message to another instance's kernel, at most once. The
// driver reports PeerUndelivered when the message did not arrive or may not have
// arrived.
type SendPeer struct {
	To      ident.InstanceID
	Message PeerMessage
}

// Log writes a decision record.
type Log struct{ Record Record }

func (StartPrefill) action()   {}
func (StartDecode) action()    {}
func (ReattachDecode) action() {}
func (CallService) action()    {}
func (CancelAttempt) action()  {}
func (AbandonAttempt) action() {}
func (Answer) action()         {}
func (SendPeer) action()       {}
func (Log) action()            {}
