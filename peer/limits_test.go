package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// pipePair returns a server and a pool that connects to it through pipes.
func pipePair(server, client Limits, add func(*Server)) (*Server, *Pool, *pipeDialer) {
	s := NewServer(Config{Self: entryB, Allow: allowAll, Limits: server})
	add(s)
	d := &pipeDialer{srv: s}
	return s, NewPool(Config{Self: entryA, Allow: allowAll, Dialer: d, Limits: client}), d
}

// stop closes the pool and shuts the server down.
func stop(t *testing.T, s *Server, p *Pool) {
	t.Helper()
	p.Close()
	assert.NilError(t, s.Shutdown(context.Background()))
}

// handleBlocking registers a method that blocks until release is closed or its
// context is done; it sends the context's error to ended.
func handleBlocking(s *Server, release <-chan struct{}, ended chan<- error) {
	Handle(s, "block", func(ctx context.Context, _ Identity, _ echoRequest) (echoResponse, error) {
		select {
		case <-release:
			return echoResponse{Text: "done"}, nil
		case <-ctx.Done():
			ended <- ctx.Err()
			return echoResponse{}, ctx.Err()
		}
	})
}

func TestCallsPerConnectionAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, p, _ := pipePair(Limits{Calls: 2}, Limits{}, func(s *Server) { handleBlocking(s, release, nil) })
		defer stop(t, s, p)
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
				results <- err
			}()
		}
		synctest.Wait()
		_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy))
		assert.Equal(t, DeliveryOf(err), Refused)
		close(release)
		assert.NilError(t, <-results)
		assert.NilError(t, <-results)
	})
}

func TestCancelReachesTheHandler(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) { handleBlocking(s, nil, ended) })
		defer stop(t, s, p)
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() {
			_, err := Call[echoResponse](ctx, p, "b", "block", echoRequest{})
			result <- err
		}()
		synctest.Wait()
		cancel()
		assert.Assert(t, errors.Is(<-result, context.Canceled))
		assert.Equal(t, <-ended, context.Canceled)
	})
}

func TestHandlerEndsWithTheCallersTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) { handleBlocking(s, nil, ended) })
		defer stop(t, s, p)
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
		var unknown *MethodError
		assert.Assert(t, errors.As(err, &unknown))
		assert.Equal(t, DeliveryOf(err), Refused)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = Call[echoResponse](ctx, p, "b", "block", echoRequest{})
		assert.Assert(t, err != nil)
		assert.Assert(t, <-ended != nil)
		assert.Equal(t, time.Since(start), 50*time.Millisecond)
	})
}

func TestIdleConnectionsClose(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s, p, d := pipePair(Limits{}, Limits{}, func(s *Server) { Handle(s, "echo", echo) })
		defer stop(t, s, p)
		call := func() {
			_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
			assert.NilError(t, err)
		}
		call()
		time.Sleep(DefaultIdle/2 - time.Second)
		call()
		time.Sleep(DefaultIdle/2 - time.Second)
		call()
		assert.Equal(t, d.count(), 1)
		time.Sleep(DefaultIdle)
		synctest.Wait()
		assert.Equal(t, len(s.Stats().Conns), 0)
		call()
		assert.Equal(t, d.count(), 2)
	})
}

// TestServerDropsSilentClient checks that the server closes a connection on which
// no frame arrives for the idle timeout.
func TestServerDropsSilentClient(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewServer(Config{Self: entryB, Allow: allowAll})
		near, far := net.Pipe()
		go s.ServeConn(far)
		r := newScriptedPeer(t, near)
		r.send(validHello)
		r.receive()
		start := time.Now()
		r.expectClosed()
		assert.Equal(t, time.Since(start), DefaultIdle)
		assert.NilError(t, s.Shutdown(context.Background()))
	})
}

// TestSlowSenderIsDropped checks that the server closes a connection whose peer
// sends one byte of a frame and then stops.
func TestSlowSenderIsDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewServer(Config{Self: entryB, Allow: allowAll})
		near, far := net.Pipe()
		go s.ServeConn(far)
		r := newScriptedPeer(t, near)
		r.send(validHello)
		r.receive()
		_, err := near.Write([]byte("C"))
		assert.NilError(t, err)
		start := time.Now()
		r.expectClosed()
		assert.Equal(t, time.Since(start), DefaultRead)
		assert.NilError(t, s.Shutdown(context.Background()))
	})
}

func TestFrameSizeIsBounded(t *testing.T) {
	s, p, _ := pipePair(Limits{Frame: 1000}, Limits{Frame: 2000}, func(s *Server) {
		Handle(s, "grow", func(context.Context, Identity, echoRequest) (echoResponse, error) {
			return echoResponse{Text: string(make([]byte, 900))}, nil
		})
	})
	defer stop(t, s, p)
	var large *TooLargeError
	_, err := Call[echoResponse](context.Background(), p, "b", "grow", echoRequest{Text: string(make([]byte, 2000))})
	assert.Assert(t, errors.As(err, &large))
	assert.Equal(t, DeliveryOf(err), NotSent)
	// The result exceeds the frame limit, but the handler has run.
	_, err = Call[echoResponse](context.Background(), p, "b", "grow", echoRequest{})
	assert.Assert(t, errors.As(err, &large))
	assert.Equal(t, DeliveryOf(err), Unknown)
}

func TestConnectionsAreBounded(t *testing.T) {
	s := NewServer(Config{Self: entryB, Allow: allowAll, Limits: Limits{Connections: 1}})
	first, far := net.Pipe()
	go s.ServeConn(far)
	r := newScriptedPeer(t, first)
	r.send(validHello)
	r.receive()
	second, far := net.Pipe()
	s.ServeConn(far)
	newScriptedPeer(t, second).expectClosed()
	assert.NilError(t, s.Shutdown(context.Background()))
}

func TestPanicIsAnswered(t *testing.T) {
	s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) {
		Handle(s, "panic", func(context.Context, Identity, echoRequest) (echoResponse, error) { panic("boom") })
		Handle(s, "echo", echo)
	})
	defer stop(t, s, p)
	_, err := Call[echoResponse](context.Background(), p, "b", "panic", echoRequest{})
	var re *RemoteError
	assert.Assert(t, errors.As(err, &re))
	assert.Equal(t, re.Code, CodeInternal)
	assert.Equal(t, DeliveryOf(err), Unknown)
	_, err = Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{})
	assert.NilError(t, err)
}

func TestShutdownFinishesCallsInProgress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) { handleBlocking(s, release, nil) })
		defer p.Close()
		inFlight := make(chan error, 1)
		go func() {
			_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
			inFlight <- err
		}()
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
		var stopping *StoppingError
		assert.Assert(t, errors.As(err, &stopping), "%v", err)
		assert.Equal(t, DeliveryOf(err), Refused)
		close(release)
		assert.NilError(t, <-inFlight)
		assert.NilError(t, <-stopped)
	})
}

func TestDrainKeepsAccepting(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, p, d := pipePair(Limits{}, Limits{}, func(s *Server) { handleBlocking(s, release, nil) })
		defer stop(t, s, p)
		inFlight := make(chan error, 1)
		go func() {
			_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
			inFlight <- err
		}()
		synctest.Wait()
		s.Drain()
		_, err := Call[echoResponse](context.Background(), p, "c", "block", echoRequest{})
		var stopping *StoppingError
		assert.Assert(t, errors.As(err, &stopping), "%v", err)
		assert.Equal(t, d.count(), 2)
		close(release)
		assert.NilError(t, <-inFlight)
	})
}

func TestShutdownIsBoundedByItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) { handleBlocking(s, nil, ended) })
		defer p.Close()
		inFlight := make(chan error, 1)
		go func() {
			_, err := Call[echoResponse](context.Background(), p, "b", "block", echoRequest{})
			inFlight <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Equal(t, s.Shutdown(ctx), context.DeadlineExceeded)
		assert.Equal(t, DeliveryOf(<-inFlight), Unknown)
	})
}

func TestNotifyReachesTheHandler(t *testing.T) {
	got := make(chan string, 1)
	s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) {
		Handle(s, "note", func(_ context.Context, _ Identity, r echoRequest) (echoResponse, error) {
			got <- r.Text
			return echoResponse{}, nil
		})
	})
	defer stop(t, s, p)
	assert.NilError(t, Notify(context.Background(), p, "b", "note", echoRequest{Text: "hi"}))
	assert.Equal(t, <-got, "hi")
}

func TestTrafficIsCountedOnBothSides(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s, p, _ := pipePair(Limits{}, Limits{}, func(s *Server) { Handle(s, "echo", echo) })
		defer stop(t, s, p)
		_, err := Call[echoResponse](context.Background(), p, "b", "echo", echoRequest{Text: "hi"})
		assert.NilError(t, err)
		// A write is counted when it returns, which can be after the other side
		// has read the response.
		synctest.Wait()
		client, server := p.Stats(), s.Stats()
		assert.Assert(t, client.Total.Sent > 0 && client.Total.Received > 0)
		assert.Equal(t, client.Total, Traffic{Sent: server.Total.Received, Received: server.Total.Sent})
		assert.Equal(t, server.Conns[0].Remote.Instance, entryA.Instance)
		p.Forget("b")
		assert.Equal(t, p.Stats().Total, client.Total)
		assert.Equal(t, len(p.Stats().Conns), 0)
	})
}

// failingListener fails the given number of times with EMFILE and then with
// net.ErrClosed.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, syscall.EMFILE
	}
	return nil, net.ErrClosed
}

func TestServeWaitsOutFailures(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	bubble.Test(t, func(t *testing.T) {
		l := &failingListener{Listener: inner, failures: 5}
		start := time.Now()
		err := NewServer(Config{Self: entryB, Allow: allowAll}).Serve(l)
		assert.Assert(t, errors.As(err, new(*AcceptError)))
		assert.Equal(t, time.Since(start), 5*acceptRetryDelay)
	})
}
