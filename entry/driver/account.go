package driver

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Summary describes a request that ended, for the statistics.
type Summary struct {
	Request       ident.RequestID
	Workspace     ident.Workspace
	Kind          string
	Route         config.Route
	Outcome       api.Outcome
	BundleVersion uint64
	Arrived       time.Time
	Ended         time.Time
	// Tokens is how many output tokens the caller got.
	Tokens int
	// FirstToken and LastToken are when the first and the last came, zero if
	// none did.
	FirstToken time.Time
	LastToken  time.Time
	// OnTime says that the whole answer came within the kind's targets.
	OnTime bool
	// PrefillTokens is the prompt work done for the request, in tokens;
	// WastedTokens is the part of it that no output came of, or that repeated
	// work done before.
	PrefillTokens int
	WastedTokens  int
}

// prefillAccount follows the prompt work done for one request.
type prefillAccount struct {
	done, wasted int
	// pending is work whose output has not begun.
	pending int
	// repeat is true once output began: later prefills redo lost work.
	repeat bool
}

// computed notes a finished prefill of the given uncached tokens.
func (p *prefillAccount) computed(tokens int) {
	p.done += tokens
	if p.repeat {
		p.wasted += tokens
		return
	}
	p.wasted += p.pending
	p.pending = tokens
}

// used notes the first output that came of the latest prefill.
func (p *prefillAccount) used() {
	p.pending = 0
	p.repeat = true
}

// end notes the end of the request.
func (p *prefillAccount) end() {
	p.wasted += p.pending
	p.pending = 0
}

// summary describes an exchange at its end.
func (ex *Exchange) summary(r Result, now time.Time) Summary {
	ex.account.end()
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
		PrefillTokens: ex.account.done,
		WastedTokens:  ex.account.wasted,
	}
	s.OnTime = r.Outcome == api.Complete && ex.onTime(&s)
	return s
}

// onTime reports whether a whole answer met the request's targets.
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
