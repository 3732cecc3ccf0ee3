package carry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// copyTimeout bounds the copying of a KV cache while its stream goes on. It takes
	// 1 to 2 ms, on a slow link ten times that.
	copyTimeout = 500 * time.Millisecond
	// stopTimeout bounds the stopping of a stream and the copying of what is new.
	stopTimeout = 300 * time.Millisecond
	// maxMigrations bounds how often one stream is moved.
	maxMigrations = 3
	// sendsToMigrate is how many sends beyond the first a move takes.
	sendsToMigrate = 1
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
	// to is where the stream goes on, handle and err what came of stopping it.
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
			if s == nil {
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

// destination finds a decode engine with room for the rest of the stream, if a send
// to it is allowed.
func (s *stream) destination(from dialect.Upstream) (schedule.Ticket, bool) {
	size := s.size()
	size.Copied = true
	list := s.c.o.View().Upstreams[s.j.Service.Name]
	to, ok := s.c.o.Books.PlaceDecode(clock.Now(), list, s.j.Service.Engine, size, []ident.UpstreamID{from.ID})
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

// moved waits for what came of a move, if the stream's end may be due to one, and
// returns where it goes on; nil if it was not stopped. ambiguous means that it is not
// known whether it was.
func (s *stream) moved(p *place) (source *dialect.Handle, ambiguous bool) {
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
		s.c.o.Books.Done(p.decode)
		p.decode = m.to
		return &m.handle, false
	case errors.As(m.err, &notCopied):
		s.c.o.Books.Done(m.to)
		return &notCopied.Handle, false
	default:
		s.c.o.Books.Done(m.to)
		return nil, !errors.As(m.err, &notRunning)
	}
}

// goOn has a stopped stream go on from its KV cache. It counts as the same run.
func (s *stream) goOn(ctx context.Context, p *place, source *dialect.Handle) (*Answer, bool, error) {
	u := p.decode.Upstream
	start := clock.Now()
	g := s.guardOf(ctx, u)
	defer g.stop()
	resp, verdict, err := s.c.o.Dialect.Do(g.ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: source, LastEvent: s.lastEvent,
	})
	if err == nil && verdict == dialect.Success {
		defer resp.Body.Close()
		s.log.Info("stream goes on", "upstream", u.ID, "took_ms", clock.Since(start).Milliseconds())
		return s.forward(ctx, g, p, resp, start)
	}
	if err == nil {
		resp.Body.Close()
		err = &dialect.StatusError{Op: "go on", Status: resp.StatusCode}
	}
	err = g.cause(err)
	by := CutByMove
	if ctx.Err() != nil {
		by = cutBy(ctx, err)
	}
	s.log.Warn("moved stream not taken", "upstream", u.ID, "verdict", verdict.String(), "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
	return nil, s.brokenOff(ctx, p, err, 0, by), s.streamError(ctx, err)
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
