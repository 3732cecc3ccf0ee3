package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/peer"
)

// simulation runs simulated instances in this process, so that a few real agents
// see a fleet of full size. Each simulated instance has its own membership state machine.
// Simulated instances exchange heartbeats with each other in memory, and with the
// real agents over the network.
type simulation struct {
	fleet *fleet

	mu        sync.Mutex
	instances map[ident.InstanceID]*simulatedInstance
	order     []*simulatedInstance
	// realAddresses holds the agent addresses of the real instances.
	realAddresses map[ident.InstanceID]string
}

// simulatedInstance is one simulated instance.
type simulatedInstance struct {
	id      ident.InstanceID
	zone    ident.Zone
	address string
	machine *membership.Machine
	pool    *peer.Pool
	// fingerprints holds the fingerprint that each real instance sent last. It is echoed in
	// heartbeats to that instance, because a simulated instance never has a change to
	// propagate.
	fingerprints map[ident.InstanceID]uint64
}

// Intervals and the call timeout of the simulation.
const (
	simTick         = 100 * time.Millisecond
	simPollInterval = 3 * time.Second
	simCallTimeout  = 2 * time.Second
)

// addSimulated starts n simulated instances and adds them to listed.
func (b *fleet) addSimulated(n int, listed *configservice.Instances) error {
	b.simulation = &simulation{fleet: b, instances: map[ident.InstanceID]*simulatedInstance{}, realAddresses: map[ident.InstanceID]string{}}
	for _, x := range b.nodes {
		b.simulation.realAddresses[x.id] = x.peerAddress
	}
	for i := range n {
		position := len(b.nodes) + i
		s := &simulatedInstance{
			id: ident.InstanceID(fmt.Sprintf("entry-%03d", position)), zone: b.zone(position),
			address: b.ip(position) + ":9101", fingerprints: map[ident.InstanceID]uint64{},
		}
		if err := b.simulation.serve(s); err != nil {
			return err
		}
		listed.Instances = append(listed.Instances, configservice.Instance{
			ID: s.id, Zone: s.zone, Region: "region-1", State: configservice.StateLive,
			PeerAddress: s.address, AgentAddress: s.address, CallerAddress: s.address,
		})
	}
	return nil
}

// serve starts the peer server of a simulated instance.
func (s *simulation) serve(x *simulatedInstance) error {
	now := time.Now()
	cfg := peer.Config{
		Self:  peer.Identity{Instance: x.id, Incarnation: ident.NewIncarnation(now), Zone: x.zone},
		Allow: func(peer.Identity) bool { return true },
	}
	x.machine = membership.New(membership.Self{Instance: x.id, Zone: x.zone}, membership.Config{}, now)
	x.machine.SetSelf(now, membership.SelfState{Incarnation: cfg.Self.Incarnation})
	x.pool = peer.NewPool(cfg)
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	srv := peer.NewServer(cfg)
	s.handle(srv, x)
	go func() { _ = srv.Serve(l) }()
	s.fleet.cleanups = append(s.fleet.cleanups, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(ctx)
		x.pool.Close()
	})
	s.instances[x.id] = x
	s.order = append(s.order, x)
	return nil
}

// handle registers the methods that real agents call.
func (s *simulation) handle(srv *peer.Server, x *simulatedInstance) {
	peer.Handle(srv, wire.MethodHeartbeat, func(_ context.Context, from peer.Identity, hb wire.Heartbeat) (wire.Heartbeat, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		answer, err := x.machine.Receive(time.Now(), from.Instance, hb.Heartbeat)
		x.fingerprints[from.Instance] = hb.Fingerprint
		return x.wrapHeartbeat(from.Instance, answer), err
	})
	peer.Handle(srv, wire.MethodFloor, func(context.Context, peer.Identity, wire.Empty) (wire.Floor, error) {
		p := s.fleet.publisher
		return wire.Floor{Ready: true, InForce: p.head.Ref(), Roll: p.roll}, nil
	})
	peer.Handle(srv, wire.MethodParts, func(_ context.Context, _ peer.Identity, r wire.PartsRequest) (wire.Parts, error) {
		return s.fleet.publisher.partsReply(r), nil
	})
}

// wrapHeartbeat wraps a heartbeat in the fields that agents add to it.
func (x *simulatedInstance) wrapHeartbeat(to ident.InstanceID, hb membership.Heartbeat) wire.Heartbeat {
	return wire.Heartbeat{Heartbeat: hb, Fingerprint: x.fingerprints[to], Version: 1, PlatformAge: 1}
}

// start applies the lists to all simulated instances and starts the simulation loop.
func (s *simulation) start(instances *configservice.Instances, upstreams []configservice.Upstream) {
	now := time.Now()
	var il []membership.ListedInstance
	for _, i := range instances.Instances {
		il = append(il, membership.ListedInstance{ID: i.ID, Zone: i.Zone, Address: i.AgentAddress})
	}
	var ul []membership.ListedUpstream
	for _, u := range upstreams {
		ul = append(ul, membership.ListedUpstream{ID: u.ID, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation})
	}
	for _, x := range s.order {
		x.machine.ApplyInstanceList(now, now, 1, il)
		x.machine.ApplyUpstreamList(now, now, 1, ul)
	}
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.run(ctx) })
	s.fleet.cleanups = append(s.fleet.cleanups, func() {
		end()
		running.Wait()
	})
}

// run drives the simulated instances until ctx ends.
func (s *simulation) run(ctx context.Context) {
	ticker := time.NewTicker(simTick)
	defer ticker.Stop()
	var lastPoll time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		s.mu.Lock()
		if now.Sub(lastPoll) >= simPollInterval {
			lastPoll = now
			s.reportLoads(now)
		}
		for _, x := range s.order {
			s.performDue(ctx, now, x)
		}
		s.mu.Unlock()
	}
}

// reportLoads has each simulated instance report the load of the upstreams that it polls.
func (s *simulation) reportLoads(now time.Time) {
	for _, x := range s.order {
		for _, id := range x.machine.PolledUpstreams(now) {
			x.machine.UpstreamReport(now, now, id, simReport(now))
		}
	}
}

// performDue performs the actions that are due at a simulated instance.
func (s *simulation) performDue(ctx context.Context, now time.Time, x *simulatedInstance) {
	for _, d := range x.machine.Due(now) {
		address, isReal := s.realAddresses[d.To]
		switch {
		case d.Kind == membership.DueProbe:
			x.machine.PeerAnswered(now, now, d.To)
		case isReal:
			go s.call(ctx, now, x, d.To, address, x.wrapHeartbeat(d.To, x.machine.Heartbeat(now, d.To)))
		default:
			s.exchange(now, x, s.instances[d.To])
		}
	}
}

// exchange exchanges heartbeats between two simulated instances in memory.
func (s *simulation) exchange(now time.Time, x, to *simulatedInstance) {
	answer, err := to.machine.Receive(now, x.id, x.machine.Heartbeat(now, to.id))
	if err == nil {
		// The error is ignored: a membership state machine accepts every heartbeat that
		// another one composes.
		_ = x.machine.HeartbeatAnswered(now, now, to.id, answer)
	}
}

// call exchanges heartbeats with a real agent over the network.
func (s *simulation) call(ctx context.Context, begun time.Time, x *simulatedInstance, to ident.InstanceID, address string, hb wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, simCallTimeout)
	defer cancel()
	answer, err := peer.Call[wire.Heartbeat](ctx, x.pool, address, wire.MethodHeartbeat, hb)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		x.machine.PeerFailed(now, begun, to, membership.ProcessAgent, membership.FailTimeout)
		return
	}
	x.fingerprints[to] = answer.Fingerprint
	_ = x.machine.HeartbeatAnswered(now, begun, to, answer.Heartbeat)
}

// simIncarnation is the incarnation of every simulated engine.
const simIncarnation ident.Incarnation = 1_796_000_000_000

// simReportInterval is the interval between the load reports of a simulated engine.
const simReportInterval = 500 * time.Millisecond

// simReport returns the load report that every simulated engine gives at the time now.
func simReport(now time.Time) membership.Report {
	seq := uint32(now.UnixMilli() / simReportInterval.Milliseconds())
	return membership.Report{
		Incarnation: simIncarnation, Sequence: seq,
		Running: int(seq % 20), Slots: 20, PiecesUsed: int(seq % 200), QueuedTokens: int(seq%8) * 2000,
	}
}

// simEngine returns a handler that responds as an engine of which only the load changes.
func simEngine(position int) http.Handler {
	orders := fmt.Sprintf(`{"incarnation":%d,"role":%q,"models":[%q],"adapters":null,"version":"1","highest":1,"checks_fencing":true}`,
		simIncarnation, simRole(position), modelName)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := simReport(time.Now())
		w.Header().Set("endpoint-load-metrics", fmt.Sprintf(`JSON {"named_metrics":{"kv_cache_usage_perc":0.5,`+
			`"num_requests_waiting":0,"num_requests_running":%d,"slots":20,"waiting_tokens":%d,"pieces_used":%d,"pieces_total":200,`+
			`"draining":0,"seq":%d,"at_ms":%d,"incarnation":%d}}`,
			l.Running, l.QueuedTokens, l.PiecesUsed, l.Sequence, time.Now().UnixMilli(), simIncarnation))
		w.Header().Set("Content-Type", "application/json")
		switch r.URL.Path {
		case "/load":
			fmt.Fprintf(w, `{"seq":%d,"at_ms":%d,"incarnation":%d,"role":%q,"models":[%q],"running":%d,"waiting":0,"slots":20,`+
				`"waiting_tokens":%d,"pieces_used":%d,"pieces_total":200,"draining":false}`,
				l.Sequence-1, time.Now().UnixMilli(), simIncarnation, simRole(position), modelName, l.Running, l.QueuedTokens, l.PiecesUsed)
		case "/v1/requests":
			fmt.Fprintf(w, `{"incarnation":%d,"role":%q,"requests":[]}`, simIncarnation, simRole(position))
		default:
			fmt.Fprint(w, orders)
		}
	})
}
