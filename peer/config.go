package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"
)

// Dialer opens connections to peers. *net.Dialer implements it; tests put in
// one that cuts peers off.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// TLS gives the TLS settings in force. It is asked once for each connection, so
// that new certificates take effect without a restart.
type TLS interface {
	// ServerConfig returns the settings for accepted connections. It must
	// require and verify client certificates.
	ServerConfig() *tls.Config
	// ClientConfig returns the settings for dialled connections. It verifies
	// the chain; the name is checked against the hello.
	ClientConfig() *tls.Config
}

// Config is what a Server or a Pool needs to know.
type Config struct {
	// Self is this process's own identity, sent in the hello. Its Addr is not
	// sent.
	Self Identity
	// Allow reports whether a peer is believed: whether the settings or the
	// platform's list names it. Nil refuses everyone. It must not block.
	Allow func(Identity) bool
	// TLS is nil for plain TCP.
	TLS TLS
	// Dialer is used by a Pool. Nil means a *net.Dialer.
	Dialer Dialer
	// Limits bound what peers can cost. Zero fields take their defaults.
	Limits Limits
	// Log receives connection failures. Nil discards them.
	Log *slog.Logger
}

// withDefaults fills in what the configuration leaves open.
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

// Limits bound the memory, connections and time that peers can take. A field
// that is zero takes its default.
type Limits struct {
	// Frame is the largest frame sent or received, in bytes.
	Frame int
	// HelloFrame is the largest frame received before the hello, in bytes.
	HelloFrame int
	// Calls is the most calls in progress on one connection.
	Calls int
	// Connections is the most connections of a Server, or of a Pool.
	Connections int
	// QueueFrames and QueueBytes bound what waits to be written on one
	// connection.
	QueueFrames int
	QueueBytes  int
	// Dial bounds the TCP connect.
	Dial time.Duration
	// Hello bounds the TLS handshake and the hello exchange, each.
	Hello time.Duration
	// Call is the default and the longest time one call may take.
	Call time.Duration
	// Write bounds the writing of one frame; a peer that reads more slowly is
	// dropped.
	Write time.Duration
	// Read bounds the arrival of one frame after its first byte.
	Read time.Duration
	// Idle is how long a Server keeps a connection without frames. A Pool
	// closes its own after half of it, so that a call does not meet a
	// connection that the server is closing.
	Idle time.Duration
	// BackoffMin and BackoffMax bound the jittered pause between attempts to
	// reach one address.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Default limits.
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

// withDefaults replaces zero fields by their defaults.
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
