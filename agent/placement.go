package agent

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/agent/engines"
	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/orders"
	"github.com/wardspool/wardspool/peer"
)

// minConfirmGap is the minimum time between two rounds of asking peers which
// bundle is in force on them.
const minConfirmGap = 2 * time.Second

// orderState is the loop's state of giving placement orders.
type orderState struct {
	// queriedAt is when peers were last asked which bundle is in force on them.
	queriedAt time.Time
}

// runOrders reads the engines that the planner requests.
func (a *Agent) runOrders() {
	wake, ok := a.orderPlanner.NextWake()
	if !ok || a.now.Before(wake) {
		return
	}
	for _, id := range a.orderPlanner.Tick(a.now) {
		a.readOrders(id)
	}
}

// readOrders reads an engine's state and passes it to the planner.
func (a *Agent) readOrders(id ident.UpstreamID) {
	a.counters.OrderReads++
	address := a.directory.upstreams[id].Address
	a.spawn(func(ctx context.Context) {
		s, err := a.engines.ReadOrders(ctx, address)
		if err != nil {
			return
		}
		a.post(func() { a.observeEngine(id, s) })
	})
}

// observeEngine passes an engine's state to the planner and carries out its
// decision. An instance that cannot tell whether its bundle is the newest gives
// no order.
func (a *Agent) observeEngine(id ident.UpstreamID, s engines.OrderState) {
	if a.ledger.Status() != ledger.StatusReady {
		return
	}
	o := orders.Observation{
		Incarnation: s.Incarnation,
		Placement:   placement(s.Placement),
		Highest:     s.Highest,
	}
	if s.Loading != nil {
		loading := placement(s.Loading.Placement)
		o.Loading = &loading
	}
	if u := a.findUpstream(id); u != nil {
		o.Running = u.Report.Running
	}
	d := a.orderPlanner.Observe(a.now, id, o)
	a.applyDecision(d)
	spec := a.spec(id)
	if d.Order == nil && !spec.ChecksFencing && !o.Placement.Equal(orders.Desired(&spec)) {
		a.queryVersions()
	}
}

// placement converts an engine's placement to the planner's form.
func placement(p engines.Placement) orders.Placement {
	return orders.NewPlacement(p.Role, p.Models, p.Adapters, p.Version)
}

// applyDecision carries out the planner's decision and logs each order.
func (a *Agent) applyDecision(d orders.Decision) {
	if r := d.Record; r != nil {
		a.log.Info("placement", "upstream", r.Upstream, "step", string(r.Step), "reason", string(r.Reason),
			"bundle_version", r.Bundle, "want", r.Want, "seen", r.Seen, "highest_fence", r.Highest,
			"running", r.Running, "waited", r.Waited.String())
	}
	if h := d.Hint; h != nil {
		// Look for the hinted version at the platform, where all versions are
		// published.
		a.readKey(configservice.KeyRoll)
	}
	if d.Order != nil {
		a.giveOrder(*d.Order)
	}
}

// giveOrder sends an order to an engine. The planner verifies it by reading the
// engine's state.
func (a *Agent) giveOrder(o orders.Order) {
	a.counters.Orders++
	address := a.directory.upstreams[o.Upstream].Address
	order := engines.Order{Fence: o.Fence, Placement: engines.Placement{
		Role: o.Placement.Role, Models: o.Placement.Models, Adapters: o.Placement.Adapters, Version: o.Placement.Version,
	}}
	a.spawn(func(ctx context.Context) {
		if !o.NotAfter.IsZero() && clock.Now().After(o.NotAfter) {
			a.post(func() { a.log.Info("placement order withheld", "upstream", o.Upstream, "reason", "too late") })
			return
		}
		s, err := a.engines.SendOrder(ctx, address, order)
		a.post(func() { a.handleOrderResult(o, s, err) })
	})
}

// handleOrderResult handles the result of an order.
func (a *Agent) handleOrderResult(o orders.Order, s engines.OrderState, err error) {
	var call *engines.CallError
	switch {
	case err == nil:
		a.log.Info("placement order taken", "upstream", o.Upstream, "fence", o.Fence, "highest_fence", s.Highest)
	case errors.As(err, &call) && call.Code == engines.CodeStaleFence:
		a.counters.OrdersRefused++
		a.applyDecision(a.orderPlanner.Refused(a.now, o.Upstream, call.Highest))
	default:
		a.log.Info("placement order failed", "upstream", o.Upstream, "fence", o.Fence, "error", err)
	}
}

// queryVersions asks the peers of the zone which bundle is in force on them. An
// engine that does not check fencing numbers gets orders only while most peers
// confirm the bundle in force here, and heartbeats reach only some instances of a
// large zone.
func (a *Agent) queryVersions() {
	if a.now.Sub(a.orders.queriedAt) < minConfirmGap {
		return
	}
	a.orders.queriedAt = a.now
	for _, in := range a.currentView().Instances {
		address := a.directory.instances[in.ID].agent
		if in.Zone != a.self.Zone || !presumedAlive(in) || address == "" {
			continue
		}
		a.queryVersion(in.ID, address)
	}
}

// queryVersion asks a peer which bundle is in force on it.
func (a *Agent) queryVersion(id ident.InstanceID, address string) {
	started := a.now
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		got, err := peer.Call[wire.InForce](ctx, a.peers, address, wire.MethodInForce, wire.Empty{}, peer.Expect(id, 0))
		if err != nil {
			return
		}
		a.post(func() { a.orderPlanner.PeerInForce(started, id, got.Version) })
	})
}
