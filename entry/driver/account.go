package driver

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Summary describes a finished request for statistics.
type Summary struct {
	Request       ident.RequestID
	Workspace     ident.Workspace
	Kind          string
	Route         config.Route
	Outcome       api.Outcome
	BundleVersion uint64
	Arrived       time.Time
	Ended         time.Time
	// Tokens is the number of output tokens sent to the caller.
	Tokens int
	// FirstToken and LastToken are the times at which the first and the last
	// output token were sent. Both are zero if there was no token.
	FirstToken time.Time
	LastToken  time.Time
	// OnTime reports whether the complete answer met the kind's latency
	// targets.
	OnTime bool
	// PrefillTokens is the number of prompt tokens computed for the request.
	// WastedTokens is the part of them that produced no output or repeated an
	// earlier prefill.
	PrefillTokens int
	WastedTokens  int
}

// prefillUsage counts the prompt tokens computed and wasted for one request.
type prefillUsage struct {
	done, wasted int
	// pending is the size of the latest prefill, as long as it has produced no
	// output.
	pending int
	// outputStarted is set at the first output token: any later prefill
	// recomputes work that was lost.
	outputStarted bool
}

// addPrefill records a finished prefill that computed the given number of
// uncached tokens.
func (p *prefillUsage) addPrefill(tokens int) {
	p.done += tokens
	if p.outputStarted {
		p.wasted += tokens
		return
	}
	p.wasted += p.pending
	p.pending = tokens
}

// markOutput records the first output token produced from the latest prefill.
func (p *prefillUsage) markOutput() {
	p.pending = 0
	p.outputStarted = true
}

// finish records the end of the request: a prefill without output is wasted.
func (p *prefillUsage) finish() {
	p.wasted += p.pending
	p.pending = 0
}

// summary returns the statistics of a finished exchange.
func (ex *Exchange) summary(r Result, now time.Time) Summary {
	ex.prefillUsage.finish()
	first, last, tokens := ex.delivery.times()
	s := Summary{
		Request:       ex.Request.ID,
		Workspace:     ex.Request.Workspace,
		Kind:          ex.Request.Kind,
		Route:         ex.Request.Route,
		Outcome:       r.Outcome,
		BundleVersion: r.BundleVersion,
		Arrived:       ex.Request.Arrived,
		Ended:         now,
		Tokens:        tokens,
		FirstToken:    first,
		LastToken:     last,
		PrefillTokens: ex.prefillUsage.done,
		WastedTokens:  ex.prefillUsage.wasted,
	}
	s.OnTime = r.Outcome == api.Complete && ex.onTime(&s)
	return s
}

// onTime reports whether a complete answer met the deadline, the
// time-to-first-token target and the time-per-token target of the request.
func (ex *Exchange) onTime(s *Summary) bool {
	if s.Ended.After(ex.Request.Deadline) {
		return false
	}
	first := s.FirstToken
	if first.IsZero() {
		first = s.Ended
	}
	by := ex.Request.FirstOutputBy
	if !by.IsZero() && first.After(by) {
		return false
	}
	if ex.Request.Pace <= 0 || s.Tokens < 2 {
		return true
	}
	pace := s.LastToken.Sub(s.FirstToken) / time.Duration(s.Tokens-1)
	return pace <= ex.Request.Pace
}
