package driver

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// defaultStall is used where the bundle sets no transfer_stall.
	defaultStall = 5 * time.Second
	// stallPaces is how many times the target pace a stream may be silent.
	stallPaces = 20
	// transferSlack is how many times its expected duration a transfer may
	// take, before the stall time is counted: it may share the link with
	// transfers of other instances, of which this one knows nothing.
	transferSlack = 6
	// prefillSlack is how many times its expected duration a prefill may take,
	// before the stall time is counted: other instances' prefills that came since
	// the engine's last load report are ahead of it too.
	prefillSlack = 4
	// noLimit leaves the end of a stream to its request's deadline.
	noLimit = time.Hour
	// minPrefillPatience is the shortest bound on a prefill.
	minPrefillPatience = 2 * time.Second
)

// patience is how long an attempt may make no progress.
type patience struct {
	// first bounds the wait for the first token: transfer and import.
	first time.Duration
	// next bounds the wait for each further one.
	next time.Duration
}

// patience returns the bounds for an attempt whose KV cache comes from the
// given engine, which is empty if it does not have to come.
func (d *Driver) patience(a *attempt, from ident.UpstreamID) patience {
	stall := d.stall()
	r := a.exchange.Request
	p := patience{first: stall, next: max(stall, stallPaces*r.Pace)}
	if !r.MayRepeat() {
		// No other engine may go on with what has begun: ending it would lose an answer that
		// may only be late.
		p.next = noLimit
	}
	source, target := d.specs[from], d.specs[a.target.Upstream]
	if source != nil && target != nil {
		p.first += transferSlack * transferTime(d.models[r.Model], r.PromptTokens, source, target)
	}
	return p
}

// stall is the bundle's transfer_stall.
func (d *Driver) stall() time.Duration {
	if d.content != nil && d.content.Policy.TransferStall > 0 {
		return d.content.Policy.TransferStall
	}
	return defaultStall
}

// prefillPatience bounds a prefill of a prompt and of the output before it: an
// engine that takes connections but never answers must not hold a request until
// its deadline. The engine's queue is what it reported and what this instance
// itself has there.
func (d *Driver) prefillPatience(a *attempt, continueFrom int) patience {
	tokens := a.exchange.Request.PromptTokens + continueFrom
	u := d.prefillEngine(a.target.Upstream)
	expected := kernel.PrefillWait(u, time.Now()) + kernel.PrefillTime(u, tokens)
	bound := max(prefillSlack*expected+d.stall(), minPrefillPatience)
	return patience{first: bound, next: bound}
}

// prefillEngine describes a prefill engine as far as the estimates need it.
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

// charge counts a prefill's tokens as work of its engine until the attempt is
// forgotten.
func (d *Driver) charge(a *attempt, tokens int) {
	a.charged = tokens
	d.prefilling[a.target.Upstream] += tokens
}

// discharge ends the count.
func (d *Driver) discharge(a *attempt) {
	id := a.target.Upstream
	d.prefilling[id] -= a.charged
	a.charged = 0
	if d.prefilling[id] == 0 {
		delete(d.prefilling, id)
	}
}

// seen keeps the newest load report of an upstream.
func (d *Driver) seen(e kernel.LoadReported) {
	u := d.upstreams[e.Upstream]
	if u != nil && !e.Load.At.Before(u.Load.At) {
		u.Load = e.Load
	}
}

// transferTime is the expected time to move a prompt's KV cache.
func transferTime(m *config.Model, tokens int, from, to *config.Upstream) time.Duration {
	return kernel.TransferTime(m, tokens, &kernel.Upstream{Spec: *from}, &kernel.Upstream{Spec: *to})
}
