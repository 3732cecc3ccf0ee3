package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Action is something the driver must do. The types in this file are the only
// implementations.
type Action interface{ action() }

// StartPrefill sends a request's prompt to a prefill engine.
type StartPrefill struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// ContinueFrom is how many output tokens to append to the prompt, when a
	// lost decode is resumed.
	ContinueFrom int
}

// StartDecode sends a request to a decode engine, which imports the KV cache
// and streams the output from token ContinueFrom on.
type StartDecode struct {
	Attempt      ident.AttemptID
	Request      ident.RequestID
	Upstream     ident.UpstreamID
	KV           KVHandle
	ContinueFrom int
}

// ReattachDecode reads on in a decode attempt's stream, from token Offset,
// after the connection to its engine broke. It starts nothing new. The driver
// waits for Wait before, so that two tries don't fall into one short break.
type ReattachDecode struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	Offset   int
	Wait     time.Duration
}

// CallService sends a request to a plain service.
type CallService struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
}

// CancelAttempt asks an upstream to stop an attempt and release what it holds
// for it. The driver answers with CancelAcked or CancelFailed.
type CancelAttempt struct {
	Attempt  ident.AttemptID
	Upstream ident.UpstreamID
}

// AbandonAttempt tells the driver that an attempt's upstream is dead. The
// driver closes the attempt's connection and reports AttemptFailed with code
// FailureBroken and the offset that the caller's stream has reached.
type AbandonAttempt struct{ Attempt ident.AttemptID }

// Answer is a request's final answer. Exactly one is given for each request,
// also when its caller is gone. Problem is nil when Outcome is api.Complete.
type Answer struct {
	Request ident.RequestID
	Outcome api.Outcome
	Problem *api.Problem
}

// SendPeer sends a message to another instance's kernel, at most once. The
// driver reports PeerUndelivered when it knows that the message did not arrive.
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
