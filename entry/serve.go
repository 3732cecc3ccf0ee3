package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/entry/tickets"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/connlimit"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/plugin"
)

// servers holds the listeners of an entry and their servers.
type servers struct {
	callers   net.Listener
	http      *http.Server
	jsonrpc   []*jsonrpcServer
	peers     *jsonrpcServer
	feed      *jsonrpcServer
	operators *jsonrpcServer
}

// jsonrpcServer is a jsonrpc2 server and its listener.
type jsonrpcServer struct {
	listener net.Listener
	server   *peer.Server
}

// peerConfig returns the configuration of a jsonrpc2 server or pool.
func (e *Entry) peerConfig(allow func(peer.Identity) bool) peer.Config {
	return peer.Config{
		Self: peer.Identity{
			Instance:    e.self.Instance,
			Incarnation: e.self.Incarnation,
			Zone:        e.self.Zone,
		},
		Allow: allow,
		TLS:   e.security.peerTLS(),
		// A forwarded call with a ticket may last until its caller's deadline.
		Limits: peer.Limits{Call: intake.MaxDeadline},
		Log:    e.log,
	}
}

const (
	// maxFeedFrame is the maximum size of a frame from the agent. It holds the content of
	// the largest bundle as JSON.
	maxFeedFrame = 32 << 20
	// maxFeedConnections is enough for an agent and its replacement.
	maxFeedConnections = 4
)

// feedConfig returns the configuration of the agent's listener.
func (e *Entry) feedConfig() peer.Config {
	c := e.peerConfig(peering.LocalAgent(e.self.Instance))
	// The agent connects over loopback, so TLS is not needed.
	c.TLS = nil
	c.Limits.Frame = maxFeedFrame
	c.Limits.Connections = maxFeedConnections
	return c
}

// Listen opens all listeners of the settings. Its errors are those of net.Listen.
func (e *Entry) Listen() error {
	l, err := net.Listen("tcp", e.settings.Callers.Listen)
	if err != nil {
		return oops.In("entry").Wrapf(err, "listen for callers")
	}
	guard := connlimit.NewGuard(e.settings.Callers.Limits.connections(), e.recorder.countConnection)
	e.servers.callers = guard.Listener(l)
	e.servers.http = e.front.Server()
	guard.Configure(e.servers.http)
	e.servers.peers, err = e.listen(e.settings.Peers.Listen, e.peerConfig(e.addresses.Known))
	if err != nil {
		return oops.In("entry").Wrapf(err, "listen for peers")
	}
	e.servers.feed, err = e.listen(e.settings.Feed.Listen, e.feedConfig())
	if err != nil {
		return oops.In("entry").Wrapf(err, "listen for the agent")
	}
	e.servers.operators, err = e.listen(e.settings.Operators.Listen, e.peerConfig(e.isOperator))
	if err != nil {
		return oops.In("entry").Wrapf(err, "listen for operators")
	}
	e.registerMethods()
	return nil
}

// registerMethods registers the methods of each jsonrpc2 server.
func (e *Entry) registerMethods() {
	if s := e.servers.peers; s != nil {
		peering.HandleKernel(s.server, e.driver.Post)
		if e.dispatcher != nil {
			tickets.Handle(s.server, e.dispatcher)
		}
	}
	if s := e.servers.feed; s != nil {
		peering.HandleFeed(s.server, e)
	}
	if s := e.servers.operators; s != nil {
		peering.HandleOperators(s.server, e)
	}
}

// listen opens the listener of a jsonrpc2 server; it returns nil for an empty
// address.
func (e *Entry) listen(address string, c peer.Config) (*jsonrpcServer, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &jsonrpcServer{listener: l, server: peer.NewServer(c)}
	e.servers.jsonrpc = append(e.servers.jsonrpc, s)
	return s, nil
}

// isOperator reports whether the settings list the identity as an operator's.
func (e *Entry) isOperator(id peer.Identity) bool {
	for _, name := range e.settings.Operators.Names {
		if name == id.Instance {
			return true
		}
	}
	return false
}

// CallerAddress returns the address of the listener for callers, after Listen.
func (e *Entry) CallerAddress() string { return e.servers.callers.Addr().String() }

// address returns the address of the server's listener, "" if there is no server.
func (s *jsonrpcServer) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// PeerAddress returns the address of the listener for peers after Listen, "" if
// none is configured.
func (e *Entry) PeerAddress() string { return e.servers.peers.address() }

// FeedAddress returns the address of the listener for the agent after Listen, "" if
// none is configured.
func (e *Entry) FeedAddress() string { return e.servers.feed.address() }

// OperatorAddress returns the address of the listener for operators after Listen,
// "" if none is configured.
func (e *Entry) OperatorAddress() string { return e.servers.operators.address() }

// Serve runs the entry until ctx ends or a server fails, and then shuts it down. The
// shutdown is graceful if ctx ended. Serve returns nil if all requests in flight
// finished; if the shutdown timed out, the error includes a *StopError.
func (e *Entry) Serve(ctx context.Context) error {
	run, stopRun := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.driver.Run(run) })
	e.security.watch(run, &running)
	failed := make(chan error, 1+len(e.servers.jsonrpc))
	running.Go(func() { failed <- e.serveHTTP() })
	for _, s := range e.servers.jsonrpc {
		running.Go(func() { failed <- s.server.Serve(s.listener) })
	}
	err := e.startStaticIfSet()
	if err == nil {
		e.log.Info("serving", "instance", e.self.Instance, "zone", e.self.Zone,
			"callers", e.CallerAddress(), "peers", e.PeerAddress(),
			"feed", e.FeedAddress(), "operators", e.OperatorAddress())
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
	}
	stopErr := e.stop(err == nil)
	stopRun()
	if e.dispatcher != nil {
		e.dispatcher.Wait()
	}
	running.Wait()
	return errors.Join(err, stopErr, e.releaseResources())
}

// startStaticIfSet puts the static fleet into force if the settings have one.
func (e *Entry) startStaticIfSet() error {
	if e.settings.Static == nil {
		return nil
	}
	return e.startStatic()
}

// StopError reports that the shutdown timed out with requests in flight.
type StopError struct {
	// InFlight is the number of requests that had not finished.
	InFlight int
	Err      error
}

// Error implements error.
func (e *StopError) Error() string { return "shutdown timed out with requests in flight" }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// stop shuts the entry down in steps: it reports not ready, then refuses new
// requests, then waits for the requests in flight and for all cancellations.
func (e *Entry) stop(graceful bool) error {
	e.log.Info("stopping", "in_flight", e.inFlight.Load())
	e.notReady.Store(true)
	if graceful {
		time.Sleep(e.settings.Stop.Grace)
	}
	e.stopping.Store(true)
	e.front.Close()
	e.driver.Post(kernel.Stop{})
	if e.dispatcher != nil {
		e.dispatcher.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Stop.Timeout)
	defer cancel()
	// The HTTP server keeps running while requests are in flight, so that new requests
	// are answered with a refusal that tells callers to try another instance.
	err := e.driver.Quiesce(ctx)
	if shutErr := e.servers.http.Shutdown(ctx); err == nil {
		err = shutErr
	}
	for _, s := range e.servers.jsonrpc {
		if shutErr := s.server.Shutdown(ctx); err == nil {
			err = shutErr
		}
	}
	if err != nil {
		return &StopError{InFlight: int(e.inFlight.Load()), Err: err}
	}
	return nil
}

// releaseResources releases the resources that New created.
func (e *Entry) releaseResources() error {
	e.pool.Close()
	e.recorder.close()
	return errors.Join(
		e.closeMetrics(),
		plugin.Unload(e.settings.Engine, e.engine),
		plugin.Unload(e.settings.Service, e.service),
	)
}

var _ peering.Source = (*Entry)(nil)

// Instance returns the entry's instance ID.
func (e *Entry) Instance() ident.InstanceID { return e.self.Instance }
