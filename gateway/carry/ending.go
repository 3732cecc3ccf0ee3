package carry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// upstreamState is the state in which an upstream was found after an attempt there was
// interrupted.
type upstreamState string

// The states, as they appear in logs.
const (
	// stateUnknown means that the upstream does not answer: it may have crashed or be
	// unreachable.
	stateUnknown upstreamState = "unknown"
	// stateCrashed means that the upstream refuses connections while another one accepts them, or
	// that another incarnation answers.
	stateCrashed upstreamState = "crashed"
	// stateAlive means that the upstream answers; only the connection or the response was
	// interrupted.
	stateAlive upstreamState = "alive"
	// stateShutDown means that the upstream refuses connections after it had announced its
	// shutdown or had been removed from the list.
	stateShutDown upstreamState = "planned"
)

const (
	// stateCheckTimeout limits a liveness check. Upstreams answer one in a few ms, however busy
	// they are.
	stateCheckTimeout = 200 * time.Millisecond
	// stateCheckInterval is the time between two requests of a liveness check. A process that is
	// ending closes its connections and its listening socket within a few ms of each other.
	stateCheckInterval = 20 * time.Millisecond
	// stateCheckTTL is how long the result of a liveness check is reused for other attempts at
	// the same upstream. A crash interrupts a dozen or more attempts at once.
	stateCheckTTL = time.Second
	// unresponsiveAfter is how long an engine must have sent nothing for a caller's disconnect
	// to be taken as a sign that the engine may have failed. Events normally arrive every 40 to
	// 300 ms.
	unresponsiveAfter = time.Second
	// maxStateChecks limits the number of results that are kept.
	maxStateChecks = 256
)

// stateChecks caches the results of liveness checks of upstreams whose attempts were
// interrupted. Concurrent requests for the same upstream share one check.
type stateChecks struct {
	mu     sync.Mutex
	checks map[incarnationKey]*stateCheck
}

// incarnationKey identifies an incarnation of an upstream.
type incarnationKey struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
}

// stateCheck is one liveness check and its result.
type stateCheck struct {
	once  sync.Once
	at    time.Time
	state upstreamState
}

// of returns the check of an upstream that is still valid at now, or a new one.
func (e *stateChecks) of(now time.Time, u dialect.Upstream) *stateCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks == nil || len(e.checks) >= maxStateChecks {
		e.checks = map[incarnationKey]*stateCheck{}
	}
	key := incarnationKey{u.ID, u.Incarnation}
	check := e.checks[key]
	if check == nil || now.Sub(check.at) >= stateCheckTTL {
		check = &stateCheck{at: now}
		e.checks[key] = check
	}
	return check
}

// checkState checks the state of an upstream after an attempt there was interrupted.
func (c *Forwarder) checkState(u dialect.Upstream) upstreamState {
	check := c.stateChecks.of(clock.Now(), u)
	check.once.Do(func() { check.state = c.queryState(u) })
	return check.state
}

// queryState sends the liveness check to an upstream. It repeats a request whose connection breaks, as
// the connections to a process do while that is ending. Once it has ended it refuses new ones.
func (c *Forwarder) queryState(u dialect.Upstream) upstreamState {
	ctx, cancel := context.WithTimeout(context.Background(), stateCheckTimeout)
	defer cancel()
	for {
		state, err := c.queryStateOnce(ctx, u)
		if state != stateUnknown || !connectionBroke(err) || !pause.For(ctx, stateCheckInterval) {
			return state
		}
	}
}

// queryStateOnce sends one request of a liveness check. It returns the error of that as well.
func (c *Forwarder) queryStateOnce(ctx context.Context, u dialect.Upstream) (upstreamState, error) {
	if u.Stage == "" {
		err := c.o.Dialect.CheckReachable(ctx, u)
		return c.stateFromError(u, err), err
	}
	r, err := c.o.Dialect.Report(ctx, u)
	if err == nil && !c.ObserveReport(u, r) {
		return stateCrashed, nil
	}
	return c.stateFromError(u, err), err
}

// stateFromError derives the state of an upstream from the error of a liveness check. A refused
// connection may be the fault of the network path, unless another upstream accepts one.
func (c *Forwarder) stateFromError(u dialect.Upstream, err error) upstreamState {
	var replaced *dialect.ReplacedError
	var status *dialect.StatusError
	switch {
	case err == nil:
		return stateAlive
	case errors.As(err, &replaced), ClassifyUnreachable(err) == schedule.Closed && c.o.PathWorks(u):
		return stateCrashed
	case errors.As(err, &status):
		// A process that rejects the check runs.
		return stateAlive
	default:
		return stateUnknown
	}
}

// connectionBroke reports whether a request failed because its connection was reset or closed.
func connectionBroke(err error) bool {
	return adapter.AsCallError(err).Code == kernel.FailureBroken ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// interruption is an attempt that was interrupted.
type interruption struct {
	upstream dialect.Upstream
	// sentAt is when the attempt was sent.
	sentAt time.Time
	// wasAlive means that the upstream showed a sign of life after that. Without one, an upstream
	// that does not answer may have been gone before the attempt, which is then not kept as a
	// possible crash.
	wasAlive bool
	// eventCount is the number of events that arrived in the attempt.
	eventCount int
	// begunBefore means that the answer had begun in an earlier attempt.
	begunBefore bool
	cause       error
}

// crashedAttempt returns the record of an interrupted attempt whose upstream crashed.
func (g *crashGuard) crashedAttempt(i interruption, brokenAt time.Time) quarantine.Attempt {
	a := quarantine.Attempt{Content: g.j.Content, Upstream: i.upstream, Events: i.eventCount, SentAt: i.sentAt, BrokenAt: brokenAt}
	if i.eventCount < beginningEvents && !i.begunBefore {
		a.Parts = g.parts
	}
	return a
}

// handleInterruption checks whether the upstream of an interrupted attempt crashed.
func (g *crashGuard) handleInterruption(i interruption) {
	if g.awaitCheck(i) == stateCrashed && i.eventCount == 0 {
		g.crashedEarly = true
	}
}

// awaitCheck checks an upstream after an attempt there was interrupted. It waits for the result, because
// the record of a crash may forbid another attempt, but no longer than the caller can still be answered.
// The check goes on then, and the result is stateUnknown.
func (g *crashGuard) awaitCheck(i interruption) upstreamState {
	timer := time.NewTimer(clock.Until(g.j.answerBy()))
	defer timer.Stop()
	select {
	case state := <-g.startCheck(i):
		return state
	case <-timer.C:
		return stateUnknown
	}
}

// startCheck checks an upstream after an attempt there has ended and records the result. The returned
// channel receives the state of the upstream.
func (g *crashGuard) startCheck(i interruption) <-chan upstreamState {
	// The check may outlast the request, so it uses a copy that the request does not modify.
	copied := g.c.newCrashGuard(g.j, g.log)
	result := make(chan upstreamState, 1)
	g.c.cleanup.Go(func() { result <- copied.recordInterruption(i) })
	return result
}

// recordInterruption determines the state of an upstream after an attempt there was interrupted,
// logs it and records a crash in the register.
func (g *crashGuard) recordInterruption(i interruption) upstreamState {
	u := i.upstream
	a := g.crashedAttempt(i, clock.Now())
	e := g.c.stateAfter(u, i.cause)
	if e == stateCrashed && g.c.plannedShutdown(u) {
		e = stateShutDown
	}
	g.c.o.Count("attempt_lost_" + string(e))
	g.log.Warn("attempt lost", "upstream", u.ID, "incarnation", u.Incarnation, "address", u.Address, "content", g.j.Content.String(),
		"parts", g.j.Call.SharedPromptParts, "made", i.eventCount, "ran_ms", a.BrokenAt.Sub(a.SentAt).Milliseconds(), "lived", i.wasAlive, "ending", string(e), "error", logs.ErrorText(i.cause))
	switch {
	case e == stateCrashed:
		g.c.recordCrash(a)
	case e == stateUnknown && i.wasAlive:
		g.c.undecided.add(a)
		if len(a.Parts) > 1 {
			a.Silent = true
			g.c.recordCrash(a)
		}
	}
	return e
}

// plannedShutdown reports whether an upstream had announced its shutdown, or was removed from
// the list without being replaced. In both cases its end is not a crash.
func (c *Forwarder) plannedShutdown(u dialect.Upstream) bool {
	list := c.o.View().Upstreams[u.Service]
	for _, o := range list {
		if o.ID == u.ID {
			return o.Leaving
		}
	}
	return !replacedIn(list, u)
}

// stateAfter determines the state of an upstream after an attempt was interrupted by cause. If
// cause is an *UnresponsiveError, the upstream was checked already.
func (c *Forwarder) stateAfter(u dialect.Upstream, cause error) upstreamState {
	var silent *UnresponsiveError
	if errors.As(cause, &silent) {
		return c.stateFromError(u, silent.Err)
	}
	return c.checkState(u)
}

// recordCrash adds a crash record to the register and has it sent to the other instances,
// because each of them may receive the same content at any moment.
func (c *Forwarder) recordCrash(a quarantine.Attempt) {
	now := clock.Now()
	if !c.o.Register.Crashed(now, a) {
		return
	}
	if v := c.o.Register.PartsVerdict(now, a.Parts); v.Standing == quarantine.Quarantined {
		c.o.Count("prompt_part_quarantined")
		c.o.Log.Warn("prompt part quarantined", "service", a.Upstream.Service, "part_hash", v.Part.String(), "crashes", v.Crashes,
			"upstreams", v.Upstreams, "left_ms", v.Remaining.Milliseconds())
	}
	if v := c.o.Register.Verdict(now, a.Content); v.Standing == quarantine.Quarantined {
		c.o.Count("quarantined")
		c.o.Log.Warn("content quarantined", "content", a.Content.String(), "crashes", v.Crashes, "early", v.Early,
			"upstreams", v.Upstreams, "left_ms", v.Remaining.Milliseconds())
	}
	c.o.NotifyPeers()
}
