package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/logs"
)

const (
	// orderCheckInterval is how often the stages of all engines are checked.
	orderCheckInterval = 500 * time.Millisecond
	// orderCooldown is the minimum time between two changes of the stages of a service's engines.
	// An engine serves nothing for about 6 s after an order, and the effect of the order must
	// show in the demand before the next one.
	orderCooldown = 12 * time.Second
	// orderWarmup is the minimum time between the first demand and the first order. The first
	// order depends only on the ratio of prefill work to memory use, which about ten requests
	// show. The sooner it is given, the fewer requests of an initial burst it affects.
	orderWarmup = 1500 * time.Millisecond
	// maxPeerResponseAge is the maximum age of the peers' responses for an order to be given, so
	// that an instance that may be partitioned gives none.
	maxPeerResponseAge = 1500 * time.Millisecond
	// orderTimeout bounds the sending of one order.
	orderTimeout = time.Second
	// leaseMargin is added to the lease. The former holder of the duty may believe for that
	// much longer that it still holds it.
	leaseMargin = 1500 * time.Millisecond
	// unjoinedOrderWait is how long an instance that has not joined the fleet must have seen no requests of
	// unknown instances at the engines before it gives orders. Each idle engine is polled once in this time.
	unjoinedOrderWait = (idlePollRounds + 2) * reportInterval
	// dutyStages is the name of the duty of assigning engines to stages.
	dutyStages = "stages"
)

// orderState holds the state of stage orders: the last fencing number that this instance used, and
// the times of the orders and the demand for each service.
type orderState struct {
	lastFence int64
	services  map[string]*serviceOrders
	// permit and allowed say whether instances that this one doesn't know may give orders.
	permit  permit
	allowed bool
}

// serviceOrders is the state of the stage orders of one service.
type serviceOrders struct {
	// since is when this instance could first have given an order, last is when it last gave
	// one.
	since, last time.Time
	// peaks tracks the peaks of the demand. All instances track them, because the duty may be
	// assigned to any of them.
	peaks schedule.Peaks
}

// service returns the state of a service and creates it if there is none.
func (s *orderState) service(service string) *serviceOrders {
	o := s.services[service]
	if o == nil {
		o = &serviceOrders{}
		s.services[service] = o
	}
	return o
}

// orderStages tracks the demand of all services until ctx ends, and orders engines to change their
// stage while this instance holds the duty to do so.
func (g *Service) orderStages(ctx context.Context) {
	state := &orderState{services: map[string]*serviceOrders{}}
	lease := time.Duration(g.settings.Orders.LeaseMS)*time.Millisecond + leaseMargin
	for pause.For(ctx, orderCheckInterval) {
		s := g.node.Snapshot()
		if !s.Ready() {
			continue
		}
		holdsDuty := g.mayOrder(state, lease) && !g.stopping() && g.node.IsFresh(s) && g.node.Holds(dutyStages, lease, maxPeerResponseAge)
		for name, service := range s.Table.Config().Services {
			if service.Engine == nil {
				continue
			}
			need, offered := g.observeDemand(state, name)
			if offered && holdsDuty {
				g.orderService(ctx, state, s, service, need)
			}
		}
	}
}

// permit says whether an instance that may not know all others gives orders.
type permit struct {
	// unknownSeen is when the instance first found that it had not joined the fleet, or later saw requests of
	// instances that it doesn't know; zero if it has joined.
	unknownSeen time.Time
}

// allows reports whether no instance that this one doesn't know gives orders: this one has joined the fleet, or the
// engines have not run requests of others for wait. unknownAt is when they last did; an instance without requests
// has no reason to give orders.
func (p *permit) allows(now time.Time, joined bool, unknownAt time.Time, wait time.Duration) bool {
	switch {
	case joined:
		p.unknownSeen = time.Time{}
		return true
	case p.unknownSeen.IsZero():
		p.unknownSeen = now
	case unknownAt.After(p.unknownSeen):
		p.unknownSeen = unknownAt
	}
	return now.Sub(p.unknownSeen) > wait
}

// mayOrder reports whether the instance may give orders as far as other instances are concerned.
func (g *Service) mayOrder(state *orderState, lease time.Duration) bool {
	unknownAt := g.scheduler.UnknownRequestsAt()
	if !g.ordersUnjoined() {
		// Only some of the engines are polled.
		unknownAt = clock.Now()
	}
	allowed := state.permit.allows(clock.Now(), g.node.Joined(), unknownAt, unjoinedOrderWait+lease)
	if allowed != state.allowed {
		state.allowed = allowed
		g.log.Info("permission to give orders", "allowed", allowed, "joined", g.node.Joined(), "unknown_requests_at", g.scheduler.UnknownRequestsAt())
	}
	return allowed
}

// ordersUnjoined reports whether the instance would give orders although it has not joined the fleet. It then polls
// all decode engines for requests of instances that it doesn't know.
func (g *Service) ordersUnjoined() bool {
	return g.node.LacksSeeds() && g.node.Holds(dutyStages, 0, maxPeerResponseAge)
}

// observeDemand records the current demand of a service and returns the demand to plan for. It
// returns false if there is no demand.
func (g *Service) observeDemand(state *orderState, service string) (schedule.Need, bool) {
	now := clock.Now()
	need := g.fleetDemand(now, service)
	if need.Memory <= 0 {
		return need, false
	}
	return state.service(service).peaks.Observe(now, need), true
}

// orderService orders engines of a service to change their stage if that improves the service
// enough. need is the demand to plan for.
func (g *Service) orderService(ctx context.Context, state *orderState, s *fleet.Snapshot, service routing.Service, need schedule.Need) {
	now := clock.Now()
	list := g.scheduler.WithPendingStages(now, s.Eligible(service.Name, nil, g.settings.regionOf))
	// The capacities are relative to the mean of the prefill engines.
	need.PrefillRate *= g.scheduler.MeanRelativeThroughput(now, list)
	need.Capacities = g.scheduler.EngineCapacities(now, list)
	o := state.service(service.Name)
	if o.since.IsZero() {
		o.since = now
	}
	if need.PrefillRate == 0 || now.Sub(o.since) < orderWarmup || now.Sub(o.last) < orderCooldown {
		return
	}
	for _, change := range schedule.PlanStages(list, service.Engine, need, g.scheduler.RequestCount) {
		o.last = now
		g.sendOrder(ctx, state, change)
	}
}

// fleetDemand returns the demand of a service, summed over all instances.
func (g *Service) fleetDemand(now time.Time, service string) schedule.Need {
	n := g.scheduler.Demand(now, service)
	d := g.node.PeerLoad().Demand[service]
	n.Prefill += d.PrefillRate
	n.Memory += d.MemoryRate
	n.Streams += d.StreamRate
	// The throughputs of all instances are combined, because one instance may have measured only
	// prompts that waited for others.
	n.Throughputs = n.Throughputs.Plus(d.Throughputs)
	n.PrefillRate = n.Throughputs.Rate()
	return n
}

// sendOrder sends one order to an engine and records that the engine is changing its stage, unless
// the engine rejected the order.
func (g *Service) sendOrder(ctx context.Context, state *orderState, c schedule.Switch) {
	// This must be the wall clock, because the fencing numbers of other instances are made of it
	// too.
	state.lastFence = nextFence(time.Now(), state.lastFence, g.settings.Instance)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.dialect.Order(ctx, dialect.Order{To: c.Engine, Stage: c.To, Holder: g.settings.Instance, Fence: state.lastFence})
	g.metrics.count("orders")
	g.log.Info("order", "upstream", c.Engine.ID, "stage", c.To, "fence", state.lastFence, "load_before", c.Before, "load_after", c.After, "error", logs.ErrorText(err))
	var status *dialect.StatusError
	var fenced *dialect.FencedError
	if !errors.As(err, &status) && !errors.As(err, &fenced) {
		// The engine accepted the order, or it may have done so although its response was lost.
		g.scheduler.RecordStageOrder(clock.Now(), c.Engine.ID, c.To)
	}
	if fenced != nil {
		// A newer holder of the duty has given orders, which take precedence.
		for _, o := range state.services {
			o.last = time.Time{}
		}
		g.log.Warn("order refused, another instance holds the duty", "fence", fenced.Fence)
	}
}

const (
	// fenceHolders is the number of values of the low part of a fencing number. The low part
	// identifies the holder of the duty, so that no two holders share a fencing number.
	fenceHolders = 1 << 16
)

// nextFence returns a fencing number greater than last. Its high part is the wall-clock time in
// seconds, so that a later holder's number is greater without shared state. Its low part
// identifies the holder.
func nextFence(now time.Time, last int64, holder ident.InstanceID) int64 {
	step := max(now.Unix(), last/fenceHolders+1)
	return step*fenceHolders + holderPart(holder)
}

// holderPart returns the low part of an instance's fencing numbers: the FNV-1a hash of its ID,
// folded to 16 bits.
func holderPart(id ident.InstanceID) int64 {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(id))
	h := hash.Sum32()
	return int64((h ^ h>>16) & (fenceHolders - 1))
}
