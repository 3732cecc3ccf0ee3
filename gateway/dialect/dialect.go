// Package dialect defines what the gateway needs of the protocols that callers,
// upstreams and the configuration store of a deployment speak. An
// implementation translates between their words and the types here, keeps no
// state and decides nothing.
package dialect

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Namespace is that of the plug-ins that speak to deployments.
const Namespace = "deployment"

// Deployment is a plug-in that speaks to one kind of deployment.
type Deployment interface {
	plugin.Plugin
	// Open makes its clients. Nothing is connected to yet.
	Open(o Options) (Dialect, Source)
}

// NotDeploymentError reports a plug-in that speaks to no deployment.
type NotDeploymentError struct{ ID plugin.ID }

// Error implements error.
func (e *NotDeploymentError) Error() string {
	return fmt.Sprintf("plug-in %s speaks to no deployment", e.ID)
}

// Load makes the plug-in of the given name. Errors are *plugin.UnknownError,
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

// Stage is the part of the work that a model engine does.
type Stage string

// The stages.
const (
	// StagePrefill engines compute the KV cache of prompts.
	StagePrefill Stage = "prefill"
	// StageDecode engines generate output.
	StageDecode Stage = "decode"
)

// Upstream is a model engine or a process of a plain service, as the store lists
// it. A start is a new incarnation, under an ID of its own or the one that it had.
type Upstream struct {
	ID ident.UpstreamID `json:"id"`
	// Incarnation is its start, 0 if it doesn't say.
	Incarnation ident.Incarnation `json:"i,omitempty"`
	Service     string            `json:"service"`
	// Address is "IP:port".
	Address string     `json:"address"`
	Zone    ident.Zone `json:"zone"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Leaving means that it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Stage is empty for plain services.
	Stage Stage `json:"stage,omitempty"`
	// Cold upstreams have started recently or been idle, and tolerate only a limited request rate.
	Cold bool `json:"cold,omitempty"`
}

// Restarted reports whether an incarnation of the upstream's ID is newer than u's.
func (u Upstream) Restarted(incarnation ident.Incarnation) bool {
	return u.Incarnation != 0 && incarnation > u.Incarnation
}

// Call is a caller's request. It must not be changed once it is read whole and its
// workspace is named.
type Call struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the request target as the caller sent it, path and query.
	Target string
	// Header holds what is forwarded.
	Header http.Header
	Body   []byte
	// Caller is the digest of what the caller says of who it is, zero if it says nothing.
	Caller routing.KeyDigest
	// Key is the digest of the key that it gives; nil for none, or for one that is malformed.
	Key *routing.KeyDigest
	// Patience is how long the caller waits from the arrival of the request; 0
	// if it doesn't say.
	Patience time.Duration
	// LastEvent is the number of the last event that a resuming caller has.
	LastEvent string
	// SeenEvents is how many events a resuming caller has, 0 if unknown.
	SeenEvents int
	// StatesTokens means that the caller states PromptTokens and MaxOutputTokens.
	StatesTokens bool
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
	// PromptPart names the last part of the prompt, which no other request has; ""
	// if unknown.
	PromptPart string
	// MaxOutputTokens bounds the output, 0 if unknown.
	MaxOutputTokens int
	// OutputEstimate is the caller's guess of the output's length, in tokens; 0
	// if it makes none. Right at the median and often far off.
	OutputEstimate int
}

// Send is one sending of a call to an upstream.
type Send struct {
	To Upstream
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Source names the KV cache to start from; nil to prefill at the upstream.
	Source *Handle
	// Hold names the reservation to use, "" for none.
	Hold string
	// LastEvent overrides the call's, for a stream that is resumed here.
	LastEvent string
}

// Handle is a prefill result that an engine keeps for a short time.
type Handle struct {
	// Engine is the address of the engine that has it.
	Engine string
	ID     string
	Tokens int
}

// Verdict says what an upstream's response means.
type Verdict int

// The verdicts.
const (
	// Success is a whole-hearted answer, to be passed on.
	Success Verdict = iota + 1
	// Failure is the upstream's own failure: the request ran.
	Failure
	// Refused attests that the request did not run and will not.
	Refused
	// WrongUpstream attests that another incarnation has the address. The request
	// did not run.
	WrongUpstream
	// Invalid is no answer of the upstream's to this request.
	Invalid
)

// String returns the name used in logs.
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

// Options are what a deployment's clients need.
type Options struct {
	// StoreAddress is where the store answers, "IP:port".
	StoreAddress string
	// DialTimeout bounds a connection's opening.
	DialTimeout time.Duration
	Log         *slog.Logger
}

// Dialect is the translation of one deployment's protocols.
type Dialect interface {
	// Read translates a caller's request but for its body.
	Read(r *http.Request) (*Call, error)
	// NameWorkspace has all sends of a call name the workspace, "" for none, and the call's
	// priority, and takes the caller's key out of them.
	NameWorkspace(c *Call, workspace string, priority int)
	// Challenge puts on a response that the caller needs a key.
	Challenge(h http.Header)
	// Do sends a call once. Errors before the response's head are
	// *adapter.CallError with exact evidence. The response's ID was checked.
	Do(ctx context.Context, c *Call, s Send) (*http.Response, Verdict, error)
	// Prefill has an engine compute the KV cache of a call. It never runs it.
	Prefill(ctx context.Context, c *Call, s Send) (Handle, error)
	// Free gives a prefill result up.
	Free(ctx context.Context, h Handle) error
	// Hold reserves a slot and memory at an engine. A refusal is a *FullError.
	Hold(ctx context.Context, address string, tokens int, ttl time.Duration) (string, error)
	// Release gives a reservation up.
	Release(ctx context.Context, address, hold string) error
	// Migrate copies the KV cache of a running request to another engine, where it can
	// go on with the handle as its source. With Stop the request ends at its engine
	// first, otherwise it runs on. A request that doesn't run there is a
	// *NotRunningError; one that was stopped and not copied is a *NotCopiedError, and
	// can go on at the engine that it was stopped at.
	Migrate(ctx context.Context, m Migration) (Handle, error)
	// Reach opens a connection to an upstream and closes it: a process that has ended
	// refuses it.
	Reach(ctx context.Context, u Upstream) error
	// Report asks an engine for its load. Engines answer without using a slot.
	// Another incarnation at its address is a *ReplacedError.
	Report(ctx context.Context, u Upstream) (Report, error)
	// Kept returns the parts of prompts in an engine's KV cache with their lengths in
	// tokens, that of the output after them included. It delays the engine's work.
	Kept(ctx context.Context, u Upstream) (map[string]int, error)
	// Order tells an engine to change its stage.
	Order(ctx context.Context, o Order) error
	// WriteHead puts on a caller's response what all answers carry.
	WriteHead(h http.Header, c *Call)
	// Close drops idle connections.
	Close()
}

// Migration is the move of a running request to another engine.
type Migration struct {
	// Request is the ID of the caller's attempt.
	Request  string
	From, To Upstream
	// Stop ends the request at From.
	Stop bool
}

// Report is an engine's own word on its load, as of some hundred ms ago.
type Report struct {
	// Incarnation is the engine's, 0 if it doesn't say.
	Incarnation ident.Incarnation
	Stage       Stage
	// Switching means that an order is being carried out.
	Switching bool
	// Running and Waiting count requests.
	Running, Waiting int
	// UsedTokens is the memory of running requests, in tokens; HeldTokens that of
	// reservations.
	UsedTokens, HeldTokens int
}

// Order is a change of an engine's stage.
type Order struct {
	To    Upstream
	Stage Stage
	// Holder is the instance that gives it.
	Holder ident.InstanceID
	// Fence rises with each change of the holder and is never shared by two.
	Fence int64
}

// Directives are the operators' instructions to all instances.
type Directives struct {
	// Config is the newest configuration.
	Config     *routing.Config
	Evacuation routing.Evacuation
}

// Source is the store that the operators and the upstreams write to. It is only
// read.
type Source interface {
	// Directives returns the current directives. If there is no configuration the error is
	// an *AbsentError.
	Directives(ctx context.Context) (Directives, error)
	// Upstreams lists all upstreams, as of the revision. A long list takes several readings;
	// before each but the first, further says whether it is still wanted. If not, the error is
	// a *StoppedError.
	Upstreams(ctx context.Context, further func() bool) (list []Upstream, revision int64, err error)
	// Changes returns what changed after a revision. If the store no longer has the history
	// since then, the error is a *HistoryLostError.
	Changes(ctx context.Context, after int64) (Changes, error)
}

// Changes describes the differences between two revisions of the store.
type Changes struct {
	// Upstreams are those added or changed, Gone those removed.
	Upstreams []Upstream
	Gone      []ident.UpstreamID
	// DirectivesChanged reports whether any of the operators' items changed.
	DirectivesChanged bool
	// Revision is the store's; lists of several readers are ordered by it.
	Revision int64
	// Next is where to continue: the revision of the last change, or the requested one if there
	// are no changes. A store that is about to lose its history reports no changes for a while,
	// and those made in that time must not be skipped.
	Next int64
}

// UpstreamsChanged reports whether any upstream was added, changed or removed.
func (c *Changes) UpstreamsChanged() bool { return len(c.Upstreams)+len(c.Gone) > 0 }
