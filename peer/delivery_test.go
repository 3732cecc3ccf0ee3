package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// connectScripted returns a pool with a connection whose far end the test
// controls.
func connectScripted(t *testing.T, limits Limits) (*Pool, *pipeDialer, *scriptedPeer) {
	t.Helper()
	d := &pipeDialer{}
	p := NewPool(Config{Self: entryA, Allow: allowAll, Dialer: d, Limits: limits})
	ready := make(chan error, 1)
	go func() {
		_, err := p.connTo(context.Background(), "b", "", nil)
		ready <- err
	}()
	synctest.Wait()
	r := newScriptedPeer(t, d.far)
	r.answerHello()
	assert.NilError(t, <-ready)
	return p, d, r
}

func TestDelivery(t *testing.T) {
	big := echoRequest{Text: string(make([]byte, 64<<10))}
	tests := []struct {
		name string
		// peer is run at the far end while the call is in progress.
		peer func(r *scriptedPeer)
		req  echoRequest
		want Delivery
	}{
		{"answer never comes", func(r *scriptedPeer) { io.Copy(io.Discard, r.r) }, echoRequest{}, Unknown},
		{"connection closes after the call", func(r *scriptedPeer) { r.receive(); r.conn.Close() }, echoRequest{}, Unknown},
		{"connection closes before the call is read", func(r *scriptedPeer) { r.conn.Close() }, echoRequest{}, NotSent},
		{"connection closes inside the frame", func(r *scriptedPeer) { r.r.ReadByte(); r.conn.Close() }, big, NotSent},
		{"peer reads nothing", func(*scriptedPeer) {}, echoRequest{}, Unknown},
		{"refusal", func(r *scriptedPeer) {
			r.receive()
			r.send(`{"jsonrpc":"2.0","id":2,"error":{"code":-32006,"message":"","data":{"refused":true,"error":{}}}}`)
		}, echoRequest{}, Refused},
		{"error without data", func(r *scriptedPeer) {
			r.receive()
			r.send(`{"jsonrpc":"2.0","id":2,"error":{"code":-32006,"message":""}}`)
		}, echoRequest{}, Unknown},
		{"error with data of another shape", func(r *scriptedPeer) {
			r.receive()
			r.send(`{"jsonrpc":"2.0","id":2,"error":{"code":7,"message":"","data":[1]}}`)
		}, echoRequest{}, Unknown},
		{"result of another type", func(r *scriptedPeer) {
			r.receive()
			r.send(`{"jsonrpc":"2.0","id":2,"result":[1]}`)
		}, echoRequest{}, Unknown},
		{"answer that is no frame", func(r *scriptedPeer) { r.receive(); r.conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, echoRequest{}, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				p, _, r := connectScripted(t, Limits{})
				defer p.Close()
				defer r.conn.Close()
				go tt.peer(r)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := Call[echoResponse](ctx, p, "b", "echo", tt.req)
				var ce *CallError
				assert.Assert(t, errors.As(err, &ce), "%v", err)
				assert.Equal(t, ce.Delivery, tt.want, "%v", err)
			})
		})
	}
}

// TestQueuedCallIsWithdrawn checks that calls that time out in the write queue are
// never sent. The writer is blocked by one call, so that later calls stay queued.
func TestQueuedCallIsWithdrawn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, _, r := connectScripted(t, Limits{QueueFrames: 2})
		defer p.Close()
		call := func(d time.Duration, out chan<- error) {
			ctx, cancel := context.WithTimeout(context.Background(), d)
			defer cancel()
			_, err := Call[echoResponse](ctx, p, "b", "echo", echoRequest{})
			out <- err
		}
		first, queued := make(chan error, 1), make(chan error, 2)
		go call(3*time.Second, first)
		synctest.Wait()
		go call(time.Second, queued)
		go call(time.Second, queued)
		synctest.Wait()
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy))
		assert.Equal(t, DeliveryOf(err), NotSent)
		assert.Equal(t, DeliveryOf(<-queued), NotSent)
		assert.Equal(t, DeliveryOf(<-queued), NotSent)
		// When the peer reads again, it receives the first call and its
		// cancellation, but none of the withdrawn calls.
		assert.Equal(t, r.receive().ID, uint64(2))
		assert.Equal(t, DeliveryOf(<-first), Unknown)
		assert.Equal(t, r.receive().Method, methodCancel)
	})
}

func TestSlowReaderIsDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, d, r := connectScripted(t, Limits{})
		defer p.Close()
		start := time.Now()
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		assert.Equal(t, time.Since(start), DefaultWrite)
		assert.Equal(t, DeliveryOf(err), NotSent, "%v", err)
		r.expectClosed()
		assert.Equal(t, d.count(), 1)
	})
}

func TestSilentPeerLosesItsConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, d, r := connectScripted(t, Limits{Calls: 1, Call: time.Second})
		defer p.Close()
		go func() {
			for {
				if _, err := r.r.ReadByte(); err != nil {
					return
				}
			}
		}()
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		assert.Equal(t, DeliveryOf(err), Unknown)
		time.Sleep(time.Second)
		_, err = Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		assert.Equal(t, DeliveryOf(err), NotSent)
		synctest.Wait()
		d.mu.Lock()
		d.fail = syscall.ECONNREFUSED
		d.mu.Unlock()
		_, err = Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		var de *DialError
		assert.Assert(t, errors.As(err, &de))
		assert.Equal(t, d.count(), 2)
	})
}

// TestBackoffBoundsDials checks the number of dials when an address that refuses
// connections is called every 10 ms for a minute.
func TestBackoffBoundsDials(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &pipeDialer{fail: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}
		p := NewPool(Config{Self: entryA, Allow: allowAll, Dialer: d})
		defer p.Close()
		for range 6000 {
			_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
			assert.Equal(t, DeliveryOf(err), NotSent)
			var de *DialError
			assert.Assert(t, errors.As(err, &de))
			assert.Equal(t, de.Kind, DialRefused)
			time.Sleep(10 * time.Millisecond)
		}
		// The backoff doubles from 100 ms to 5 s in 6 attempts; after that there is
		// one attempt every 2.5 to 7.5 s.
		assert.Assert(t, d.count() >= 12 && d.count() <= 35, "%d dials, want 12 to 35", d.count())
	})
}
