package carry

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/internal/clock"
)

// trialRetry is the Retry-After of a request whose content is on trial in another attempt. A
// crash shows by the time of the first event, and therefore within a latency objective of about
// one second.
const trialRetry = time.Second

// Trials grants permission to send suspect contents, to one attempt at a time across all
// instances.
type Trials interface {
	// Begin requests permission for an attempt that ends within the given duration, and reports
	// whether it was granted. If so, the caller must call end after it has entered the attempt's
	// result in the register.
	Begin(ctx context.Context, c quarantine.Content, lasts time.Duration) (end func(), ok bool)
}

// caution protects upstreams from a request whose content has crashed other upstreams.
type caution struct {
	c   *Carrier
	j   *Job
	log *slog.Logger
	// end ends the trial of a suspect content; nil if none is running. The trial expires at
	// until.
	end   func()
	until time.Time
	// crashed means that an upstream crashed while it ran this request and before it had
	// produced an event.
	crashed bool
}

// admit reports whether the request may be sent to an upstream now, and first obtains a trial if
// its content is suspect. The error is an *Error; fate is the outcome to report for a request
// that is not sent. The deadline is checked here because it may have passed while this instance
// was paused.
func (a *caution) admit(ctx context.Context, fate Fate) error {
	a.c.o.AwaitInformed(ctx, a.j.Service.Engine != nil)
	if clock.Until(a.j.Deadline) <= 0 {
		return overdue(fate)
	}
	if !a.j.holdsKey(a.c.o.View()) {
		a.c.o.Count("refused_key_taken_away")
		a.log.Info("refused", "reason", ReasonNoKey, "fate", fate)
		return &Error{Fate: fate, Reason: ReasonNoKey}
	}
	v := a.c.o.Register.Verdict(clock.Now(), a.j.Content)
	switch {
	case v.Standing == quarantine.Quarantined:
		return a.refuse(fate, "quarantined", v, v.Left)
	case v.Standing == quarantine.Clear || a.end != nil && clock.Now().Before(a.until):
		return nil
	}
	a.done()
	lasts := min(quarantine.TrialMost, clock.Until(a.j.Deadline))
	a.until = clock.Now().Add(lasts)
	end, ok := a.c.o.Trials.Begin(ctx, a.j.Content, lasts)
	if !ok {
		return a.refuse(fate, "on_trial", v, trialRetry)
	}
	a.end = end
	// The instance that granted the trial may have had newer evidence.
	if v := a.c.o.Register.Verdict(clock.Now(), a.j.Content); v.Standing == quarantine.Quarantined {
		return a.refuse(fate, "quarantined", v, v.Left)
	}
	a.c.o.Count("trial")
	a.log.Info("trial", "content", a.j.Content.String(), "crashes", v.Crashes, "early", v.Early, "upstreams", v.Upstreams)
	return nil
}

// overdue returns the error for a request whose deadline has passed. fate is the outcome to
// report if the request is not sent.
func overdue(fate Fate) error {
	if fate == Unknown {
		fate = TimedOut
	}
	return &Error{Fate: fate, Reason: "deadline", RetryAfter: retryStream, Err: context.DeadlineExceeded}
}

// refuse logs and counts the refusal of the request, with the evidence for it, and returns its
// *Error.
func (a *caution) refuse(fate Fate, reason string, v quarantine.Verdict, retry time.Duration) error {
	a.c.o.Count("refused_" + reason)
	a.log.Info("refused", "reason", reason, "content", a.j.Content.String(), "crashes", v.Crashes, "early", v.Early,
		"upstreams", v.Upstreams, "left_ms", v.Left.Milliseconds())
	return &Error{Fate: fate, Reason: reason, RetryAfter: retry}
}

// suspect reports whether the request is on trial.
func (a *caution) suspect() bool { return a.end != nil }

// progressed records that the request has produced the given number of events at an upstream,
// and ends the trial once the content is cleared by that.
func (a *caution) progressed(made int) {
	if a.end == nil {
		return
	}
	a.c.o.Register.Clear(a.j.Content, made, false)
	if a.c.o.Register.Verdict(clock.Now(), a.j.Content).Standing == quarantine.Clear {
		a.log.Info("trial passed", "content", a.j.Content.String(), "made", made)
		a.done()
	}
}

// ended records that the request ran to completion, which clears its content.
func (a *caution) ended() { a.c.o.Register.Clear(a.j.Content, 0, true) }

// done ends the trial if one is running.
func (a *caution) done() {
	if a.end != nil {
		a.end()
		a.end = nil
	}
}
