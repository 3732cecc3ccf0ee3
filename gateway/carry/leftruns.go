package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// leftRunGrace is the time in which an engine may notice by itself that the connection of a run was closed.
	// Telling it to stop costs a copy of the run's KV cache.
	leftRunGrace = 100 * time.Millisecond
	// endRunTimeout limits one attempt to end a run, and endRunInterval is the time between two attempts.
	endRunTimeout  = 500 * time.Millisecond
	endRunInterval = 100 * time.Millisecond
	// maxRunsEndedAtOnce is the number of requests to end runs that are sent to one engine at once.
	maxRunsEndedAtOnce = 8
	// queuedRunTime is how long an engine may take to begin a request that it had received when its connection was
	// closed. It is asked every queuedRunInterval in that time.
	queuedRunTime     = 1500 * time.Millisecond
	queuedRunInterval = 250 * time.Millisecond
	// givenUpByPeerTime is how long the run of a stream that a peer has given up is ended. After that, the peer may
	// have begun to run the stream at the same engine; it reserves one and has the prompt computed before.
	givenUpByPeerTime = 50 * time.Millisecond
)

// leftRun is a run that a stream has given up. Closing its connection does not prove that it has ended: some engines
// do not notice, and one that is silent goes on later.
type leftRun struct {
	// request is the ID of the caller's attempt.
	request string
	at      dialect.Upstream
	// copyTo is the engine to which the KV cache is copied when the run is stopped, which engines require.
	copyTo dialect.Upstream
	// leftAt is when the stream gave the run up. The engine ends it by itself at deadline.
	leftAt, deadline time.Time
	// due is when the engine is asked next.
	due time.Time
	// queued means that the run had made no event, so that it may begin later, and answeredAt is when the engine
	// first said that it doesn't run, zero before.
	queued     bool
	answeredAt time.Time
	log        *slog.Logger
}

// leftRunEnd is how a run that was left has ended.
type leftRunEnd string

// The ends, as they appear in logs and counters.
const (
	// endPending means that the engine has not answered yet, endQueued that the request does not run, but may begin.
	endPending leftRunEnd = ""
	endQueued  leftRunEnd = "queued"
	// endDropped means that the engine did not run the request any more, endStopped that it did.
	endDropped leftRunEnd = "dropped"
	endStopped leftRunEnd = "stopped"
	// endGone means that the process of the engine has ended.
	endGone leftRunEnd = "gone"
	// endExpired means that the deadline passed before the engine answered.
	endExpired leftRunEnd = "expired"
	// endUnproven means that the engine can't be told to stop.
	endUnproven leftRunEnd = "unproven"
)

// leftRuns ends the runs that streams have given up. Requests to an engine that does not answer are sent one at a
// time. It is safe for concurrent use.
type leftRuns struct {
	c *Forwarder

	mu sync.Mutex
	// engines holds the runs at each engine. One goroutine ends them, which removes the engine when it ends.
	engines map[incarnationKey][]*leftRun
	// closed is closed when the instance stops, from when on runs are not waited for.
	closed    chan struct{}
	closeOnce sync.Once
}

func newLeftRuns(c *Forwarder) *leftRuns {
	return &leftRuns{c: c, engines: map[incarnationKey][]*leftRun{}, closed: make(chan struct{})}
}

// add has a run ended.
func (l *leftRuns) add(r *leftRun) {
	key := incarnationKey{r.at.ID, r.at.Incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	runs, working := l.engines[key]
	l.engines[key] = append(runs, r)
	if !working {
		l.c.cleanup.Go(func() { l.endRunsAt(key) })
	}
}

// pending returns the engines that may still run a request which was left there.
func (l *leftRuns) pending(request string) (engines []ident.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, runs := range l.engines {
		if slices.ContainsFunc(runs, func(r *leftRun) bool { return r.request == request }) {
			engines = append(engines, key.id)
		}
	}
	return engines
}

// forget leaves the runs of a request to the engines: another instance continues it, maybe at one of them.
func (l *leftRuns) forget(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, runs := range l.engines {
		l.engines[key] = slices.DeleteFunc(runs, func(r *leftRun) bool { return r.request == request })
	}
}

// close makes one last attempt at each engine.
func (l *leftRuns) close() { l.closeOnce.Do(func() { close(l.closed) }) }

// endRunsAt ends the runs at an engine until none is left.
func (l *leftRuns) endRunsAt(key incarnationKey) {
	answers := false
	for {
		batch, wait := l.batch(key, answers)
		switch {
		case batch == nil && wait == 0:
			return
		case batch != nil:
			if answers = l.endBatch(key, batch); answers {
				continue
			}
			wait = endRunInterval
		}
		if !l.pause(wait) && batch != nil {
			l.abandon(key)
			return
		}
	}
}

// batch returns the runs to end now: all that are due, or only one of them while the engine does not answer. If
// there is none, wait is the time until one is due; it is 0, and the engine is removed, if it has no runs.
func (l *leftRuns) batch(key incarnationKey, answers bool) (batch []*leftRun, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.engines[key]
	if len(runs) == 0 {
		delete(l.engines, key)
		return nil, 0
	}
	for _, r := range runs {
		left := clock.Until(r.due)
		switch {
		case left <= 0 || l.isClosed():
			batch = append(batch, r)
		case wait == 0 || left < wait:
			wait = left
		}
	}
	if !answers && len(batch) > 1 {
		batch = batch[:1]
	}
	return batch, wait
}

// endBatch tells an engine to end runs, and reports whether it has answered.
func (l *leftRuns) endBatch(key incarnationKey, batch []*leftRun) (answered bool) {
	ends := make([]leftRunEnd, len(batch))
	var group errgroup.Group
	group.SetLimit(maxRunsEndedAtOnce)
	for i, r := range batch {
		group.Go(func() error {
			ends[i] = l.end(r)
			return nil
		})
	}
	_ = group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range batch {
		answered = answered || ends[i] != endPending
		if ends[i] != endPending && ends[i] != endQueued {
			l.engines[key] = slices.DeleteFunc(l.engines[key], func(o *leftRun) bool { return o == r })
		}
	}
	return answered
}

// pause waits for the given time. It returns false if the instance is stopping.
func (l *leftRuns) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// isClosed reports whether the instance is stopping.
func (l *leftRuns) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// abandon removes the runs at an engine that did not answer until the instance stopped.
func (l *leftRuns) abandon(key incarnationKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.engines[key] {
		l.record(r, endUnproven, nil)
	}
	delete(l.engines, key)
}

// end tells an engine to end a run, and logs and counts the end.
func (l *leftRuns) end(r *leftRun) leftRunEnd {
	if clock.Until(r.deadline) <= 0 {
		return l.record(r, endExpired, nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), endRunTimeout)
	defer cancel()
	copied, err := l.c.o.Dialect.Migrate(ctx, dialect.Migration{Request: r.request, From: r.at, To: r.copyTo, Stop: true})
	var notCopied *dialect.NotCopiedError
	if errors.As(err, &notCopied) {
		copied, err = notCopied.Handle, nil
	}
	if err == nil {
		l.c.cleanup.Go(func() {
			release(func(ctx context.Context) error { return l.c.o.Dialect.ReleaseHandle(ctx, r.at, copied) }, r.log, "handle", r.at.ID)
		})
		return l.record(r, endStopped, nil)
	}
	end := l.endAfter(r.at, err)
	if end == endDropped && r.mayBegin() && !l.isClosed() {
		r.due = clock.Now().Add(queuedRunInterval)
		return endQueued
	}
	return l.record(r, end, err)
}

// mayBegin reports whether a run that the engine says not to run may begin later.
func (r *leftRun) mayBegin() bool {
	if r.queued && r.answeredAt.IsZero() {
		r.answeredAt = clock.Now()
	}
	return r.queued && clock.Since(r.answeredAt) < queuedRunTime
}

// endAfter returns what the error of an attempt to end a run shows.
func (l *leftRuns) endAfter(u dialect.Upstream, err error) leftRunEnd {
	var notRunning *dialect.NotRunningError
	var status *dialect.StatusError
	switch {
	case errors.As(err, &notRunning):
		return endDropped
	case ClassifyUnreachable(err) == schedule.Closed && l.c.o.PathWorks(u):
		return endGone
	case !errors.As(err, &status):
		return endPending
	}
	switch status.Status {
	case http.StatusMisdirectedRequest:
		return endGone
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return endPending
	default:
		return endUnproven
	}
}

// record logs and counts the end of a run.
func (l *leftRuns) record(r *leftRun, end leftRunEnd, err error) leftRunEnd {
	if end == endPending {
		r.log.Debug("left run not ended yet", "upstream", r.at.ID, "error", logs.ErrorText(err))
		return end
	}
	l.c.o.Count("left_run_" + string(end))
	r.log.Info("left run ended", "upstream", r.at.ID, "end", string(end), "after_ms", clock.Since(r.leftAt).Milliseconds(), "error", logs.ErrorText(err))
	return end
}

// leaveRun gives up the stream's run at an engine, whose connection is closed, and has it ended. eventCount is the number
// of events that it has made. Nothing may be sent for the same request to that engine any more.
func (s *stream) leaveRun(u dialect.Upstream, eventCount int) {
	if r := s.newLeftRun(u); r != nil {
		r.due, r.deadline, r.queued = r.leftAt.Add(leftRunGrace), s.j.Deadline, eventCount == 0
		s.c.leftRuns.add(r)
	}
}

// leaveRunForPeer has the stream's run at an engine ended at once, because the peer for which it runs has given it up. The
// peer may continue the stream anywhere.
func (s *stream) leaveRunForPeer(u dialect.Upstream) {
	if r := s.newLeftRun(u); r != nil {
		r.due, r.deadline = r.leftAt, r.leftAt.Add(givenUpByPeerTime)
		s.c.leftRuns.add(r)
	}
}

// newLeftRun returns a run at an engine that is given up, nil if the engine can't be told to stop it.
func (s *stream) newLeftRun(u dialect.Upstream) *leftRun {
	s.c.o.Count("run_left")
	copyTo, ok := s.otherEngine(u)
	s.log.Info("run left", "upstream", u.ID, "address", u.Address, "last_event", s.lastEvent, "can_end", ok)
	if !ok {
		return nil
	}
	return &leftRun{request: s.j.Call.ID, at: u, copyTo: copyTo, leftAt: clock.Now(), log: s.log}
}

// otherEngine returns a decode engine other than u, of its zone if there is one there. ok is false if there is none,
// or if engines can't move runs to each other.
func (s *stream) otherEngine(u dialect.Upstream) (other dialect.Upstream, ok bool) {
	if !s.j.Service.Engine.SupportsMigration {
		return other, false
	}
	for _, o := range s.c.eligible(s.j) {
		if o.Stage == dialect.StageDecode && o.ID != u.ID && !o.Leaving && (!ok || o.Zone == u.Zone && other.Zone != u.Zone) {
			other, ok = o, true
		}
	}
	return other, ok
}

// leaveNext leaves a run that was started by a takeover and has not taken the stream over.
func (s *stream) leaveNext(next *run) {
	if next.placement == nil {
		return
	}
	u := next.placement.decode.Upstream
	s.excluded = append(s.excluded, u.ID)
	s.leaveRun(u, 1)
}
