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

// ending is what became of an upstream at which an attempt broke off.
type ending string

// The endings, as logs name them.
const (
	// endedUnknown upstreams don't answer: they may have crashed, or be out of reach.
	endedUnknown ending = "unknown"
	// endedCrashed upstreams refuse connections, or another incarnation answers.
	endedCrashed ending = "crashed"
	// endedAlive upstreams answer: only the connection or the answer broke.
	endedAlive ending = "alive"
	// endedPlanned upstreams had said that they leave, or had left the list, before they
	// refused connections.
	endedPlanned ending = "planned"
)

const (
	// examineTimeout bounds the question; upstreams answer it in a few ms however busy.
	examineTimeout = 200 * time.Millisecond
	// examinedFor is how long an answer serves for other attempts at the same upstream: a
	// crash breaks some dozen off at once.
	examinedFor = time.Second
	// silentAfter is how long an engine must have sent nothing for the leaving of its caller
	// to say something of it: events come each 40 to 300 ms.
	silentAfter = time.Second
	// mostExamined bounds the answers that are remembered.
	mostExamined = 256
)

// examinations remembers what became of upstreams at which attempts broke off. Those who
// ask at the same time share one question.
type examinations struct {
	mu   sync.Mutex
	last map[examined]*examination
}

// examined names an incarnation of an upstream.
type examined struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
}

// examination is one question and its answer.
type examination struct {
	once   sync.Once
	at     time.Time
	ending ending
}

// of returns the examination of an upstream that is still of use, or a new one.
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

// examine finds out what became of an upstream at which an attempt broke off.
func (c *Carrier) examine(u dialect.Upstream) ending {
	x := c.examinations.of(clock.Now(), u)
	x.once.Do(func() { x.ending = c.askEnding(u) })
	return x.ending
}

// askEnding asks an upstream whether it lives.
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

// endingOf says what the error of a question to an upstream means.
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

// lost takes in that an attempt of a request, sent at start, broke off at an upstream after
// so many events from there, and finds out whether that crashed. begun means that the
// upstream had answered with the head of a response.
func (a *caution) lost(u dialect.Upstream, start time.Time, begun bool, made int, cause error) {
	if a.weigh(u, begun || a.c.o.Books.AnsweredSince(u, start), made, cause) == endedCrashed && made == 0 {
		a.crashed = true
	}
}

// abandoned takes in that the caller left while an upstream sent nothing.
func (a *caution) abandoned(u dialect.Upstream, made int) {
	// The request has ended, its parts are not touched any more.
	own := caution{c: a.c, j: a.j, log: a.log}
	a.c.cleanup.Go(func() { own.weigh(u, true, made, &AbandonedError{}) })
}

// weigh finds out what became of an upstream at which an attempt broke off, and takes a
// crash into the register. One that fell silent without a sign of life since the request was
// sent may have been gone before.
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

// planned reports whether an upstream had said that it leaves, or had left the list while
// nobody took its place: its end is no crash.
func (c *Carrier) planned(u dialect.Upstream) bool {
	list := c.o.View().Upstreams[u.Service]
	for _, o := range list {
		if o.ID == u.ID {
			return o.Leaving
		}
	}
	return !replacedIn(list, u)
}

// endingBy finds out what became of an upstream at which an attempt broke off for a cause;
// if that is the upstream's silence, it was asked already.
func (c *Carrier) endingBy(u dialect.Upstream, cause error) ending {
	var silent *SilentError
	if errors.As(cause, &silent) {
		return endingOf(silent.Err)
	}
	return c.examine(u)
}

// crashed takes the evidence of a crash into the register, and has the other instances
// told: each of them may be sent the same content at any moment.
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
