package carry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

// ending is the state in which an upstream was found after an attempt there was interrupted.
type ending string

// The states, as they appear in logs.
const (
	// endedUnknown means that the upstream does not answer: it may have crashed or be
	// unreachable.
	endedUnknown ending = "unknown"
	// endedCrashed means that the upstream refuses connections, or that another incarnation
	// answers.
	endedCrashed ending = "crashed"
	// endedAlive means that the upstream answers; only the connection or the response was
	// interrupted.
	endedAlive ending = "alive"
	// endedPlanned means that the upstream refuses connections after it had announced its
	// shutdown or had been removed from the list.
	endedPlanned ending = "planned"
)

const (
	// examineTimeout limits a liveness check. Upstreams answer one in a few ms, however busy
	// they are.
	examineTimeout = 200 * time.Millisecond
	// examinedFor is how long the result of a liveness check is reused for other attempts at the
	// same upstream. A crash interrupts a dozen or more attempts at once.
	examinedFor = time.Second
	// silentAfter is how long an engine must have sent nothing for a caller's disconnect to be
	// taken as a sign that the engine may have failed. Events normally arrive every 40 to 300
	// ms.
	silentAfter = time.Second
	// mostExamined limits the number of results that are kept.
	mostExamined = 256
)

// examinations caches the results of liveness checks of upstreams whose attempts were
// interrupted. Concurrent requests for the same upstream share one check.
type examinations struct {
	mu   sync.Mutex
	last map[examined]*examination
}

// examined identifies an incarnation of an upstream.
type examined struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
}

// examination is one liveness check and its result.
type examination struct {
	once   sync.Once
	at     time.Time
	ending ending
}

// of returns the check of an upstream that is still valid at now, or a new one.
func (e *examinations) of(now time.Time, u dialect.Upstream) *examination {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil || len(e.last) >= mostExamined {
		e.last = map[examined]*examination{}
	}
	key := examined{u.ID, u.Incarnation}
	x := e.last[key]
	if x == nil || now.Sub(x.at) >= examinedFor {
		x = &examination{at: now}
		e.last[key] = x
	}
	return x
}

// examine checks the state of an upstream after an attempt there was interrupted.
func (c *Carrier) examine(u dialect.Upstream) ending {
	x := c.examinations.of(clock.Now(), u)
	x.once.Do(func() { x.ending = c.askEnding(u) })
	return x.ending
}

// askEnding sends the liveness check to an upstream.
func (c *Carrier) askEnding(u dialect.Upstream) ending {
	ctx, cancel := context.WithTimeout(context.Background(), examineTimeout)
	defer cancel()
	if u.Stage == "" {
		return endingOf(c.o.Dialect.Reach(ctx, u))
	}
	r, err := c.o.Dialect.Report(ctx, u)
	if err == nil && !c.Reported(u, r) {
		return endedCrashed
	}
	return endingOf(err)
}

// endingOf derives the state of an upstream from the error of a liveness check.
func endingOf(err error) ending {
	var replaced *dialect.ReplacedError
	switch {
	case err == nil:
		return endedAlive
	case errors.As(err, &replaced), Unreached(err) == schedule.Closed:
		return endedCrashed
	default:
		return endedUnknown
	}
}

// lost handles an attempt that was sent at start and interrupted after the given number of
// events, and checks whether the upstream crashed. begun means that the upstream had sent a
// response head.
func (a *caution) lost(u dialect.Upstream, start time.Time, begun bool, made int, cause error) {
	if a.weigh(u, begun || a.c.o.Books.AnsweredSince(u, start), made, cause) == endedCrashed && made == 0 {
		a.crashed = true
	}
}

// abandoned checks an upstream that was sending nothing when the caller disconnected.
func (a *caution) abandoned(u dialect.Upstream, made int) {
	// The check runs after the request has ended, so it uses a copy that the request does not
	// modify.
	own := caution{c: a.c, j: a.j, log: a.log}
	a.c.cleanup.Go(func() { own.weigh(u, true, made, &AbandonedError{}) })
}

// weigh determines the state of an upstream after an attempt there was interrupted, logs it and
// records a crash in the register. lived means that the upstream showed a sign of life after the
// request was sent. Without one, an upstream that does not answer may have been gone before the
// request, and the attempt is not kept as possible evidence.
func (a *caution) weigh(u dialect.Upstream, lived bool, made int, cause error) ending {
	e := a.c.endingBy(u, cause)
	if e == endedCrashed && a.c.planned(u) {
		e = endedPlanned
	}
	a.c.o.Count("attempt_lost_" + string(e))
	a.log.Warn("attempt lost", "upstream", u.ID, "incarnation", u.Incarnation, "address", u.Address, "content", a.j.Content.String(),
		"made", made, "lived", lived, "ending", string(e), "error", logs.ErrorText(cause))
	switch {
	case e == endedCrashed:
		a.c.crashed(a.j.Content, u, made)
	case e == endedUnknown && lived:
		a.c.undecided.add(clock.Now(), a.j.Content, u, made)
	}
	return e
}

// planned reports whether an upstream had announced its shutdown, or was removed from the list
// without being replaced. In both cases its end is not a crash.
func (c *Carrier) planned(u dialect.Upstream) bool {
	list := c.o.View().Upstreams[u.Service]
	for _, o := range list {
		if o.ID == u.ID {
			return o.Leaving
		}
	}
	return !replacedIn(list, u)
}

// endingBy determines the state of an upstream after an attempt was interrupted by cause. If
// cause is a *SilentError, the upstream was checked already.
func (c *Carrier) endingBy(u dialect.Upstream, cause error) ending {
	var silent *SilentError
	if errors.As(cause, &silent) {
		return endingOf(silent.Err)
	}
	return c.examine(u)
}

// crashed records evidence of a crash in the register and has it sent to the other instances,
// because each of them may receive the same content at any moment.
func (c *Carrier) crashed(content quarantine.Content, u dialect.Upstream, made int) {
	now := clock.Now()
	if !c.o.Register.Crashed(now, content, u, made) {
		return
	}
	if v := c.o.Register.Verdict(now, content); v.Standing == quarantine.Quarantined {
		c.o.Count("quarantined")
		c.o.Log.Warn("content quarantined", "content", content.String(), "crashes", v.Crashes, "early", v.Early,
			"upstreams", v.Upstreams, "left_ms", v.Left.Milliseconds())
	}
	c.o.Spread()
}
