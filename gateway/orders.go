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
	// orderInterval is how often stages are looked at.
	orderInterval = 500 * time.Millisecond
	// orderPause is the least time between two orders to a service's engines: an
	// engine is out for some 6 s after one, and demand has to show what it gained.
	orderPause = 12 * time.Second
	// orderWarmup is how long after the first demand the first order may follow.
	// Only the ratio of prefill to memory matters for it, which some ten requests
	// show; the sooner the order, the less of a first burst it meets.
	orderWarmup = 1500 * time.Millisecond
	// orderFresh is how old the peers' answers may be for an order: nothing is ordered by
	// an instance that may be cut off.
	orderFresh = 1500 * time.Millisecond
	// orderTimeout bounds the sending of one order.
	orderTimeout = time.Second
	// leaseMargin is added to the lease that a former holder may still believe in.
	leaseMargin = 1500 * time.Millisecond
	// dutyStages names the duty of ordering stages.
	dutyStages = "stages"
)

// orderBook remembers the orders that this instance gave and what they rest on.
type orderBook struct {
	lastFence int64
	services  map[string]*serviceOrders
}

// serviceOrders are what is remembered of one service.
type serviceOrders struct {
	// since is when this instance could first have ordered, last when it last did.
	since, last time.Time
	// peaks are those of the demand; all instances follow them, since the duty may
	// fall to any.
	peaks schedule.Peaks
}

// of returns what is remembered of a service.
func (b *orderBook) of(service string) *serviceOrders {
	o := b.services[service]
	if o == nil {
		o = &serviceOrders{}
		b.services[service] = o
	}
	return o
}

// giveOrders looks after the engines' stages until ctx ends, while that falls to
// this instance.
func (g *Service) giveOrders(ctx context.Context) {
	b := &orderBook{services: map[string]*serviceOrders{}}
	lease := time.Duration(g.settings.Orders.LeaseMS)*time.Millisecond + leaseMargin
	for pause.For(ctx, orderInterval) {
		s := g.node.Snapshot()
		if !s.Ready() {
			continue
		}
		may := !g.stopping() && g.node.Current(s) && g.node.Holds(dutyStages, lease, orderFresh)
		for name, service := range s.Table.Config().Services {
			if service.Engine == nil {
				continue
			}
			need, known := g.observe(b, name)
			if known && may {
				g.order(ctx, b, s, service, need)
			}
		}
	}
}

// observe follows the demand of a service and returns the one to plan for; false while
// there is none.
func (g *Service) observe(b *orderBook, service string) (schedule.Need, bool) {
	now := clock.Now()
	need := g.need(now, service)
	if need.Memory <= 0 {
		return need, false
	}
	return b.of(service).peaks.Observe(now, need), true
}

// order changes engines' stages if that is worth it.
func (g *Service) order(ctx context.Context, b *orderBook, s *fleet.Snapshot, service routing.Service, need schedule.Need) {
	now := clock.Now()
	list := g.books.Staged(now, s.Eligible(service.Name, nil, g.settings.regionOf))
	need.PrefillRate *= g.books.MeanRelativePace(now, list)
	o := b.of(service.Name)
	if o.since.IsZero() {
		o.since = now
	}
	if need.PrefillRate == 0 || now.Sub(o.since) < orderWarmup || now.Sub(o.last) < orderPause {
		return
	}
	for _, change := range schedule.PlanStages(list, service.Engine, need, g.books.Busy) {
		o.last = now
		g.send(ctx, b, change)
	}
}

// need adds up the demand of all instances.
func (g *Service) need(now time.Time, service string) schedule.Need {
	n := g.books.Demand(now, service)
	d := g.node.Others().Demand[service]
	n.Prefill += d.PrefillRate
	n.Memory += d.MemoryRate
	n.Streams += d.StreamRate
	// One instance alone may have seen only prompts that waited for others.
	n.Paces = n.Paces.Plus(d.Paces)
	n.PrefillRate = n.Paces.Rate()
	return n
}

// send gives one order.
func (g *Service) send(ctx context.Context, b *orderBook, c schedule.Switch) {
	// The time of day: other instances' numbers are made of it.
	b.lastFence = nextFence(time.Now(), b.lastFence, g.settings.Instance)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.dialect.Order(ctx, dialect.Order{To: c.Engine, Stage: c.To, Holder: g.settings.Instance, Fence: b.lastFence})
	g.metrics.count("orders")
	g.log.Info("order", "upstream", c.Engine.ID, "stage", c.To, "fence", b.lastFence, "load_before", c.Before, "load_after", c.After, "error", logs.ErrorText(err))
	var status *dialect.StatusError
	var fenced *dialect.FencedError
	if !errors.As(err, &status) && !errors.As(err, &fenced) {
		// Without an answer the order may have been accepted all the same.
		g.books.Switching(clock.Now(), c.Engine.ID, c.To)
	}
	if fenced != nil {
		// A newer holder has ordered: its orders stand.
		for _, o := range b.services {
			o.last = time.Time{}
		}
		g.log.Warn("order refused, another instance holds the duty", "fence", fenced.Fence)
	}
}

const (
	// fenceOwners is how many values of the low part tell holders apart, so that no
	// two share a fencing number.
	fenceOwners = 1 << 16
)

// nextFence returns a fencing number above last: seconds of the time of day, so
// that a later holder's is higher without shared state, and the holder's own low
// part.
func nextFence(now time.Time, last int64, holder ident.InstanceID) int64 {
	step := max(now.Unix(), last/fenceOwners+1)
	return step*fenceOwners + ownerPart(holder)
}

// ownerPart hashes an instance's name (FNV-1a, folded to 16 bits).
func ownerPart(id ident.InstanceID) int64 {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(id))
	h := hash.Sum32()
	return int64((h ^ h>>16) & (fenceOwners - 1))
}
