// Package dialect defines the interface between the gateway and the protocols that the callers,
// the upstreams and the configuration store of a deployment use. An implementation translates
// between their messages and the types of this package. It keeps no state and makes no decisions.
package dialect

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/plugin"
)

// Namespace is the plug-in namespace of deployments.
const Namespace = "deployment"

// Deployment is a plug-in that implements the protocols of one kind of deployment.
type Deployment interface {
	plugin.Plugin
	// Open returns the clients of a deployment. It opens no connections yet.
	Open(o Options) (Dialect, Source)
}

// NotDeploymentError reports a plug-in that does not implement Deployment.
type NotDeploymentError struct{ ID plugin.ID }

// Error implements error.
func (e *NotDeploymentError) Error() string {
	return fmt.Sprintf("plug-in %s does not implement a deployment's protocols", e.ID)
}

// Load returns the plug-in of the given name in Namespace. Errors are *plugin.UnknownError,
// *plugin.LifecycleError and *NotDeploymentError.
func Load(name string) (Deployment, error) {
	id := plugin.ID(Namespace + "." + name)
	p, err := plugin.Load(id, nil)
	if err != nil {
		return nil, err
	}
	d, ok := p.(Deployment)
	if !ok {
		return nil, &NotDeploymentError{ID: id}
	}
	return d, nil
}

// Stage is the part of the inference work that a model engine does.
type Stage string

// The stages.
const (
	// StagePrefill is the stage of engines that compute the KV caches of prompts.
	StagePrefill Stage = "prefill"
	// StageDecode is the stage of engines that generate output.
	StageDecode Stage = "decode"
)

// Upstream is a model engine or a process of a plain service, as the store lists it. Each start is
// a new incarnation, which may have a new ID or the previous one.
type Upstream struct {
	ID ident.UpstreamID `json:"id"`
	// Incarnation identifies the upstream's start; it is 0 if the upstream does not state it.
	Incarnation ident.Incarnation `json:"i,omitempty"`
	Service     string            `json:"service"`
	// Address is "IP:port".
	Address string     `json:"address"`
	Zone    ident.Zone `json:"zone"`
	// Slots is how many requests the upstream runs at once.
	Slots int `json:"slots"`
	// Leaving means that the upstream is shutting down and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Stage is empty for plain services.
	Stage Stage `json:"stage,omitempty"`
	// SoftwareVersion is the version of the upstream's software, "" if unknown. It has no order. What
	// two versions write of one stream does not fit together.
	SoftwareVersion string `json:"sv,omitempty"`
	// Cold means that the upstream has started recently or been idle, and tolerates only a limited
	// request rate.
	Cold bool `json:"cold,omitempty"`
}

// Restarted reports whether an incarnation of the upstream's ID is newer than u's.
func (u Upstream) Restarted(incarnation ident.Incarnation) bool {
	return u.Incarnation != 0 && incarnation > u.Incarnation
}

// Call is a caller's request. It must not be changed after its body has been read and
// NameWorkspace was called.
type Call struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the request target, path and query, as the caller sent it.
	Target target.Target
	// Header holds the headers to forward.
	Header http.Header
	Body   []byte
	// Caller is the digest of the credentials that the caller sends, zero if it sends none.
	Caller routing.KeyDigest
	// Key is the digest of the key that the caller sends; nil if it sends none or a malformed one.
	Key *routing.KeyDigest
	// CallerTimeout is how long the caller waits, counted from the arrival of the request; 0 if it
	// does not state it.
	CallerTimeout time.Duration
	// LastEvent is the number of the last event that a caller which resumes a stream has received.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that it
	// resumes, "" if it does not state it.
	Resumes string
	// ReceivedEvents is how many events a caller which resumes a stream has received, 0 if unknown.
	ReceivedEvents int
	// HasTokenCounts means that the caller states PromptTokens and MaxOutputTokens.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
	// SharedPromptParts are the IDs of the parts of the prompt that other requests may share, in order;
	// nil if unknown. They are not validated.
	SharedPromptParts []string
	// LastPromptPart is the ID of the last part of the prompt, which no other request's prompt has;
	// "" if unknown. LastPromptPartTokens is its length in tokens, 0 if unknown.
	LastPromptPart       string
	LastPromptPartTokens int
	// MaxOutputTokens bounds the length of the output, 0 if unknown.
	MaxOutputTokens int
	// OutputEstimate is the caller's estimate of the output's length, in tokens; 0 if it makes
	// none. The median of the estimates is right, but single ones are often far off.
	OutputEstimate int
}

// Send describes one attempt to send a call to an upstream.
type Send struct {
	To Upstream
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Source is the KV cache to start from; nil to prefill at the upstream.
	Source *Handle
	// Reservation is the ID of the reservation to use, "" for none.
	Reservation string
	// LastEvent overrides that of the call if the gateway resumes a stream.
	LastEvent string
}

// Handle identifies the result of a prefill, which an engine keeps for a short time.
type Handle struct {
	// Engine is the address of the engine that keeps the result.
	Engine string
	ID     string
	// Tokens is the length of the KV cache, in tokens.
	Tokens int
}

// Verdict classifies an upstream's response to a call.
type Verdict int

// The verdicts.
const (
	// Success is a successful response, to be forwarded to the caller.
	Success Verdict = iota + 1
	// Failure is an error response of the upstream itself: the request ran.
	Failure
	// Refused means that the upstream states that the request did not run and will not run.
	Refused
	// WrongUpstream means that another incarnation than the expected one has the address. The
	// request did not run.
	WrongUpstream
	// Invalid means that the response does not belong to this request.
	Invalid
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	switch v {
	case Success:
		return "success"
	case Failure:
		return "failure"
	case Refused:
		return "refused"
	case WrongUpstream:
		return "wrong_upstream"
	case Invalid:
		return "invalid"
	default:
		return "none"
	}
}

// Options holds what the clients of a deployment need.
type Options struct {
	// StoreAddress is the address of the store, "IP:port".
	StoreAddress string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Dialer opens the connections to upstreams; nil for the network's.
	Dialer roundtrip.Dialer
	Log    *slog.Logger
}

// Dialect translates the protocols of one deployment.
type Dialect interface {
	// Read translates a caller's request except for its body. The error means that the request
	// is malformed.
	Read(r *http.Request) (*Call, error)
	// NameWorkspace adds the workspace ("" for none) and the priority to all requests that are
	// sent to upstreams for a call, and removes the caller's key from them.
	NameWorkspace(c *Call, workspace string, priority int)
	// Challenge sets the response header that tells the caller that a key is required.
	Challenge(h http.Header)
	// Do sends a call once. An error before the head of the response is an *adapter.CallError
	// whose evidence says exactly whether the request may have reached the upstream. Do checks
	// that the response is for this call's ID.
	Do(ctx context.Context, c *Call, s Send) (*http.Response, Verdict, error)
	// OnNotice sets the function that is called with the notice in each response of an upstream,
	// before the response is returned. It is called before the first request.
	OnNotice(func(Notice))
	// OnDial sets the function that is called with the result of each attempt to open a connection
	// to an upstream. It is called before the first request.
	OnDial(func(u Upstream, err error))
	// Prefill makes an engine compute the KV cache of a call, without running the call.
	Prefill(ctx context.Context, c *Call, s Send) (Handle, error)
	// ReleaseHandle releases a prefill result at the engine that keeps it.
	ReleaseHandle(ctx context.Context, u Upstream, h Handle) error
	// Reserve reserves a slot and memory for tokens at an engine, for ttl at most, and returns the
	// ID of the reservation. If the engine rejects it, the error is a *NoCapacityError.
	Reserve(ctx context.Context, u Upstream, tokens int, ttl time.Duration) (string, error)
	// Release releases a reservation.
	Release(ctx context.Context, u Upstream, reservation string) error
	// Migrate copies the KV cache of a running request to another engine, where the request can
	// continue with the returned handle as its source. With Stop the request first ends at its
	// engine, otherwise it continues to run there. If it is not running there, the error is a
	// *NotRunningError. If it was stopped but not copied, the error is a *NotCopiedError, and the
	// request can continue at the engine where it was stopped.
	Migrate(ctx context.Context, m Migration) (Handle, error)
	// CheckReachable opens a connection to an upstream and closes it. If the process has ended, the
	// connection is refused.
	CheckReachable(ctx context.Context, u Upstream) error
	// Report requests an engine's load report. Engines answer without using a slot. If another
	// incarnation answers at the address, the error is a *ReplacedError.
	Report(ctx context.Context, u Upstream) (Report, error)
	// CachedPromptParts returns the IDs of the prompt parts in an engine's KV cache and the length
	// of each in tokens, including the output that follows it. The request delays the engine's
	// work.
	CachedPromptParts(ctx context.Context, u Upstream) (map[string]int, error)
	// CacheLog returns a page of an engine's log of changes of its KV cache, from the entry after the
	// given position on; 0 is the beginning. Engines answer without delay of their work.
	CacheLog(ctx context.Context, u Upstream, after int64) (CacheLog, error)
	// Activity returns what an engine runs. It is some hundred milliseconds old.
	Activity(ctx context.Context, u Upstream) (Activity, error)
	// Order orders an engine to change its stage. If the engine has seen a higher fencing number,
	// the error is a *FencedError.
	Order(ctx context.Context, o Order) error
	// WriteResponseHeaders sets the headers that all responses to callers have.
	WriteResponseHeaders(h http.Header, c *Call)
	// Close closes idle connections.
	Close()
}

// Activity is what an engine reports of its work.
type Activity struct {
	// Running is the number of events that each request which the engine runs has made, by the ID of the
	// caller's attempt.
	Running map[string]int
	// NeverOrdered means that the engine has accepted no order since its start: it has the stage with which it
	// started.
	NeverOrdered bool
}

// CacheLog is a page of an engine's log of changes of its KV cache. Changes appear in it with some delay.
type CacheLog struct {
	// Epoch identifies the log. It changes when the engine restarts, with which positions begin anew.
	Epoch string
	// Next is the position after which the next page begins.
	Next int64
	// Lost means that entries between the requested position and the page are no longer kept.
	Lost    bool
	Entries []CacheEntry
}

// CacheEntry is a change of one prompt part in an engine's KV cache.
type CacheEntry struct {
	// Position is the entry's number in the log, which counts from 1 without gaps.
	Position int64
	// Part is the ID of the prompt part.
	Part string
	// Tokens is the length of what is cached of the part since the change, in tokens, including the output
	// that follows the part.
	Tokens int
}

// Migration describes the move of a running request to another engine.
type Migration struct {
	// Request is the ID of the caller's attempt.
	Request  string
	From, To Upstream
	// Stop ends the request at From before the copy.
	Stop bool
}

// Report is the load that an engine reports about itself. It is some hundred milliseconds old.
type Report struct {
	// Incarnation identifies the engine's start; it is 0 if the engine does not state it.
	Incarnation ident.Incarnation
	Stage       Stage
	// Switching means that the engine is changing its stage.
	Switching bool
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// UsedTokens is the memory used by running requests, ReservedTokens the memory reserved, both
	// in tokens.
	UsedTokens, ReservedTokens int
}

// Order is an order to an engine to change its stage.
type Order struct {
	To    Upstream
	Stage Stage
	// Holder is the instance that gives the order.
	Holder ident.InstanceID
	// Fence is the fencing number. It increases with each change of the holder, and no two
	// holders use the same number.
	Fence int64
}

// Directives are the operators' instructions to all instances.
type Directives struct {
	// Config is the newest configuration.
	Config     *routing.Config
	Evacuation routing.Evacuation
}

// Source is the store that the operators and the upstreams write to. The gateway only reads it.
type Source interface {
	// Directives returns the current directives. If there is no configuration, the error is an
	// *KeyNotFoundError.
	Directives(ctx context.Context) (Directives, error)
	// Upstreams lists all upstreams and returns the revision of the store that the list reflects;
	// see Revision. A
	// long list takes several requests to the store. Before each one except the first, Upstreams
	// calls further; if that returns false, it stops with a *ListAbandonedError.
	Upstreams(ctx context.Context, further func() bool) (list []Upstream, revision int64, err error)
	// Changes returns the changes after a revision. If the store no longer has the history since
	// that revision, or was restored from a copy meanwhile, the error is a *HistoryLostError.
	Changes(ctx context.Context, after int64) (Changes, error)
	// History returns the upstreams as they were written before a revision, about as far back as the store
	// keeps its history.
	History(ctx context.Context, before int64) (History, error)
}

// History holds earlier states of upstreams.
type History struct {
	// States holds each state that was written, so that an upstream may appear several times.
	States []Upstream
	// Unidentified is the number of upstreams that were removed and of which no state is kept.
	Unidentified int
	// Kept means that the store keeps some history. If it keeps none, nothing is known: stores may discard it
	// early.
	Kept bool
}

// Changes describes the differences between two revisions of the store.
type Changes struct {
	// Upstreams lists the upstreams that were added or changed, Removed the IDs of removed ones.
	Upstreams []Upstream
	Removed   []ident.UpstreamID
	// DirectivesChanged means that at least one of the operators' items in the store changed.
	DirectivesChanged bool
	// Revision is the store's revision; it orders the lists of several readers.
	Revision int64
	// Next is the revision from which to continue: that of the last change, or the requested one
	// if there are no changes. It must not be the store's revision, because a store that is about
	// to lose its history reports no changes for a while, and the changes made in that time must
	// not be skipped.
	Next int64
}

// UpstreamsChanged reports whether any upstream was added, changed or removed.
func (c *Changes) UpstreamsChanged() bool { return len(c.Upstreams)+len(c.Removed) > 0 }
