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

// body returns the whole body, including what was read already. The byte order mark of a run that continues a
// response is omitted, because callers ignore only one at the beginning.
func (r *run) body() io.Reader {
	whole := io.MultiReader(bytes.NewReader(r.received), r.resp.Body)
	if !r.s.headSent {
		return whole
	}
	return &continuedBody{body: whole}
}

// continuedBody is a body without its byte order mark.
type continuedBody struct {
	body io.Reader
	// begun means that the mark was looked for, and start is what was read for that.
	begun bool
	start []byte
}

// Read implements io.Reader.
func (b *continuedBody) Read(p []byte) (int, error) {
	for !b.begun {
		n, err := b.body.Read(p[:min(len(p), len(byteOrderMark)-len(b.start))])
		b.start = append(b.start, p[:n]...)
		switch {
		case bytes.Equal(b.start, byteOrderMark):
			b.begun, b.start = true, nil
		case err != nil || !bytes.HasPrefix(byteOrderMark, b.start):
			b.begun = true
		}
		if err != nil {
			return copy(p, b.start), err
		}
	}
	if len(b.start) > 0 {
		n := copy(p, b.start)
		b.start = b.start[n:]
		return n, nil
	}
	return b.body.Read(p)
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
	if ordered, err := r.s.c.numbering(r.s.j.Service.Name).inOrder(r.received[:lastEventEnd(r.received)], r.s.lastEvent, true); len(ordered) == 0 {
		return err
	}
	return nil
}

// age returns the time since the run was sent.
func (r *run) age() time.Duration { return clock.Since(r.sentAt) }
