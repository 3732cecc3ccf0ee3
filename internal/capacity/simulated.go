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
// see a fleet of full size. Each simulated instance has its own membership machine.
// Simulated instances exchange heartbeats with each other in memory, and with the
// real agents over the network.
type simulation struct {
	bed *bed

	mu    sync.Mutex
	nodes map[ident.InstanceID]*simulated
	order []*simulated
	// real holds the agent addresses of the real instances.
	real map[ident.InstanceID]string
}

// simulated is one simulated instance.
type simulated struct {
	id      ident.InstanceID
	zone    ident.Zone
	address string
	machine *membership.Machine
	pool    *peer.Pool
	// marks holds the fingerprint that each real instance sent last. It is echoed in
	// heartbeats to that instance, because a simulated instance never has a change to
	// propagate.
	marks map[ident.InstanceID]uint64
}

// Intervals and the call timeout of the simulation.
const (
	simTick   = 100 * time.Millisecond
	simGather = 3 * time.Second
	simCall   = 2 * time.Second
)

// addSimulated starts n simulated instances and adds them to listed.
func (b *bed) addSimulated(n int, listed *configservice.Instances) error {
	b.simulation = &simulation{bed: b, nodes: map[ident.InstanceID]*simulated{}, real: map[ident.InstanceID]string{}}
	for _, x := range b.nodes {
		b.simulation.real[x.id] = x.peers
	}
	for i := range n {
		place := len(b.nodes) + i
		s := &simulated{
			id: ident.InstanceID(fmt.Sprintf("entry-%03d", place)), zone: b.zone(place),
			address: b.ip(place) + ":9101", marks: map[ident.InstanceID]uint64{},
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
func (s *simulation) serve(x *simulated) error {
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
	s.bed.closers = append(s.bed.closers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(ctx)
		x.pool.Close()
	})
	s.nodes[x.id] = x
	s.order = append(s.order, x)
	return nil
}

// handle registers the methods that real agents call.
func (s *simulation) handle(srv *peer.Server, x *simulated) {
	peer.Handle(srv, wire.MethodHeartbeat, func(_ context.Context, from peer.Identity, hb wire.Heartbeat) (wire.Heartbeat, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		answer, err := x.machine.Receive(time.Now(), from.Instance, hb.Heartbeat)
		x.marks[from.Instance] = hb.Fingerprint
		return x.wire(from.Instance, answer), err
	})
	peer.Handle(srv, wire.MethodFloor, func(context.Context, peer.Identity, wire.Empty) (wire.Floor, error) {
		p := s.bed.publisher
		return wire.Floor{Ready: true, InForce: p.head.Ref(), Roll: p.roll}, nil
	})
	peer.Handle(srv, wire.MethodParts, func(_ context.Context, _ peer.Identity, r wire.PartsRequest) (wire.Parts, error) {
		return s.bed.publisher.give(r), nil
	})
}

// wire wraps a heartbeat in the fields that agents add to it.
func (x *simulated) wire(to ident.InstanceID, hb membership.Heartbeat) wire.Heartbeat {
	return wire.Heartbeat{Heartbeat: hb, Fingerprint: x.marks[to], Version: 1, PlatformAge: 1}
}

// begin applies the lists to all simulated instances and starts the simulation loop.
func (s *simulation) begin(instances *configservice.Instances, upstreams []configservice.Upstream) {
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
	s.bed.closers = append(s.bed.closers, func() {
		end()
		running.Wait()
	})
}

// run drives the simulated instances until ctx ends.
func (s *simulation) run(ctx context.Context) {
	ticker := time.NewTicker(simTick)
	defer ticker.Stop()
	var gathered time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		s.mu.Lock()
		if now.Sub(gathered) >= simGather {
			gathered = now
			s.gather(now)
		}
		for _, x := range s.order {
			s.act(ctx, now, x)
		}
		s.mu.Unlock()
	}
}

// gather has each simulated instance report the load of the upstreams that it polls.
func (s *simulation) gather(now time.Time) {
	for _, x := range s.order {
		for _, id := range x.machine.PolledUpstreams(now) {
			x.machine.UpstreamReport(now, now, id, simReport(now))
		}
	}
}

// act performs the actions that are due at a simulated instance.
func (s *simulation) act(ctx context.Context, now time.Time, x *simulated) {
	for _, d := range x.machine.Due(now) {
		address, isReal := s.real[d.To]
		switch {
		case d.Kind == membership.DueProbe:
			x.machine.PeerAnswered(now, now, d.To)
		case isReal:
			go s.call(ctx, now, x, d.To, address, x.wire(d.To, x.machine.Heartbeat(now, d.To)))
		default:
			s.exchange(now, x, s.nodes[d.To])
		}
	}
}

// exchange exchanges heartbeats between two simulated instances in memory.
func (s *simulation) exchange(now time.Time, x, to *simulated) {
	answer, err := to.machine.Receive(now, x.id, x.machine.Heartbeat(now, to.id))
	if err == nil {
		// The error is ignored: a machine accepts every heartbeat that another composes.
		_ = x.machine.HeartbeatAnswered(now, now, to.id, answer)
	}
}

// call exchanges heartbeats with a real agent over the network.
func (s *simulation) call(ctx context.Context, begun time.Time, x *simulated, to ident.InstanceID, address string, hb wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, simCall)
	defer cancel()
	answer, err := peer.Call[wire.Heartbeat](ctx, x.pool, address, wire.MethodHeartbeat, hb)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		x.machine.PeerFailed(now, begun, to, membership.ProcessAgent, membership.FailTimeout)
		return
	}
	x.marks[to] = answer.Fingerprint
	_ = x.machine.HeartbeatAnswered(now, begun, to, answer.Heartbeat)
}

// simIncarnation is the incarnation of every simulated engine.
const simIncarnation ident.Incarnation = 1_796_000_000_000

// simReportEvery is the interval between the load reports of a simulated engine.
const simReportEvery = 500 * time.Millisecond

// simReport returns the load report that every simulated engine gives at the time now.
func simReport(now time.Time) membership.Report {
	seq := uint32(now.UnixMilli() / simReportEvery.Milliseconds())
	return membership.Report{
		Incarnation: simIncarnation, Sequence: seq,
		Running: int(seq % 20), Slots: 20, PiecesUsed: int(seq % 200), QueuedTokens: int(seq%8) * 2000,
	}
}

// simEngine returns a handler that responds as an engine of which only the load changes.
func simEngine(place int) http.Handler {
	orders := fmt.Sprintf(`{"incarnation":%d,"role":%q,"models":[%q],"adapters":null,"version":"1","highest":1,"checks_fencing":true}`,
		simIncarnation, simRole(place), modelName)
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
				l.Sequence-1, time.Now().UnixMilli(), simIncarnation, simRole(place), modelName, l.Running, l.QueuedTokens, l.PiecesUsed)
		case "/v1/requests":
			fmt.Fprintf(w, `{"incarnation":%d,"role":%q,"requests":[]}`, simIncarnation, simRole(place))
		default:
			fmt.Fprint(w, orders)
		}
	})
}
