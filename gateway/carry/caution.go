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

// beginningEvents is the number of events of an attempt that show that its upstream has begun to
// answer the prompt. An upstream that a part of the prompt crashes may have sent one event.
const beginningEvents = 2

// Trials grants permission to send suspect contents and prompts with suspect parts, to one attempt at
// a time across all instances.
type Trials interface {
	// Begin requests permission for an attempt that ends within the given duration, and reports
	// whether it was granted. If so, the caller must call end after it has entered the attempt's
	// result in the register.
	Begin(ctx context.Context, s quarantine.Subject, duration time.Duration) (end func(), ok bool)
}

// crashGuard protects upstreams from a request whose content, or a part of whose prompt, has crashed
// other upstreams.
type crashGuard struct {
	c   *Forwarder
	j   *Job
	log *slog.Logger
	// parts are the service's part and the parts of the prompt that other requests may share, nil for
	// a request without a prompt.
	parts []quarantine.Part
	// releaseTrial ends the trial of trialSubject; nil if none is running. The trial expires at
	// trialExpires.
	releaseTrial func()
	trialSubject quarantine.Subject
	trialExpires time.Time
	// sharesTrial means that the trial belongs to another guard of the same request.
	sharesTrial bool
	// crashedEarly means that an upstream crashed while it ran this request and before it had
	// produced an event.
	crashedEarly bool
}

// newCrashGuard returns the guard of a request.
func (c *Forwarder) newCrashGuard(j *Job, log *slog.Logger) crashGuard {
	g := crashGuard{c: c, j: j, log: log}
	if j.Service.Engine != nil || len(j.Call.SharedPromptParts) > 0 {
		g.parts = quarantine.PartsOf(j.Service.Name, j.Call.SharedPromptParts)
	}
	return g
}

// verdict returns whether the request may be sent: the worse of the verdicts on its content and on
// the parts of its prompt.
func (g *crashGuard) verdict() quarantine.Verdict {
	now := clock.Now()
	content, part := g.c.o.Register.Verdict(now, g.j.Content), g.c.o.Register.PartsVerdict(now, g.parts)
	if part.Standing != quarantine.Clear && part.Standing >= content.Standing {
		return part
	}
	return content
}

// subjectOf returns what a verdict on the request is about.
func (g *crashGuard) subjectOf(v quarantine.Verdict) quarantine.Subject {
	if v.Part != 0 {
		return quarantine.Subject(v.Part)
	}
	return quarantine.Subject(g.j.Content)
}

// partID returns the ID of the prompt's part that a verdict is about, "" if it is about the content.
func (g *crashGuard) partID(v quarantine.Verdict) string {
	for _, id := range g.j.Call.SharedPromptParts {
		if v.Part != 0 && quarantine.PartOf(id) == v.Part {
			return id
		}
	}
	return ""
}

// The reasons of refusals because of crashes.
const (
	reasonQuarantined     = "quarantined"
	reasonOnTrial         = "on_trial"
	reasonPartQuarantined = "prompt_part_quarantined"
	reasonPartOnTrial     = "prompt_part_on_trial"
)

// reasonOf returns the reason of a refusal: that of a content, or that of a part if the verdict is
// about one.
func reasonOf(v quarantine.Verdict, content, part string) string {
	if v.Part != 0 {
		return part
	}
	return content
}

// admit reports whether the request may be sent to an upstream now, and first obtains a trial if
// its content or a part of its prompt is suspect. The error is an *Error; outcome is the outcome to
// report for a request that is not sent. The deadline is checked here because it may have passed
// while this instance was paused.
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
	v := g.verdict()
	subject := g.subjectOf(v)
	switch {
	case v.Standing == quarantine.Quarantined:
		return g.refuse(outcome, reasonOf(v, reasonQuarantined, reasonPartQuarantined), v, v.Remaining)
	case v.Standing == quarantine.Clear || g.releaseTrial != nil && g.trialSubject == subject && clock.Now().Before(g.trialExpires):
		return nil
	}
	g.endTrial()
	duration := min(quarantine.MaxTrialTime, clock.Until(g.j.Deadline))
	g.trialExpires = clock.Now().Add(duration)
	end, ok := g.c.o.Trials.Begin(ctx, subject, duration)
	// Whoever granted or denied the trial may have had newer crash records.
	if newer := g.verdict(); newer.Standing == quarantine.Quarantined {
		if ok {
			end()
		}
		return g.refuse(outcome, reasonOf(newer, reasonQuarantined, reasonPartQuarantined), newer, newer.Remaining)
	}
	if !ok {
		return g.refuse(outcome, reasonOf(v, reasonOnTrial, reasonPartOnTrial), v, trialRetryAfter)
	}
	g.releaseTrial, g.trialSubject, g.sharesTrial = end, subject, false
	g.c.o.Count("trial")
	g.log.Info("trial", "content", g.j.Content.String(), "part", g.partID(v), "part_hash", v.Part.String(), "crashes", v.Crashes, "early", v.Early, "upstreams", v.Upstreams)
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
	g.log.Info("refused", "reason", reason, "content", g.j.Content.String(), "part", g.partID(v), "part_hash", v.Part.String(), "crashes", v.Crashes, "early", v.Early,
		"upstreams", v.Upstreams, "left_ms", v.Remaining.Milliseconds())
	return &Error{Outcome: outcome, Reason: reason, RetryAfter: retry}
}

// onTrial reports whether the request is on trial.
func (g *crashGuard) onTrial() bool { return g.releaseTrial != nil }

// recordProgress records that the number of events which the request has produced at an upstream rose
// from before to now, and ends the trial once its subject is cleared by that.
func (g *crashGuard) recordProgress(before, now int) {
	if before < beginningEvents && now >= beginningEvents {
		g.recordBegun()
	}
	if g.releaseTrial == nil {
		return
	}
	g.c.o.Register.Clear(g.j.Content, now, false)
	if g.verdict().Standing == quarantine.Clear {
		g.log.Info("trial passed", "content", g.j.Content.String(), "made", now)
		g.endTrial()
	}
}

// recordBegun records that an upstream has begun to answer the prompt, which acquits its parts.
func (g *crashGuard) recordBegun() {
	if g.c.o.Register.AnswerBegun(clock.Now(), g.parts) {
		g.c.o.NotifyPeers()
	}
}

// recordCompletion records that the request ran to completion, which clears its content and the
// parts of its prompt.
func (g *crashGuard) recordCompletion() {
	g.c.o.Register.Clear(g.j.Content, 0, true)
	g.recordBegun()
}

// share returns the guard of another run of the same request, which is covered by the trial of this
// one.
func (g *crashGuard) share() crashGuard {
	other := *g
	if other.releaseTrial != nil {
		other.releaseTrial = func() {}
		other.sharesTrial = true
	}
	return other
}

// adopt takes over the trial of a guard that share has returned, if that has one of its own.
func (g *crashGuard) adopt(other *crashGuard) {
	if other.releaseTrial == nil || other.sharesTrial {
		return
	}
	g.endTrial()
	g.releaseTrial, g.trialSubject, g.trialExpires = other.releaseTrial, other.trialSubject, other.trialExpires
	other.releaseTrial = nil
}

// endTrial ends the trial if one is running.
func (g *crashGuard) endTrial() {
	if g.releaseTrial != nil {
		g.releaseTrial()
		g.releaseTrial, g.sharesTrial = nil, false
	}
}
