package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
	"github.com/wardspool/wardspool/report"
)

// fault is a fault of the instance that is the first engine's grantor.
type fault string

const (
	noFault fault = "none"
	killed  fault = "killed"
	frozen  fault = "frozen"
	cutOff  fault = "cut off"
)

// cell is one configuration to be measured. It gives one row of a table.
type cell struct {
	policy    policy
	workload  *workload
	instances int
	// scale multiplies the workload's number of engines.
	scale int
	// load is the rate of requests relative to the capacity of the decode slots.
	load  float64
	fault fault
	// overdeclare makes requests declare a larger output than they have.
	overdeclare bool
}

const (
	slots = 20
	// warmUp is the simulated time before the measured period.
	warmUp = 30 * time.Second
	// coolDown is the simulated time after the measured period, in which
	// requests that arrived in that period can still be counted.
	coolDown = 5 * time.Second
	// faultAt is the time from the start of the measured period to the fault.
	faultAt = 10 * time.Second
	// freezeTime and cutTime are how long an instance is frozen or cut off.
	freezeTime = 10 * time.Second
	cutTime    = 20 * time.Second
	// The notice constants are the times after which an instance's view shows
	// another instance as dead, unreachable or live again. A random time of up
	// to noticeSpread is added.
	noticeDead        = 2 * time.Second
	noticeUnreachable = 3 * time.Second
	noticeBack        = 1 * time.Second
	noticeSpread      = 1 * time.Second
	zones             = 3
	loadEvery         = 1 * time.Second
	loadLag           = 500 * time.Millisecond
	networkDelay      = 1 * time.Millisecond
	networkJitter     = 1 * time.Millisecond
)

// engines returns the number of decode engines.
func (c *cell) engines() int { return c.workload.decodes * c.scale }

// counts are the numbers of requests and prefills in a run, and the waiting
// times for a slot.
type counts struct {
	offered, onTime, late, prefills, wasted int
	waits                                   *report.Hist
}

// figures are the results of a run.
type figures struct {
	utilisation, goodput, wasted  float64
	waitMedian, waitTail          time.Duration
	messages, bytes, bytesPerNode float64
}

// run is one run of one cell.
type run struct {
	cell     cell
	world    *slottest.World
	clients  []*client
	count    counts
	engineOf map[ident.AttemptID]*slottest.Engine
	running  map[ident.AttemptID]*slottest.Engine
	pool     pool
	// arrivals is the random source of the workload. Nothing else uses it, so
	// that all policies are offered the same requests.
	arrivals *rand.Rand
	until    time.Time
	// counting is set during the measured period.
	counting bool
	// next is the index of the client that gets the next request.
	next int
}

// measure runs one cell with one seed and returns the figures of the measured
// period, which lasts for duration.
func measure(c cell, seed uint64, duration time.Duration) figures {
	r := &run{
		cell: c,
		world: slottest.NewWorld(slottest.Options{
			Seed: seed, Instances: c.instances, Engines: c.engines(), Zones: zones,
			Slots: slots, Pieces: c.workload.pieces,
			Network:   slottest.Network{Delay: networkDelay, Jitter: networkJitter},
			Policy:    c.policy.make,
			LoadEvery: loadEvery, LoadLag: loadLag,
		}),
		engineOf: map[ident.AttemptID]*slottest.Engine{},
		running:  map[ident.AttemptID]*slottest.Engine{},
		arrivals: rand.New(rand.NewPCG(seed, 0)),
		pool:     newPool(c.workload.prefills * c.scale),
	}
	r.until = slottest.Epoch.Add(warmUp + duration + coolDown)
	for _, n := range r.world.Nodes {
		r.clients = append(r.clients, newClient(r, n))
	}
	r.count.waits = report.NewHist()
	r.arriveNext()
	r.world.Run(warmUp)
	r.reset()
	r.world.After(faultAt, r.startFault)
	r.world.Run(duration)
	f := r.systemFigures(duration)
	r.counting = false
	r.world.Run(coolDown)
	r.addOutcomes(&f)
	return f
}

// countMeasured increments a counter if the request arrived in the measured
// period.
func (r *run) countMeasured(q *request, counter *int) {
	if q.counted {
		*counter++
	}
}

// reset clears all counters and starts the measured period.
func (r *run) reset() {
	r.counting = true
	r.count = counts{waits: report.NewHist()}
	r.world.Traffic = slottest.Traffic{ByKind: map[string]int{}}
	for _, e := range r.world.Engines {
		e.Busy()
		e.Refused = 0
	}
}

// arriveNext schedules the arrival of the next request, and the one after it in
// turn. The gaps are exponentially distributed. Instances get requests in turn
// (see nextClient).
func (r *run) arriveNext() {
	rate := r.cell.load * float64(r.cell.engines()*slots) / r.cell.workload.slotTime.Seconds()
	gap := time.Duration(r.arrivals.ExpFloat64() / rate * float64(time.Second))
	r.world.After(gap, func() {
		if r.world.Now().After(r.until) {
			return
		}
		q := r.cell.workload.draw(r.arrivals, r.world.Now(), r.cell.overdeclare)
		q.counted = r.counting
		r.countMeasured(q, &r.count.offered)
		if c := r.nextClient(); c != nil {
			c.arrive(q)
		}
		r.arriveNext()
	})
}

// nextClient returns the next instance, in turn, that is neither killed nor
// frozen, or nil if there is none. It simulates the load balancer.
func (r *run) nextClient() *client {
	for range r.clients {
		c := r.clients[r.next%len(r.clients)]
		r.next++
		if !c.node.Killed() && !c.node.Frozen() {
			return c
		}
	}
	return nil
}

// victim returns the client of the instance that is the first engine's grantor.
func (r *run) victim() *client {
	n := r.clients[0].node
	var roster slotkit.Roster
	roster.Update(n.View(), n.Self())
	id := roster.Grantor(n.Upstream(r.world.Engines[0].ID))
	for _, c := range r.clients {
		if c.node.ID() == id {
			return c
		}
	}
	return r.clients[0]
}

// startFault starts the cell's fault and schedules its end and its effect on
// the views.
func (r *run) startFault() {
	v := r.victim()
	switch r.cell.fault {
	case killed:
		v.node.Kill()
		v.cleanUpDead()
		r.updateOtherViews(v, kernel.Dead, noticeDead)
	case frozen:
		v.node.Freeze()
		r.updateOtherViews(v, kernel.Unreachable, noticeUnreachable)
		r.world.After(freezeTime, func() {
			v.node.Thaw()
			r.updateOtherViews(v, kernel.Live, noticeBack)
		})
	case cutOff:
		for _, c := range r.clients {
			if c != v {
				r.world.Cut(c.node, v.node)
			}
		}
		r.updateOtherViews(v, kernel.Unreachable, noticeUnreachable)
		r.updateOwnView(v, kernel.Unreachable, noticeUnreachable)
		r.world.After(cutTime, func() {
			r.world.RemoveCuts()
			r.updateOtherViews(v, kernel.Live, noticeBack)
			r.updateOwnView(v, kernel.Live, noticeBack)
		})
	}
}

// updateOtherViews sets v's state in the views of all other instances, in each
// after its own random delay.
func (r *run) updateOtherViews(v *client, liveness kernel.Liveness, after time.Duration) {
	for _, c := range r.clients {
		if c != v {
			r.world.After(r.spread(after), func() { c.node.SetLivenessInView(v.node, liveness) })
		}
	}
}

// updateOwnView sets the state of all other instances in v's view, each after
// its own random delay.
func (r *run) updateOwnView(v *client, liveness kernel.Liveness, after time.Duration) {
	for _, c := range r.clients {
		if c != v {
			r.world.After(r.spread(after), func() { v.node.SetLivenessInView(c.node, liveness) })
		}
	}
}

// spread returns d plus a random time of up to noticeSpread.
func (r *run) spread(d time.Duration) time.Duration {
	return d + time.Duration(r.world.Rand.Int64N(int64(noticeSpread)))
}

// systemFigures returns the figures for the engines' utilisation and for the
// messages of the measured period.
func (r *run) systemFigures(duration time.Duration) figures {
	busy := time.Duration(0)
	for _, e := range r.world.Engines {
		busy += e.Busy()
	}
	messages := float64(r.world.Traffic.Messages)
	bytes := float64(r.world.Traffic.Bytes)
	return figures{
		utilisation:  busy.Seconds() / (duration.Seconds() * float64(r.cell.engines()*slots)),
		messages:     messages / float64(max(r.count.offered, 1)),
		bytes:        bytes / math.Max(messages, 1),
		bytesPerNode: bytes / duration.Seconds() / float64(r.cell.instances),
	}
}

// addOutcomes sets the figures for the outcomes and waiting times of the
// requests.
func (r *run) addOutcomes(f *figures) {
	f.goodput = float64(r.count.onTime) / float64(max(r.count.offered, 1))
	f.wasted = float64(r.count.wasted) / float64(max(r.count.prefills, 1))
	f.waitMedian = r.count.waits.Quantile(50)
	f.waitTail = r.count.waits.Quantile(95)
}
