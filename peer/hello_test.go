package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

const validHello = `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"instance":"entry-a1","incarnation":7,"zone":"hall-a"}}`

func TestHelloIsChecked(t *testing.T) {
	tests := []struct {
		name  string
		first string
		want  Code
	}{
		{"later version", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":2,"instance":"entry-a1","incarnation":7,"zone":"hall-a"}}`, CodeVersion},
		{"later version of another shape", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":2,"instance":{}}}`, CodeVersion},
		{"no version", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"instance":"entry-a1"}}`, CodeVersion},
		{"no parameters", `{"jsonrpc":"2.0","id":1,"method":"hello"}`, CodeHello},
		{"bad instance", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"instance":"A b","incarnation":7,"zone":"hall-a"}}`, CodeHello},
		{"bad zone", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"instance":"entry-a1","incarnation":7,"zone":""}}`, CodeHello},
		{"no incarnation", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"instance":"entry-a1","zone":"hall-a"}}`, CodeHello},
		{"unknown instance", `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"instance":"entry-x1","incarnation":7,"zone":"hall-a"}}`, CodeNotAllowed},
		{"call first", `{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}`, CodeHelloRequired},
	}
	onlyA := func(id Identity) bool { return id.Instance == entryA.Instance }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewServer(Config{Self: entryB, Allow: onlyA})
			Handle(s, "echo", func(context.Context, Identity, echoRequest) (echoResponse, error) {
				t.Error("handler ran for a peer that was not accepted")
				return echoResponse{}, nil
			})
			near, far := net.Pipe()
			go s.ServeConn(far)
			r := newScriptedPeer(t, near)
			r.send(tt.first)
			got := r.receive()
			assert.Assert(t, got.Error != nil)
			assert.Equal(t, got.Error.Code, tt.want)
			assert.Assert(t, got.Error.Data.Refused)
			r.expectClosed()
			assert.NilError(t, s.Shutdown(context.Background()))
		})
	}
}

func TestSecondHelloIsRefused(t *testing.T) {
	s := NewServer(Config{Self: entryB, Allow: allowAll})
	near, far := net.Pipe()
	go s.ServeConn(far)
	r := newScriptedPeer(t, near)
	r.send(validHello)
	assert.Assert(t, r.receive().Error == nil)
	r.send(validHello)
	assert.Equal(t, r.receive().Error.Code, CodeHello)
	r.expectClosed()
	assert.NilError(t, s.Shutdown(context.Background()))
}

func TestHelloMustComeInTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewServer(Config{Self: entryB, Allow: allowAll})
		near, far := net.Pipe()
		start := time.Now()
		go s.ServeConn(far)
		newScriptedPeer(t, near).expectClosed()
		assert.Equal(t, time.Since(start), DefaultHello)
		assert.NilError(t, s.Shutdown(context.Background()))
	})
}

func TestFrameBeforeHelloIsSmall(t *testing.T) {
	s := NewServer(Config{Self: entryB, Allow: allowAll})
	near, far := net.Pipe()
	go s.ServeConn(far)
	r := newScriptedPeer(t, near)
	_, err := near.Write([]byte("Content-Length: 4097\r\n\r\n"))
	assert.NilError(t, err)
	r.expectClosed()
	assert.NilError(t, s.Shutdown(context.Background()))
}

// TestPoolChecksTheServer checks that the dialling side rejects servers that use
// another protocol version or are not allowed, and returns a server's refusal to
// the caller.
func TestPoolChecksTheServer(t *testing.T) {
	tests := []struct {
		name  string
		reply string
		check func(error) bool
	}{
		{"later version", `{"jsonrpc":"2.0","id":1,"result":{"version":9}}`,
			func(err error) bool { var e *VersionError; return errors.As(err, &e) && e.Got == 9 }},
		{"unknown instance", `{"jsonrpc":"2.0","id":1,"result":{"version":1,"instance":"entry-x1","incarnation":8,"zone":"hall-b"}}`,
			func(err error) bool { var e *NotAllowedError; return errors.As(err, &e) }},
		{"refuses us", `{"jsonrpc":"2.0","id":1,"error":{"code":-32004,"message":"","data":{"refused":true,"error":{"instance":"entry-a1"}}}}`,
			func(err error) bool { var e *NotAllowedError; return errors.As(err, &e) && e.Instance == "entry-a1" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			p := NewPool(Config{Self: entryA, Dialer: fixedDialer{near}, Allow: func(id Identity) bool { return id.Instance == "entry-b1" }})
			go func() {
				r := newScriptedPeer(t, far)
				r.receive()
				r.send(tt.reply)
			}()
			_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
			assert.Assert(t, tt.check(err), "%v", err)
			assert.Equal(t, DeliveryOf(err), NotSent)
			p.Close()
		})
	}
}

// fixedDialer always returns the same connection.
type fixedDialer struct{ conn net.Conn }

// DialContext implements Dialer.
func (d fixedDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.conn, nil
}

func TestExpectRefusesAnotherLife(t *testing.T) {
	addr := startServer(t, Config{Self: entryB, Allow: allowAll}, func(s *Server) { Handle(s, "echo", echo) })
	p := startPool(t, Config{Self: entryA, Allow: allowAll})
	_, err := Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{}, Expect("entry-b1", 8))
	assert.NilError(t, err)
	for _, opt := range []Option{Expect("entry-b1", 9), Expect("entry-b2", 0)} {
		_, err = Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{}, opt)
		var wrong *WrongInstanceError
		assert.Assert(t, errors.As(err, &wrong))
		assert.Equal(t, DeliveryOf(err), NotSent)
	}
}

// TestRecheckClosesConnectionsOfDroppedPeers checks that Recheck closes the
// connections of peers that Allow no longer accepts, on the server and in the
// pool, and that new connections of them are refused.
func TestRecheckClosesConnectionsOfDroppedPeers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var dropped atomic.Bool
		allow := func(Identity) bool { return !dropped.Load() }
		s := NewServer(Config{Self: entryB, Allow: allow})
		Handle(s, "echo", echo)
		p := NewPool(Config{Self: entryA, Allow: allow, Dialer: &pipeDialer{srv: s}})
		defer stop(t, s, p)
		for _, recheck := range []func(){s.Recheck, p.Recheck} {
			dropped.Store(false)
			time.Sleep(DefaultBackoffMax * 2)
			_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
			assert.NilError(t, err)
			recheck()
			synctest.Wait()
			assert.Equal(t, len(s.Stats().Conns), 1)
			dropped.Store(true)
			recheck()
			synctest.Wait()
			assert.Equal(t, len(s.Stats().Conns), 0)
			_, err = Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
			assert.Assert(t, errors.As(err, new(*NotAllowedError)), "%v", err)
		}
	})
}

// TestSilentServerIsToldApart checks that a paused process, for which the
// operating system still accepts connections, is reported as DialHelloTimeout.
func TestSilentServerIsToldApart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		p := NewPool(Config{Self: entryA, Dialer: fixedDialer{near}, Allow: allowAll})
		defer p.Close()
		start := time.Now()
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		var de *DialError
		assert.Assert(t, errors.As(err, &de), "%v", err)
		assert.Equal(t, de.Kind, DialHelloTimeout)
		assert.Equal(t, DeliveryOf(err), NotSent)
		assert.Equal(t, time.Since(start), DefaultHello)
	})
}
