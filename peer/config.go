package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"
)

// Dialer opens connections to peers. *net.Dialer implements it; tests substitute
// one that simulates network partitions.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// TLS provides the current TLS configuration. It is called once per connection,
// so that new certificates take effect without a restart.
type TLS interface {
	// ServerConfig returns the configuration for accepted connections. It must
	// require and verify client certificates.
	ServerConfig() *tls.Config
	// ClientConfig returns the configuration for dialled connections. It must
	// verify the certificate chain; this package compares the certificate's name
	// with the hello.
	ClientConfig() *tls.Config
}

// Config configures a Server or a Pool.
type Config struct {
	// Self is the identity of this process, sent in the hello. Its Addr is not
	// sent.
	Self Identity
	// Allow reports whether a peer may connect: whether it is listed in the
	// settings or by the platform. Nil refuses every peer. It must not block.
	Allow func(Identity) bool
	// TLS is nil for plain TCP.
	TLS TLS
	// Dialer opens the connections of a Pool. Nil means a *net.Dialer.
	Dialer Dialer
	// Limits bounds the resources that peers can use. Zero fields take their
	// defaults.
	Limits Limits
	// Log receives connection failures and handler panics. Nil discards them.
	Log *slog.Logger
}

// withDefaults sets unset fields to their defaults.
func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	if c.Allow == nil {
		c.Allow = func(Identity) bool { return false }
	}
	if c.Dialer == nil {
		c.Dialer = &net.Dialer{}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// Limits bounds the memory, connections and time that peers can use. Zero fields
// take their defaults.
type Limits struct {
	// Frame is the maximum size of a frame sent or received, in bytes.
	Frame int
	// HelloFrame is the maximum size of a frame received before the hello has
	// been accepted, in bytes.
	HelloFrame int
	// Calls is the maximum number of calls in progress per connection.
	Calls int
	// Connections is the maximum number of connections of a Server or a Pool.
	Connections int
	// QueueFrames and QueueBytes bound the write queue of one connection.
	QueueFrames int
	QueueBytes  int
	// Dial bounds the TCP connect.
	Dial time.Duration
	// Hello bounds the TLS handshake and the hello exchange. A Pool applies it to
	// both together, a Server to each.
	Hello time.Duration
	// Call is the default and the maximum timeout of one call.
	Call time.Duration
	// Write bounds the writing of one frame; the connection to a peer that reads
	// more slowly is closed.
	Write time.Duration
	// Read bounds the time from the first byte of a frame to its last.
	Read time.Duration
	// Idle is how long a Server keeps a connection on which no frame arrives. A
	// Pool closes unused connections after half of it, so that no call is sent
	// on a connection that the server is closing.
	Idle time.Duration
	// BackoffMin and BackoffMax bound the exponential backoff, before jitter,
	// between attempts to connect to one address.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Default values of the fields of Limits.
const (
	DefaultFrame       = 1 << 20
	DefaultHelloFrame  = 4 << 10
	DefaultCalls       = 256
	DefaultConnections = 1024
	DefaultQueueFrames = 512
	DefaultQueueBytes  = 4 << 20
	DefaultDial        = time.Second
	DefaultHello       = 2 * time.Second
	DefaultCall        = 10 * time.Second
	DefaultWrite       = 5 * time.Second
	DefaultRead        = 10 * time.Second
	DefaultIdle        = time.Minute
	DefaultBackoffMin  = 100 * time.Millisecond
	DefaultBackoffMax  = 5 * time.Second
)

// withDefaults sets fields that are not positive to their defaults.
func (l Limits) withDefaults() Limits {
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orTime := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt(&l.Frame, DefaultFrame)
	orInt(&l.HelloFrame, DefaultHelloFrame)
	orInt(&l.Calls, DefaultCalls)
	orInt(&l.Connections, DefaultConnections)
	orInt(&l.QueueFrames, DefaultQueueFrames)
	orInt(&l.QueueBytes, DefaultQueueBytes)
	orTime(&l.Dial, DefaultDial)
	orTime(&l.Hello, DefaultHello)
	orTime(&l.Call, DefaultCall)
	orTime(&l.Write, DefaultWrite)
	orTime(&l.Read, DefaultRead)
	orTime(&l.Idle, DefaultIdle)
	orTime(&l.BackoffMin, DefaultBackoffMin)
	orTime(&l.BackoffMax, DefaultBackoffMax)
	return l
}
