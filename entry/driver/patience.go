package driver

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// defaultStall applies if the bundle sets no transfer_stall.
	defaultStall = 5 * time.Second
	// tokenGapFactor is the longest allowed gap between tokens, as a multiple of
	// the target time per token.
	tokenGapFactor = 20
	// transferTimeFactor is the time allowed for a transfer, in addition to the
	// stall time, as a multiple of its expected duration: transfers of other
	// instances, which this instance cannot see, may share the link.
	transferTimeFactor = 6
	// prefillTimeFactor is the time allowed for a prefill, in addition to the
	// stall time, as a multiple of its expected duration: prefills that other
	// instances have sent since the engine's last load report may be queued
	// ahead of it.
	prefillTimeFactor = 4
	// noLimit disables the time limit between tokens: the request's deadline
	// ends the stream.
	noLimit = time.Hour
	// minPrefillTimeout is the lower bound of the time limit of a prefill.
	minPrefillTimeout = 2 * time.Second
)

// progressLimits holds the time limits for progress of an attempt.
type progressLimits struct {
	// first is the time limit for the first token. It includes the transfer and
	// the import of the KV cache.
	first time.Duration
	// next is the time limit for each further token.
	next time.Duration
}

// decodeLimits returns the time limits for an attempt whose KV cache is
// transferred from the given engine. from is empty if there is no transfer.
func (d *Driver) decodeLimits(a *attempt, from ident.UpstreamID) progressLimits {
	stall := d.stall()
	r := a.exchange.Request
	p := progressLimits{first: stall, next: max(stall, tokenGapFactor*r.Pace)}
	if !r.MayRepeat() {
		// No other engine may continue such a request: ending the attempt would
		// lose an answer that may only be late.
		p.next = noLimit
	}
	source, target := d.specs[from], d.specs[a.target.Upstream]
	if source != nil && target != nil {
		p.first += transferTimeFactor * transferTime(d.models[r.Model], r.PromptTokens, source, target)
	}
	return p
}

// stall returns the bundle's transfer_stall, or its default.
func (d *Driver) stall() time.Duration {
	if d.content != nil && d.content.Policy.TransferStall > 0 {
		return d.content.Policy.TransferStall
	}
	return defaultStall
}

// prefillLimits returns the time limits for a prefill of the prompt and the
// previous output: an engine that accepts connections but never answers must
// not hold a request until its deadline. The engine's queue is estimated from
// its last load report and from the prefills that this instance has in flight
// there.
func (d *Driver) prefillLimits(a *attempt, continueFrom int) progressLimits {
	tokens := a.exchange.Request.PromptTokens + continueFrom
	u := d.prefillEngine(a.target.Upstream)
	expected := kernel.PrefillWait(u, time.Now()) + kernel.PrefillTime(u, tokens)
	bound := max(prefillTimeFactor*expected+d.stall(), minPrefillTimeout)
	return progressLimits{first: bound, next: bound}
}

// prefillEngine returns the fields of a prefill engine that the estimates need.
func (d *Driver) prefillEngine(id ident.UpstreamID) *kernel.Upstream {
	u := &kernel.Upstream{ID: id, LocalLoad: kernel.LocalLoad{Tokens: d.prefilling[id]}}
	if spec := d.specs[id]; spec != nil {
		u.Spec = *spec
	}
	if known := d.upstreams[id]; known != nil {
		u.Load = known.Load
	}
	return u
}

// addPrefillWork adds a prefill's tokens to the in-flight count of its engine
// until the attempt is removed.
func (d *Driver) addPrefillWork(a *attempt, tokens int) {
	a.prefillTokens = tokens
	d.prefilling[a.target.Upstream] += tokens
}

// removePrefillWork subtracts the attempt's tokens from the in-flight count of
// its engine.
func (d *Driver) removePrefillWork(a *attempt) {
	id := a.target.Upstream
	d.prefilling[id] -= a.prefillTokens
	a.prefillTokens = 0
	if d.prefilling[id] == 0 {
		delete(d.prefilling, id)
	}
}

// updateLoad stores a load report unless a newer one of the same upstream is
// known.
func (d *Driver) updateLoad(e kernel.LoadReported) {
	u := d.upstreams[e.Upstream]
	if u != nil && !e.Load.At.Before(u.Load.At) {
		u.Load = e.Load
	}
}

// transferTime returns the expected time to transfer a prompt's KV cache.
func transferTime(m *config.Model, tokens int, from, to *config.Upstream) time.Duration {
	return kernel.TransferTime(m, tokens, &kernel.Upstream{Spec: *from}, &kernel.Upstream{Spec: *to})
}
