package carry

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/internal/clock"
)

// trialRetryAfter is the Retry-After of a request whose content is on trial in another attempt. A
// crash is noticed by the time of the first event, and therefore within a latency objective of
// about one second.
const trialRetryAfter = time.Second

// Trials grants permission to send suspect contents, to one attempt at a time across all
// instances.
type Trials interface {
	// Begin requests permission for an attempt that ends within the given duration, and reports
	// whether it was granted. If so, the caller must call end after it has entered the attempt's
	// result in the register.
	Begin(ctx context.Context, c quarantine.Content, duration time.Duration) (end func(), ok bool)
}

// crashGuard protects upstreams from a request whose content has crashed other upstreams.
type crashGuard struct {
	c   *Forwarder
	j   *Job
	log *slog.Logger
	// releaseTrial ends the trial of a suspect content; nil if none is running. The trial
	// expires at trialExpires.
	releaseTrial func()
	trialExpires time.Time
	// crashedEarly means that an upstream crashed while it ran this request and before it had
	// produced an event.
	crashedEarly bool
}

// admit reports whether the request may be sent to an upstream now, and first obtains a trial if
// its content is suspect. The error is an *Error; outcome is the outcome to report for a request
// that is not sent. The deadline is checked here because it may have passed while this instance
// was paused.
func (g *crashGuard) admit(ctx context.Context, outcome Outcome) error {
	g.c.o.AwaitInformed(ctx, g.j.Service.Engine != nil)
	if clock.Until(g.j.Deadline) <= 0 {
		return deadlineError(outcome)
	}
	if !g.j.holdsKey(g.c.o.View()) {
		g.c.o.Count("refused_key_taken_away")
		g.log.Info("refused", "reason", ReasonNoKey, "fate", outcome)
		return &Error{Outcome: outcome, Reason: ReasonNoKey}
	}
	v := g.c.o.Register.Verdict(clock.Now(), g.j.Content)
	switch {
	case v.Standing == quarantine.Quarantined:
		return g.refuse(outcome, "quarantined", v, v.Remaining)
	case v.Standing == quarantine.Clear || g.releaseTrial != nil && clock.Now().Before(g.trialExpires):
		return nil
	}
	g.endTrial()
	duration := min(quarantine.MaxTrialTime, clock.Until(g.j.Deadline))
	g.trialExpires = clock.Now().Add(duration)
	end, ok := g.c.o.Trials.Begin(ctx, g.j.Content, duration)
	if !ok {
		return g.refuse(outcome, "on_trial", v, trialRetryAfter)
	}
	g.releaseTrial = end
	// The instance that granted the trial may have had newer crash records.
	if v := g.c.o.Register.Verdict(clock.Now(), g.j.Content); v.Standing == quarantine.Quarantined {
		return g.refuse(outcome, "quarantined", v, v.Remaining)
	}
	g.c.o.Count("trial")
	g.log.Info("trial", "content", g.j.Content.String(), "crashes", v.Crashes, "early", v.Early, "upstreams", v.Upstreams)
	return nil
}

// deadlineError returns the error for a request whose deadline has passed. outcome is the outcome
// to report if the request is not sent.
func deadlineError(outcome Outcome) error {
	if outcome == Unknown {
		outcome = TimedOut
	}
	return &Error{Outcome: outcome, Reason: "deadline", RetryAfter: streamRetryAfter, Err: context.DeadlineExceeded}
}

// refuse logs and counts the refusal of the request, with its crash records, and returns its
// *Error.
func (g *crashGuard) refuse(outcome Outcome, reason string, v quarantine.Verdict, retry time.Duration) error {
	g.c.o.Count("refused_" + reason)
	g.log.Info("refused", "reason", reason, "content", g.j.Content.String(), "crashes", v.Crashes, "early", v.Early,
		"upstreams", v.Upstreams, "left_ms", v.Remaining.Milliseconds())
	return &Error{Outcome: outcome, Reason: reason, RetryAfter: retry}
}

// onTrial reports whether the request is on trial.
func (g *crashGuard) onTrial() bool { return g.releaseTrial != nil }

// recordProgress records that the request has produced the given number of events at an upstream,
// and ends the trial once the content is cleared by that.
func (g *crashGuard) recordProgress(eventCount int) {
	if g.releaseTrial == nil {
		return
	}
	g.c.o.Register.Clear(g.j.Content, eventCount, false)
	if g.c.o.Register.Verdict(clock.Now(), g.j.Content).Standing == quarantine.Clear {
		g.log.Info("trial passed", "content", g.j.Content.String(), "made", eventCount)
		g.endTrial()
	}
}

// recordCompletion records that the request ran to completion, which clears its content.
func (g *crashGuard) recordCompletion() { g.c.o.Register.Clear(g.j.Content, 0, true) }

// endTrial ends the trial if one is running.
func (g *crashGuard) endTrial() {
	if g.releaseTrial != nil {
		g.releaseTrial()
		g.releaseTrial = nil
	}
}
