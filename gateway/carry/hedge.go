package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

const (
	// attemptShare is the share of the remaining time after which a repeatable request is also sent to
	// another upstream.
	attemptShare = 0.45
	// cancelTime is how long to wait for attempts that were canceled. They end as soon as their
	// connections are closed.
	cancelTime = 50 * time.Millisecond
)

// plainAttempt is an attempt to have an upstream, or a peer, serve a plain request.
type plainAttempt struct {
	// upstream is unset if the request was sent to a peer.
	upstream dialect.Upstream
	relayed  bool
	number   int
	start    time.Time
	cancel   context.CancelFunc
	// result is set when the attempt has ended. memory accounts for its response.
	result *attempt
	memory *memory.Account
	// crashRecorded means that the upstream was found to have crashed while the attempt ran.
	crashRecorded bool
	// failureRecorded means that the upstream's silence was recorded as a failure.
	failureRecorded bool
}

// plainAttempts are the running attempts of a request. An attempt is kept while another one is made,
// because its upstream may only be slow. The first complete response is the request's.
type plainAttempts struct {
	// running is owned by the goroutine of the request.
	running []*plainAttempt
	// ended receives attempts that have ended, unless the request has ended before.
	ended chan *plainAttempt
	// done is closed when the request has ended.
	done chan struct{}
	once sync.Once
	// goroutines tracks the attempts, which may outlast the request for the time that canceling takes.
	goroutines *sync.WaitGroup
}

func newPlainAttempts(goroutines *sync.WaitGroup) *plainAttempts {
	return &plainAttempts{ended: make(chan *plainAttempt), done: make(chan struct{}), goroutines: goroutines}
}

// start runs an attempt.
func (p *plainAttempts) start(a *plainAttempt, run func()) {
	p.running = append(p.running, a)
	p.goroutines.Go(func() {
		defer a.cancel()
		run()
		select {
		case p.ended <- a:
		case <-p.done:
			a.memory.Close()
		}
	})
}

// remove removes an attempt that has ended.
func (p *plainAttempts) remove(a *plainAttempt) {
	p.running = slices.DeleteFunc(p.running, func(o *plainAttempt) bool { return o == a })
}

// cancel cancels the running attempts.
func (p *plainAttempts) cancel() {
	for _, a := range p.running {
		a.cancel()
	}
}

// close cancels the running attempts and discards their results.
func (p *plainAttempts) close() {
	p.cancel()
	p.once.Do(func() { close(p.done) })
}

// start makes an attempt at an upstream.
func (p *plainRequest) start(ctx context.Context, t schedule.Ticket) {
	a := &plainAttempt{upstream: t.Upstream, number: len(p.tried), start: clock.Now(), memory: p.j.Memory.Fork()}
	ctx, a.cancel = context.WithTimeout(ctx, clock.Until(p.j.answerBy()))
	p.attempts.start(a, func() {
		defer p.c.o.Scheduler.Done(t)
		p.c.runPlainAttempt(ctx, p.j, a, p.log)
	})
}

// startAtPeer has a peer serve the request.
func (p *plainRequest) startAtPeer(ctx context.Context) {
	a := &plainAttempt{relayed: true, start: clock.Now(), memory: p.j.Memory.Fork()}
	ctx, a.cancel = context.WithTimeout(ctx, clock.Until(p.j.answerBy()))
	runs := p.runs + len(p.attempts.running)
	p.attempts.start(a, func() {
		response, err := p.c.relayPlain(ctx, p.j, runs, a.memory, p.log)
		a.result = &attempt{response: response, verdict: relayedVerdict(response), err: err}
	})
}

// relayedVerdict returns the verdict on the response of a peer, which may be an upstream's own failure.
func relayedVerdict(r *Response) dialect.Verdict {
	if r != nil && r.Status >= http.StatusInternalServerError {
		return dialect.Failure
	}
	return dialect.Success
}

// runPlainAttempt makes an attempt and records its result.
func (c *Forwarder) runPlainAttempt(ctx context.Context, j *Job, a *plainAttempt, log *slog.Logger) {
	ctx, _, end := c.inFlight.track(ctx, a.upstream)
	defer end()
	a.result = c.exchange(ctx, j, a)
	took := clock.Since(a.start)
	a.result.cause = a.result.err
	if silent := unresponsiveCause(ctx); silent != nil {
		a.result.cause = silent
	}
	c.recordAttempt(a.upstream, a.result, took, log)
	log.Info("attempt", "upstream", a.upstream.ID, "number", a.number, "verdict", a.result.verdict.String(), "framing", string(a.result.framing),
		"took_ms", took.Milliseconds(), "left_ms", clock.Until(j.Deadline).Milliseconds(), "error", logs.ErrorText(a.result.err))
}

// exchange sends a plain request and reads the complete response.
func (c *Forwarder) exchange(ctx context.Context, j *Job, a *plainAttempt) *attempt {
	resp, verdict, err := c.o.Dialect.Do(ctx, j.Call, dialect.Send{
		To: a.upstream, Deadline: j.answerBy().Add(-deadlineMargin),
	})
	if err != nil {
		return &attempt{err: err}
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, j, a.upstream, resp, verdict, a.memory)
}

// await waits for the running attempts. It returns the first one that succeeded, or the last one if none
// did. While an upstream is silent it makes another attempt if that is allowed. It returns nil if ctx
// ends before.
func (p *plainRequest) await(ctx context.Context) *plainAttempt {
	patience := time.NewTimer(p.patience())
	defer patience.Stop()
	var prepared <-chan secondAttempt
	for {
		select {
		case a := <-p.attempts.ended:
			if p.finished(a) {
				return a
			}
			// Another upstream is still silent, and this one has failed.
			if prepared == nil {
				prepared = p.prepareSecond(ctx, false)
			}
		case <-patience.C:
			if prepared == nil {
				prepared = p.prepareSecond(ctx, true)
			}
		case next := <-prepared:
			prepared = nil
			p.startSecond(ctx, next)
			patience.Reset(p.patience())
		case <-ctx.Done():
			return p.awaitCanceled()
		}
	}
}

// patience returns how long to wait for the running attempts before another one is made.
func (p *plainRequest) patience() time.Duration {
	return time.Duration(attemptShare * float64(clock.Until(p.j.Deadline)))
}

// finished processes an attempt that has ended, and reports whether it is the request's result.
func (p *plainRequest) finished(a *plainAttempt) bool {
	p.attempts.remove(a)
	p.keepMemory(a)
	if a.succeeded() {
		p.recordOvertaken()
		return true
	}
	last := len(p.attempts.running) == 0
	if a.relayed {
		if a.result.err == nil {
			p.failure = a.result.response
		}
		if a.result.err == nil || mayHaveRun(a.result.err) {
			p.runs++
		}
		return last
	}
	p.countFailure(a.result)
	if a.result.err != nil && a.result.evidence() == kernel.Ambiguous && !a.crashRecorded {
		i := p.interruptionOf(a)
		i.cause = a.result.cause
		if last {
			p.crashGuard.handleInterruption(i)
		} else {
			p.crashGuard.startCheck(i)
		}
	}
	return last
}

// keepMemory has the request account for the response of an attempt, and releases what one without a response holds.
func (p *plainRequest) keepMemory(a *plainAttempt) {
	if a.result.response == nil {
		a.memory.Close()
		return
	}
	p.j.Memory.Merge(a.memory)
}

// succeeded reports whether an attempt that has ended brought a response.
func (a *plainAttempt) succeeded() bool {
	return a.result.err == nil && a.result.verdict == dialect.Success
}

// interruptionOf describes an attempt without a response, which may still be running.
func (p *plainRequest) interruptionOf(a *plainAttempt) interruption {
	return interruption{upstream: a.upstream, sentAt: a.start, wasAlive: p.c.o.Scheduler.AnsweredSince(a.upstream, a.start)}
}

// recordOvertaken checks the upstreams of attempts that are still running when another one has succeeded.
func (p *plainRequest) recordOvertaken() {
	for _, a := range p.attempts.running {
		if !a.relayed && !a.crashRecorded {
			p.crashGuard.startCheck(p.interruptionOf(a))
		}
	}
}

// awaitCanceled waits for attempts that were canceled because the request's context has ended, to learn
// whether they can have run. It returns one that has succeeded all the same, or nil.
func (p *plainRequest) awaitCanceled() *plainAttempt {
	timer := time.NewTimer(cancelTime)
	defer timer.Stop()
	for len(p.attempts.running) > 0 {
		select {
		case a := <-p.attempts.ended:
			p.attempts.remove(a)
			p.keepMemory(a)
			if a.succeeded() {
				return a
			}
			switch {
			case !a.relayed:
				p.countFailure(a.result)
			case mayHaveRun(a.result.err):
				p.runs++
			}
		case <-timer.C:
			p.runs += len(p.attempts.running)
			return nil
		}
	}
	return nil
}

// mayHaveRun reports whether the error of a relayed request leaves open whether it ran.
func mayHaveRun(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.Outcome != NotRun
}

// mayTryElsewhere reports whether another attempt is allowed beside the running ones.
func (p *plainRequest) mayTryElsewhere() bool {
	return len(p.attempts.running) > 0 && p.j.Route.Repeatable() && p.runs+len(p.attempts.running) < p.j.Route.MaxAttempts && p.rejections <= maxRejections &&
		clock.Until(p.j.answerBy()) >= minAttemptTime
}

// secondAttempt is an attempt that is ready to be made beside the running ones.
type secondAttempt struct {
	// placed means that ticket is a placement at an upstream, relayed that a peer is asked. If neither is
	// set, no attempt is made.
	placed, relayed bool
	ticket          schedule.Ticket
	// guard holds the trial that was obtained for the attempt.
	guard crashGuard
	// crashed is the running attempt whose upstream was found to have crashed, nil if none was.
	crashed *plainAttempt
}

// prepareSecond prepares another attempt beside the running ones, without holding up their results. With
// check it first checks whether the upstream of the last one has crashed. It returns nil if no other
// attempt is allowed.
func (p *plainRequest) prepareSecond(ctx context.Context, check bool) <-chan secondAttempt {
	if !p.mayTryElsewhere() {
		return nil
	}
	last := p.attempts.running[len(p.attempts.running)-1]
	if check && last.relayed {
		return nil
	}
	if check && !last.failureRecorded {
		last.failureRecorded = true
		p.c.recordFailure(last.upstream, schedule.Hard, context.DeadlineExceeded, clock.Since(last.start), p.log)
	}
	lost, tried, guard := p.interruptionOf(last), slices.Clone(p.tried), p.crashGuard.share()
	prepared, done := make(chan secondAttempt), p.attempts.done
	p.c.cleanup.Go(func() {
		next := secondAttempt{guard: guard}
		if check && p.c.checkState(last.upstream) == stateCrashed {
			next.crashed = last
			next.guard.recordInterruption(lost)
		}
		next.place(ctx, tried)
		select {
		case prepared <- next:
		case <-done:
			next.discard()
		}
	})
	return prepared
}

// place asks for permission and for an upstream, or decides to ask a peer. tried are the upstreams that have
// the request already.
func (n *secondAttempt) place(ctx context.Context, tried []ident.UpstreamID) {
	c, j, log := n.guard.c, n.guard.j, n.guard.log
	if n.guard.admit(ctx, Unknown) != nil {
		return
	}
	if c.o.Relay.Needed(j.Service.Name) {
		n.relayed = !j.Relayed && c.mayResend(j.Service.Name, 1, false, log)
		return
	}
	t, ok := c.placePlain(ctx, j, tried, log)
	if !ok {
		return
	}
	if !c.mayResend(j.Service.Name, 1, false, log) {
		c.o.Scheduler.Done(t)
		return
	}
	n.ticket, n.placed = t, true
	// Crash records may have arrived while the request waited for its upstream.
	if n.guard.admit(ctx, Unknown) != nil {
		n.discard()
	}
}

// discard gives back what was obtained for an attempt that is not made.
func (n *secondAttempt) discard() {
	c, j := n.guard.c, n.guard.j
	if n.placed {
		c.o.Scheduler.Done(n.ticket)
	}
	if n.placed || n.relayed {
		c.o.Budget.Return(clock.Now(), j.Service.Name, 1)
	}
	n.guard.endTrial()
	n.placed, n.relayed = false, false
}

// startSecond makes an attempt that was prepared, if it is still allowed.
func (p *plainRequest) startSecond(ctx context.Context, next secondAttempt) {
	if next.crashed != nil {
		next.crashed.crashRecorded = true
	}
	if !p.mayTryElsewhere() {
		next.discard()
		return
	}
	p.crashGuard.adopt(&next.guard)
	switch {
	case next.relayed:
		p.startAtPeer(ctx)
	case next.placed:
		p.c.o.Count("sent_beside_silent_upstream")
		p.tried = append(p.tried, next.ticket.Upstream.ID)
		p.start(ctx, next.ticket)
	}
}
