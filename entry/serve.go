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
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/plugin"
)

// servers are the listeners of an entry and what serves them.
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
		// A forwarded ticket's call lasts as long as its caller waits.
		Limits: peer.Limits{Call: intake.MaxDeadline},
		Log:    e.log,
	}
}

const (
	// feedFrame is the largest frame from the agent: the content of the largest
	// bundle, as JSON.
	feedFrame = 32 << 20
	// feedConnections is enough for an agent and its successor.
	feedConnections = 4
)

// feedConfig returns the configuration of the agent's listener.
func (e *Entry) feedConfig() peer.Config {
	c := e.peerConfig(peering.LocalAgent(e.self.Instance))
	// Loopback only.
	c.TLS = nil
	c.Limits.Frame = feedFrame
	c.Limits.Connections = feedConnections
	return c
}

// Listen opens all addresses of the settings. Errors are those of net.Listen.
func (e *Entry) Listen() error {
	l, err := net.Listen("tcp", e.settings.Callers.Listen)
	if err != nil {
		return oops.In("entry").Wrapf(err, "listen for callers")
	}
	e.servers.callers = limitConnections(l, e.settings.Callers.Limits.Connections)
	e.servers.http = e.front.Server()
	e.servers.peers, err = e.listen(e.settings.Peers.Listen, e.peerConfig(e.book.Known))
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
	e.handleAll()
	return nil
}

// handleAll registers the methods of each server.
func (e *Entry) handleAll() {
	if s := e.servers.peers; s != nil {
		peering.HandleKernel(s.server, e.driver.Post)
		if e.desk != nil {
			tickets.Handle(s.server, e.desk)
		}
	}
	if s := e.servers.feed; s != nil {
		peering.HandleFeed(s.server, e)
	}
	if s := e.servers.operators; s != nil {
		peering.HandleOperators(s.server, e)
	}
}

// listen opens a jsonrpc2 server, none for an empty address.
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

// isOperator reports whether the settings name an operator's identity.
func (e *Entry) isOperator(id peer.Identity) bool {
	for _, name := range e.settings.Operators.Names {
		if name == id.Instance {
			return true
		}
	}
	return false
}

// CallerAddress returns the address callers reach, after Listen.
func (e *Entry) CallerAddress() string { return e.servers.callers.Addr().String() }

// address returns a server's address, "" if it has none.
func (s *jsonrpcServer) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// PeerAddress, FeedAddress and OperatorAddress return the addresses of the
// jsonrpc2 listeners after Listen, "" for those not configured.
func (e *Entry) PeerAddress() string     { return e.servers.peers.address() }
func (e *Entry) FeedAddress() string     { return e.servers.feed.address() }
func (e *Entry) OperatorAddress() string { return e.servers.operators.address() }

// Serve runs the entry until ctx ends and then shuts it down gracefully. It
// returns nil when every request in flight was finished, and a *StopError
// otherwise.
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
	err := e.begin()
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
	if e.desk != nil {
		e.desk.Wait()
	}
	running.Wait()
	return errors.Join(err, stopErr, e.cleanUp())
}

// begin brings a static fleet into force, if there is one.
func (e *Entry) begin() error {
	if e.settings.Static == nil {
		return nil
	}
	return e.startStatic()
}

// StopError reports a shutdown that cut off requests.
type StopError struct {
	// InFlight is how many requests were not finished.
	InFlight int
	Err      error
}

// Error implements error.
func (e *StopError) Error() string { return "shutdown timed out with requests in flight" }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// stop ends the service: not ready first, then no new requests, then the end of
// those in flight and of all cancels.
func (e *Entry) stop(graceful bool) error {
	e.log.Info("stopping", "in_flight", e.inFlight.Load())
	e.notReady.Store(true)
	if graceful {
		time.Sleep(e.settings.Stop.Grace)
	}
	e.stopping.Store(true)
	e.front.Close()
	e.driver.Post(kernel.Stop{})
	if e.desk != nil {
		e.desk.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Stop.Timeout)
	defer cancel()
	// Until all in flight is finished, newcomers are told to go elsewhere.
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

// cleanUp ends what Serve did not start.
func (e *Entry) cleanUp() error {
	e.pool.Close()
	e.recorder.close()
	return errors.Join(
		e.close(),
		plugin.Unload(e.settings.Engine, e.engine),
		plugin.Unload(e.settings.Service, e.service),
	)
}

var _ peering.Source = (*Entry)(nil)

// Instance returns the entry's ID.
func (e *Entry) Instance() ident.InstanceID { return e.self.Instance }
