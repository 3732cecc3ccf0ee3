package carry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// run is a run of a stream that an engine or a peer has accepted.
type run struct {
	s *stream
	// placement is the engine, nil for a run at a peer. watchdog monitors the engine.
	placement *placement
	watchdog  *watchdog
	resp      *http.Response
	// sentAt is when the stream was sent.
	sentAt time.Time
	// answerTimer ends a run at a peer that brings no event in time; nil if there is none.
	answerTimer *time.Timer
	// received is the beginning of the body if it was read already.
	received []byte
	// guard is the crash guard of a run that was started by a takeover, nil otherwise. cancel ends such
	// a run.
	guard  *crashGuard
	cancel context.CancelFunc
}

// close ends the run and releases what it holds.
func (r *run) close() {
	if r.watchdog != nil {
		r.watchdog.stopLimit()
		r.watchdog.stop()
	}
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	if r.cancel == nil {
		return
	}
	r.cancel()
	r.guard.endTrial()
	if r.placement != nil {
		r.s.leavePlacement(r.placement)
	}
}

// body returns the whole body, including what was read already.
func (r *run) body() io.Reader {
	return io.MultiReader(bytes.NewReader(r.received), r.resp.Body)
}

// receiveEvent reads the body up to its first complete event, or to its end. The event must be the one
// after the stream's last event.
func (r *run) receiveEvent() error {
	first := eventBuffer{account: r.s.j.Memory}
	buf := make([]byte, readBytes)
	for len(first.complete()) == 0 {
		n, err := r.resp.Body.Read(buf)
		addErr := first.add(buf[:n])
		r.received = first.bytes
		if addErr != nil {
			return addErr
		}
		if r.watchdog != nil {
			err = r.watchdog.attemptError(err)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if r.watchdog != nil {
		r.watchdog.heard()
	}
	if ordered, err := r.s.c.numbering(r.s.j.Service.Name).inOrder(r.received[:lastEventEnd(r.received)], r.s.lastEvent); len(ordered) == 0 {
		return err
	}
	return nil
}

// age returns the time since the run was sent.
func (r *run) age() time.Duration { return clock.Since(r.sentAt) }
