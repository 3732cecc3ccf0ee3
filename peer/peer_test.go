package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoRequest and echoResponse are the parameters and the result of the test
// methods.
type echoRequest struct {
	Text string `json:"text"`
}

type echoResponse struct {
	Text        string            `json:"text"`
	From        ident.InstanceID  `json:"from"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"life"`
}

// fullError is an error type registered by the tests.
type fullError struct {
	Slots int `json:"slots"`
}

func (e *fullError) Error() string { return "full" }

func init() { RegisterError[*fullError](9001) }

var (
	entryA = Identity{Instance: "entry-a1", Incarnation: 7, Zone: "hall-a"}
	entryB = Identity{Instance: "entry-b1", Incarnation: 8, Zone: "hall-b"}
)

func allowAll(Identity) bool { return true }

// echo returns the text of the request and the caller's identity.
func echo(_ context.Context, from Identity, r echoRequest) (echoResponse, error) {
	return echoResponse{Text: r.Text, From: from.Instance, Zone: from.Zone, Incarnation: from.Incarnation}, nil
}

// startServer starts a server on the loopback interface that is shut down when
// the test ends, and returns its address.
func startServer(t testing.TB, cfg Config, add func(*Server)) string {
	t.Helper()
	s := NewServer(cfg)
	add(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		assert.NilError(t, <-served)
	})
	return l.Addr().String()
}

// startPool returns a pool that is closed when the test ends.
func startPool(t testing.TB, cfg Config) *Pool {
	t.Helper()
	p := NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

func TestCallOverLoopback(t *testing.T) {
	addr := startServer(t, Config{Self: entryB, Allow: allowAll}, func(s *Server) { Handle(s, "echo", echo) })
	p := startPool(t, Config{Self: entryA, Allow: allowAll})
	got, err := Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{Text: "hi"})
	assert.NilError(t, err)
	assert.Equal(t, got, echoResponse{Text: "hi", From: "entry-a1", Zone: "hall-a", Incarnation: 7})
	id, ok := p.Identity(addr)
	assert.Assert(t, ok)
	assert.Equal(t, id, Identity{Instance: "entry-b1", Incarnation: 8, Zone: "hall-b", Addr: addr})
}

func TestTypedErrorsSurviveTheWire(t *testing.T) {
	addr := startServer(t, Config{Self: entryB, Allow: allowAll}, func(s *Server) {
		Handle(s, "ran", func(context.Context, Identity, echoRequest) (echoResponse, error) {
			return echoResponse{}, &fullError{Slots: 3}
		})
		Handle(s, "refused", func(context.Context, Identity, echoRequest) (echoResponse, error) {
			return echoResponse{}, Refuse(&fullError{Slots: 4})
		})
	})
	p := startPool(t, Config{Self: entryA, Allow: allowAll})
	for method, want := range map[string]struct {
		delivery Delivery
		slots    int
	}{"ran": {Unknown, 3}, "refused": {Refused, 4}} {
		_, err := Call[echoResponse](context.Background(), p, addr, method, echoRequest{})
		var full *fullError
		assert.Assert(t, errors.As(err, &full), "%v", err)
		assert.Equal(t, full.Slots, want.slots)
		assert.Equal(t, DeliveryOf(err), want.delivery)
	}
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	p := startPool(t, Config{Self: entryA, Allow: allowAll})
	_, err = Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{})
	assert.Equal(t, DeliveryOf(err), NotSent)
	var de *DialError
	assert.Assert(t, errors.As(err, &de))
	assert.Equal(t, de.Kind, DialRefused)
	_, err = Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{})
	var be *BackoffError
	assert.Assert(t, errors.As(err, &be))
	assert.Equal(t, DeliveryOf(err), NotSent)
}
