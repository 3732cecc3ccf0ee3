package carry

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
)

// trialRetry is when a caller may come back whose content is on trial by another attempt:
// a crash shows within the first event, so within a latency objective of about a second.
const trialRetry = time.Second

// Trials allow attempts with suspect contents, one at a time over all instances.
type Trials interface {
	// Begin asks for an attempt that is over after the given time at the latest, and
	// reports whether it is allowed. Its end must be told, after what it showed was taken
	// into the register.
	Begin(ctx context.Context, c quarantine.Content, lasts time.Duration) (end func(), ok bool)
}

// caution keeps a request from upstreams if its content has crashed others.
type caution struct {
	c   *Carrier
	j   *Job
	log *slog.Logger
	// end ends the trial of a suspect content; nil while there is none.
	end func()
	// crashed means that an upstream crashed under this very request before it had
	// produced anything there.
	crashed bool
}

// admit reports whether the request may be sent to an upstream now; one whose content is
// suspect gets a trial first. The error is an *Error of the given fate.
func (a *caution) admit(ctx context.Context, fate Fate) error {
	v := a.c.o.Register.Verdict(time.Now(), a.j.Content)
	switch {
	case v.Standing == quarantine.Quarantined:
		return a.refuse(fate, "quarantined", v, v.Left)
	case v.Standing == quarantine.Clear || a.end != nil:
		return nil
	}
	end, ok := a.c.o.Trials.Begin(ctx, a.j.Content, time.Until(a.j.Deadline))
	if !ok {
		return a.refuse(fate, "on_trial", v, trialRetry)
	}
	a.end = end
	// Whoever allowed it may have known more.
	if v := a.c.o.Register.Verdict(time.Now(), a.j.Content); v.Standing == quarantine.Quarantined {
		return a.refuse(fate, "quarantined", v, v.Left)
	}
	a.c.o.Count("trial")
	a.log.Info("trial", "content", a.j.Content.String(), "crashes", v.Crashes, "early", v.Early, "upstreams", v.Upstreams)
	return nil
}

// refuse refuses the request, and says by what evidence.
func (a *caution) refuse(fate Fate, reason string, v quarantine.Verdict, retry time.Duration) error {
	a.c.o.Count("refused_" + reason)
	a.log.Info("refused", "reason", reason, "content", a.j.Content.String(), "crashes", v.Crashes, "early", v.Early,
		"upstreams", v.Upstreams, "left_ms", v.Left.Milliseconds())
	return &Error{Fate: fate, Reason: reason, RetryAfter: retry}
}

// suspect reports whether the request is on trial.
func (a *caution) suspect() bool { return a.end != nil }

// progressed takes in that the request has brought so many events from an upstream.
func (a *caution) progressed(made int) {
	if a.end == nil {
		return
	}
	a.c.o.Register.Clear(a.j.Content, made, false)
	if a.c.o.Register.Verdict(time.Now(), a.j.Content).Standing == quarantine.Clear {
		a.log.Info("trial passed", "content", a.j.Content.String(), "made", made)
		a.done()
	}
}

// ended takes in that the request ran to a good end.
func (a *caution) ended() { a.c.o.Register.Clear(a.j.Content, 0, true) }

// done ends the trial, if there is one.
func (a *caution) done() {
	if a.end != nil {
		a.end()
		a.end = nil
	}
}
