package carry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

const (
	// copyTimeout bounds the copying of a KV cache while its stream goes on. It takes
	// 1 to 2 ms, on a slow link ten times that.
	copyTimeout = 500 * time.Millisecond
	// slowCopy is how long a copy may have taken for the stream to be stopped: it stands
	// still while what is new is copied.
	slowCopy = 150 * time.Millisecond
	// stopTimeout bounds the stopping of a stream and the copying of what is new. Without
	// the answer a stopped stream has no handle to go on from, so that it is waited for as
	// long as callers bear.
	stopTimeout = 2 * time.Second
	// maxMigrations bounds how often one stream is moved.
	maxMigrations = 3
	// sendsToMigrate is how many sends beyond the first a move takes, sendsBack how many
	// its way back if the destination doesn't take the stream.
	sendsToMigrate = 1
	sendsBack      = 1
	// resumeTimeout bounds the wait for an engine that a stopped stream was sent to: its cache
	// is there, so that the answer takes some ten ms, and its caller hears nothing meanwhile.
	resumeTimeout = time.Second
)

// phase is how far the move of a stream has come.
type phase int

const (
	// settled streams are not being moved.
	settled phase = iota
	// copying streams go on while their KV cache is copied.
	copying
	// stopping streams may have been stopped: their end says nothing until the
	// engine's answer is there.
	stopping
	// over means that the stream has ended.
	over
)

// migration is the move of a stream to another engine.
type migration struct {
	mu    sync.Mutex
	phase phase
	moves int
	// turn rises with each engine that the stream comes to: a move that was begun at
	// an earlier one must not stop it.
	turn int
	// to is where the stream is to go on, handle and err what came of stopping it.
	to     schedule.Ticket
	handle dialect.Handle
	err    error
	// done is closed when handle and err are there.
	done chan struct{}
}

// arrive says that the stream runs at an engine, from which it may be moved.
func (m *migration) arrive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = settled
	m.turn++
}

// begin claims the move of a stream; false if it can't be moved now.
func (m *migration) begin() (turn int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != settled || m.moves >= maxMigrations {
		return 0, false
	}
	m.phase = copying
	m.moves++
	return m.turn, true
}

// cancel gives a move up before the stream was stopped.
func (m *migration) cancel(turn int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == copying && m.turn == turn {
		m.phase = settled
	}
}

// stop says that the stream is about to be stopped; false if it has ended.
func (m *migration) stop(turn int, to schedule.Ticket) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != copying || m.turn != turn {
		return false
	}
	m.phase, m.to, m.done = stopping, to, make(chan struct{})
	return true
}

// ended says that the stream came to an end at its engine. It returns the move that
// may have caused it, nil if there is none.
func (m *migration) ended() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != stopping {
		m.phase = over
		return nil
	}
	return m.done
}

// Migrate has the running streams moved that should go on at other engines.
func (c *Carrier) Migrate(services map[string]routing.Service) {
	view := c.o.View()
	now := clock.Now()
	for name, service := range services {
		if service.Engine == nil || !service.Engine.Migrates {
			continue
		}
		for _, m := range c.o.Books.Migrants(now, view.Upstreams[name], service.Engine) {
			s := c.running(m.Ticket)
			if s == nil || view.Evacuation.Covers(m.Ticket.Upstream.Zone) {
				// A failed migration may resume at the source, which must get no new requests.
				continue
			}
			if turn, ok := s.migration.begin(); ok {
				c.cleanup.Go(func() { s.migrate(m, turn) })
			}
		}
	}
}

// running returns the stream that has a placement.
func (c *Carrier) running(t schedule.Ticket) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[t.Number()]
}

// enter and exit keep the streams that run.
func (c *Carrier) enter(t schedule.Ticket, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[t.Number()] = s
	select {
	case c.streamStarted <- struct{}{}:
	default:
	}
}

// AwaitStreams blocks until at least one stream is running. It returns false if ctx ends.
func (c *Carrier) AwaitStreams(ctx context.Context) bool {
	for {
		c.mu.Lock()
		n := len(c.streams)
		c.mu.Unlock()
		if n > 0 {
			return ctx.Err() == nil
		}
		select {
		case <-c.streamStarted:
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Carrier) exit(t schedule.Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, t.Number())
}

// migrate moves a stream: its KV cache is copied while it goes on, then it is stopped
// and what is new is copied, so that the caller sees a pause of some ms. Nothing is
// lost before the stop: whatever fails until then leaves the stream as it is.
func (s *stream) migrate(m schedule.Migrant, turn int) {
	from := m.Ticket.Upstream
	log := s.log.With("from", from.ID, "why", string(m.Why), "memory", m.Memory)
	to, ok := s.destination(from)
	if !ok {
		s.migration.cancel(turn)
		return
	}
	start := clock.Now()
	copied, err := s.copyCache(from, to.Upstream, false, copyTimeout)
	if took := clock.Since(start); err == nil && took > slowCopy {
		err = &SlowCopyError{Took: took}
		s.free(&computed{handle: copied, engine: from})
	}
	if err != nil || !s.migration.stop(turn, to) {
		s.c.o.Books.Done(to)
		s.migration.cancel(turn)
		if err == nil {
			s.free(&computed{handle: copied, engine: from})
		}
		log.Info("stream not moved", "to", to.Upstream.ID, "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
		return
	}
	handle, err := s.copyCache(from, to.Upstream, true, stopTimeout)
	s.migration.handle, s.migration.err = handle, err
	close(s.migration.done)
	s.c.o.Count("stream_migrated")
	log.Info("stream moved", "to", to.Upstream.ID, "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
}

// SlowCopyError reports a copy that took so long that its stream was not stopped.
type SlowCopyError struct{ Took time.Duration }

// Error implements error.
func (e *SlowCopyError) Error() string { return "copied in " + e.Took.String() + ", too slowly" }

// destination finds a decode engine with room for the rest of the stream, if a send
// to it is allowed.
func (s *stream) destination(from dialect.Upstream) (schedule.Ticket, bool) {
	size := s.size()
	size.Copied = true
	to, ok := s.c.o.Books.PlaceDecode(clock.Now(), s.c.eligible(s.j), s.j.Service.Engine, size, []ident.UpstreamID{from.ID})
	if ok && !s.c.o.Budget.Spare(clock.Now(), s.j.Service.Name, sendsToMigrate) {
		s.c.o.Books.Done(to)
		return to, false
	}
	return to, ok
}

// copyCache copies the stream's KV cache.
func (s *stream) copyCache(from, to dialect.Upstream, stop bool, timeout time.Duration) (dialect.Handle, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.c.o.Dialect.Migrate(ctx, dialect.Migration{Request: s.j.Call.ID, From: from, To: to, Stop: stop})
}

// continuation is how a stopped stream goes on.
type continuation struct {
	// source is its KV cache, at the engine that it was stopped at.
	source dialect.Handle
	// at are the engines that can take it, in the order in which they are asked: the
	// destination, which holds a copy, and the one that was stopped.
	at []schedule.Ticket
}

// moved waits for what came of a move, if the stream's end may be due to one, and
// returns how it goes on; nil if it was not stopped. ambiguous means that it is not
// known whether it was.
func (s *stream) moved(p *place) (next *continuation, ambiguous bool) {
	done := s.migration.ended()
	if done == nil {
		return nil, false
	}
	<-done
	m := &s.migration
	var notRunning *dialect.NotRunningError
	var notCopied *dialect.NotCopiedError
	switch {
	case m.err == nil:
		return &continuation{source: m.handle, at: []schedule.Ticket{m.to, p.decode}}, false
	case errors.As(m.err, &notCopied):
		s.c.o.Books.Done(m.to)
		return &continuation{source: notCopied.Handle, at: []schedule.Ticket{p.decode}}, false
	default:
		s.c.o.Books.Done(m.to)
		return nil, !errors.As(m.err, &notRunning)
	}
}

// goOn has a stopped stream go on from its KV cache. It counts as the same run.
//
// The instance itself ended a sound run, so that no single refusal may end the answer: the
// engine that was stopped is asked too, also after an answer that was lost. A handle serves
// once, so that the run can't go on twice.
func (s *stream) goOn(ctx context.Context, p *place, next *continuation) (*Answer, bool, error) {
	var err error
	by := CutByMove
	for i, t := range next.at {
		if i > 0 {
			s.c.o.Budget.Owed(clock.Now(), s.j.Service.Name, sendsBack)
			s.c.o.Count("stream_went_back")
		}
		p.decode = t
		var resp *http.Response
		start := clock.Now()
		g := s.guardOf(ctx, t.Upstream)
		if resp, err = s.resumeAt(g, t.Upstream, next.source); err == nil {
			defer g.stop()
			defer resp.Body.Close()
			s.endPlacements(next.at[i+1:])
			return s.forward(ctx, g, p, resp, start)
		}
		g.stop()
		if ctx.Err() != nil {
			s.endPlacements(next.at[i+1:])
			by = cutBy(ctx, err)
			break
		}
		if i+1 < len(next.at) {
			s.notResumed(ctx, t, start, err)
		}
	}
	s.free(&computed{handle: next.source, engine: p.decode.Upstream})
	return nil, s.brokenOff(ctx, p, err, 0, by), s.streamError(ctx, err)
}

// resumeAt asks an engine to go on with a stopped stream.
func (s *stream) resumeAt(g *guard, u dialect.Upstream, source dialect.Handle) (*http.Response, error) {
	start := clock.Now()
	limit := time.AfterFunc(resumeTimeout, func() { g.cancel(&SilentError{Upstream: u.ID, Err: context.DeadlineExceeded}) })
	defer limit.Stop()
	resp, verdict, err := s.c.o.Dialect.Do(g.ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: &source, LastEvent: s.lastEvent,
	})
	took := clock.Since(start).Milliseconds()
	if err == nil && verdict == dialect.Success {
		s.log.Info("stream goes on", "upstream", u.ID, "took_ms", took)
		return resp, nil
	}
	if err == nil {
		resp.Body.Close()
		err = &dialect.StatusError{Op: "go on", Status: resp.StatusCode}
		s.passOver(u, "did not take a stream")
	}
	err = g.cause(err)
	s.log.Warn("moved stream not taken", "upstream", u.ID, "verdict", verdict.String(), "took_ms", took, "error", logs.ErrorText(err))
	return nil, err
}

// notResumed takes in that an engine did not take a stopped stream that another one can still
// take.
func (s *stream) notResumed(ctx context.Context, t schedule.Ticket, start time.Time, err error) {
	s.c.o.Books.Done(t)
	s.excluded = append(s.excluded, t.Upstream.ID)
	var status *dialect.StatusError
	if errors.As(err, &status) {
		return
	}
	s.c.note(t.Upstream, &attempt{err: err}, 0, s.log)
	if adapter.AsCallError(err).Evidence == kernel.Ambiguous {
		s.lost(ctx, t.Upstream, start, false, 0, err)
	}
}

// endPlacements ends placements that the stream doesn't come to.
func (s *stream) endPlacements(tickets []schedule.Ticket) {
	for _, t := range tickets {
		s.c.o.Books.Done(t)
	}
}

// unframed reports whether the end of a body can't be told from its breaking off.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endOf returns how a stream ended at its engine: an unframed one that may have been
// stopped is not whole.
func endOf(resp *http.Response, err error, ambiguous bool) error {
	if err == nil && ambiguous && unframed(resp) {
		return io.ErrUnexpectedEOF
	}
	return err
}
