package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/plugin"
)

// servers holds the agent's listeners and their servers.
type servers struct {
	peers     *server
	operators *server
	metrics   *metricsServer
}

// server is a JSON-RPC 2.0 server with its listener.
type server struct {
	listener net.Listener
	rpc      *peer.Server
}

// address returns the listener's address, "" if there is none.
func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// peerConfig returns the configuration of connections to and from agents.
func (a *Agent) peerConfig(allow func(peer.Identity) bool) peer.Config {
	return peer.Config{
		Self: a.self, Allow: allow, TLS: a.options.TLS, Dialer: a.options.Dialer, Log: a.log,
		Limits: peer.Limits{Frame: peerFrame, BackoffMax: peerBackoff},
	}
}

// Listen opens the configured addresses. Errors are those of the listener.
func (a *Agent) Listen() error {
	var err error
	a.servers.peers, err = a.listen(a.settings.Peers.Listen, a.isKnown)
	if err != nil {
		return oops.In("agent").Wrapf(err, "listen for peers")
	}
	a.handlePeers(a.servers.peers.rpc)
	if err := a.listenForMetrics(); err != nil {
		return err
	}
	if a.settings.Operators.Listen == "" {
		return nil
	}
	a.servers.operators, err = a.listen(a.settings.Operators.Listen, a.isOperator)
	if err != nil {
		return oops.In("agent").Wrapf(err, "listen for operators")
	}
	a.handleStatus(a.servers.operators.rpc)
	return nil
}

// listen opens an address and creates its server.
func (a *Agent) listen(address string, allow func(peer.Identity) bool) (*server, error) {
	l, err := a.options.Listen(address)
	if err != nil {
		return nil, err
	}
	return &server{listener: l, rpc: peer.NewServer(a.peerConfig(allow))}, nil
}

// handlePeers registers the methods for other agents.
func (a *Agent) handlePeers(s *peer.Server) {
	peer.Handle(s, wire.MethodHeartbeat, func(ctx context.Context, from peer.Identity, hb wire.Heartbeat) (wire.Heartbeat, error) {
		type result struct {
			answer wire.Heartbeat
			err    error
		}
		r, err := callLoop(ctx, a, func() result {
			answer, err := a.handleHeartbeat(from.Instance, hb)
			return result{answer, err}
		})
		if err != nil {
			return wire.Heartbeat{}, err
		}
		return r.answer, r.err
	})
	a.handleRelay(s)
}

// PeerAddress returns the address of the listener for peers after Listen.
func (a *Agent) PeerAddress() string { return a.servers.peers.address() }

// OperatorAddress returns the address of the listener for operators' tools after
// Listen, "" if none is configured.
func (a *Agent) OperatorAddress() string { return a.servers.operators.address() }

// MetricsAddress returns the address of the listener for metrics after Listen, ""
// if none is configured.
func (a *Agent) MetricsAddress() string { return a.servers.metrics.address() }

// listeners is the maximum number of listeners.
const listeners = 3

// Serve runs the agent until ctx ends and then stops it. It returns an error if a
// listener failed.
func (a *Agent) Serve(ctx context.Context) error {
	loop, endLoop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	failed := make(chan error, listeners)
	running.Go(func() { a.run(loop) })
	if a.tls != nil {
		running.Go(func() { a.tls.Run(loop) })
	}
	a.post(a.start)
	for _, s := range []*server{a.servers.peers, a.servers.operators} {
		if s != nil {
			running.Go(func() { failed <- s.rpc.Serve(s.listener) })
		}
	}
	if m := a.servers.metrics; m != nil {
		running.Go(func() { failed <- m.serve() })
	}
	a.log.Info("serving", "instance", a.self.Instance, "zone", a.self.Zone,
		"peers", a.PeerAddress(), "operators", a.OperatorAddress(), "metrics", a.MetricsAddress(), "feed", a.settings.Entry.Feed)
	var err error
	select {
	case <-ctx.Done():
		a.leave()
	case err = <-failed:
	}
	a.shutdown(endLoop, &running)
	return err
}

// start runs on the loop before any other work.
func (a *Agent) start() {
	a.loadPreload()
	a.refreshPlatform()
	a.updateSourceSet()
}

// mayServe reports whether the entry may serve.
func (a *Agent) mayServe() bool { return a.ledger.Status() != ledger.StatusStarting }

// shutdownTimeout limits the wait for calls in progress at shutdown.
const shutdownTimeout = 2 * time.Second

// shutdown stops the servers, the loop, the calls and the clients.
func (a *Agent) shutdown(endLoop context.CancelFunc, running *sync.WaitGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var errs error
	for _, s := range []*server{a.servers.peers, a.servers.operators} {
		if s != nil {
			errs = errors.Join(errs, s.rpc.Shutdown(ctx))
		}
	}
	if a.servers.metrics != nil {
		errs = errors.Join(errs, a.servers.metrics.http.Shutdown(ctx))
	}
	if errs != nil {
		a.log.Info("calls in progress cut off at shutdown", "error", errs)
	}
	a.endCalls()
	endLoop()
	running.Wait()
	a.calls.Wait()
	a.peers.Close()
	a.feedPool.Close()
	a.engines.Close()
	if err := plugin.Unload(a.settings.Platform.Adapter, a.platformAdapter); err != nil {
		a.log.Info("cannot close the platform adapter", "error", err)
	}
}
