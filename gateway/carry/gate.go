package carry

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

// RateLimits enforces the rate limits that upstreams state over all instances.
type RateLimits interface {
	// TakeRequest reports whether a request may be sent to an upstream with the given limit, in
	// requests per second. If not, wait is the time until it should be asked again.
	TakeRequest(ctx context.Context, u dialect.Upstream, rate float64) (granted bool, wait time.Duration)
	// ChargeRequest reports a request that is sent in any case.
	ChargeRequest(ctx context.Context, u dialect.Upstream, rate float64)
}

// place calls pick until it returns a placement on an upstream that takes another request within
// its rate limit. Every placement is made through place; see TestPlacementsPassTheGate.
func (c *Forwarder) place(ctx context.Context, log *slog.Logger, pick func(now time.Time) (schedule.Ticket, bool)) (schedule.Ticket, bool) {
	for {
		t, ok := pick(clock.Now())
		if !ok {
			return t, false
		}
		rate, limited := c.o.Scheduler.RateLimit(t.Upstream)
		if !limited {
			return t, true
		}
		granted, wait := c.o.RateLimits.TakeRequest(ctx, t.Upstream, rate)
		if granted {
			return t, true
		}
		c.o.Scheduler.RecordLimitReached(clock.Now(), t.Upstream, wait)
		c.o.Scheduler.Done(t)
		c.o.Count("passed_over_rate_limit")
		log.Info("upstream passed over", "upstream", t.Upstream.ID, "reason", "rate_limit", "per_second", rate, "wait_ms", wait.Milliseconds())
		if ctx.Err() != nil {
			return t, false
		}
	}
}

// placePlain places a request of a plain service.
func (c *Forwarder) placePlain(ctx context.Context, j *Job, exclude []ident.UpstreamID, log *slog.Logger) (schedule.Ticket, bool) {
	return c.place(ctx, log, func(now time.Time) (schedule.Ticket, bool) {
		return c.o.Scheduler.PickService(now, c.eligible(j), j.Route.Repeatable(), exclude)
	})
}

// placeDecode places a stream on a decode engine.
func (s *stream) placeDecode(ctx context.Context, size schedule.Size, exclude []ident.UpstreamID) (schedule.Ticket, bool) {
	return s.c.place(ctx, s.log, func(now time.Time) (schedule.Ticket, bool) {
		for _, list := range s.candidates() {
			if t, ok := s.c.o.Scheduler.PlaceDecode(now, list, s.j.Service.Engine, size, exclude); ok {
				return t, true
			}
		}
		return schedule.Ticket{}, false
	})
}

// placePrefill places a prompt on a prefill engine. near is the zone of the decode engine. If all of
// them are held off, it waits as long as the prompt may wait for a busy engine.
func (s *stream) placePrefill(ctx context.Context, near ident.Zone, exclude []ident.UpstreamID) (schedule.Ticket, bool) {
	for waited := time.Duration(0); ; {
		t, ok := s.c.place(ctx, s.log, func(now time.Time) (schedule.Ticket, bool) {
			return s.c.o.Scheduler.PlacePrefill(now, s.eligible(), s.j.Call.PromptTokens, near, exclude)
		})
		if ok {
			return t, true
		}
		wait, reason := s.c.o.Scheduler.HeldOff(clock.Now(), s.eligible(), dialect.StagePrefill, exclude)
		if waited += wait; reason == "" || s.prefillBusy(waited) || !pause.For(ctx, wait) {
			return t, false
		}
	}
}

// chargeRateLimit charges a request that is sent in any case to the rate limit of its upstream.
func (c *Forwarder) chargeRateLimit(u dialect.Upstream) {
	rate, limited := c.o.Scheduler.RateLimit(u)
	if !limited {
		return
	}
	c.cleanup.Go(func() { c.o.RateLimits.ChargeRequest(context.Background(), u, rate) })
}

// refuseHeldOff logs the refusal of a request because all upstreams of a stage are held off for the
// given time, and returns its *Error.
func (c *Forwarder) refuseHeldOff(j *Job, stage dialect.Stage, wait time.Duration, reason schedule.HoldOff, outcome Outcome, log *slog.Logger) *Error {
	retry := c.o.Scheduler.HeldOffRetryAfter(clock.Now(), c.eligible(j), stage, wait)
	log.Info("refused", "reason", string(reason), "wait_ms", wait.Milliseconds(), "retry_ms", retry.Milliseconds())
	return &Error{Outcome: outcome, Reason: string(reason), RetryAfter: retry}
}
