package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/standin/perf"
)

// world is the complete state of one run.
type world struct {
	cell  Cell
	clock clock
	rng   *rand.Rand
	// content is the content of the active bundle, version its version.
	content *config.Content
	version uint64
	spec    *workload.Spec
	net     *network
	checker *checker
	feeds   *feeds
	callers *callers
	// ideal, if set, replaces the instances.
	ideal     *idealScheduler
	instances []*instance
	backends  map[ident.UpstreamID]backend
	// upstreamOrder lists the upstreams in the bundle's order.
	upstreamOrder []ident.UpstreamID
	// prefillsByHandle maps the handle of a prefill result to its attempt.
	prefillsByHandle map[string]*attempt
	// cancelled contains the attempts that were cancelled, so that one that
	// arrives after its cancel is rejected.
	cancelled map[ident.AttemptID]bool
	// platformDown is set while the platform's list is not updated.
	platformDown bool
	// recoveredAt is the time at which a partition, a freeze or an outage of the
	// platform's list last ended.
	recoveredAt time.Duration
	viewVersion uint64
	// replaceActions, if set, replaces the actions of the kernels. Tests use it
	// to show that the checker detects violations.
	replaceActions func(kernel.Action) []kernel.Action
	// declaredOutput, if set, returns the output length that a caller declares in
	// place of the true one.
	declaredOutput func(l *logicalRequest) int
}

// streamWorld separates the random stream of the world from others with the same
// seed.
const streamWorld = 0x776f726c64

// newWorld sets up the run of a cell.
func newWorld(cell Cell, d *Deployment) (*world, error) {
	content, err := d.policyContent(cell.Policy)
	if err != nil {
		return nil, err
	}
	w := &world{
		cell:             cell,
		rng:              rand.New(rand.NewPCG(cell.Seed, streamWorld)),
		content:          content,
		version:          1,
		spec:             d.Spec,
		net:              newNetwork(d.CrossZone),
		backends:         map[ident.UpstreamID]backend{},
		prefillsByHandle: map[string]*attempt{},
		cancelled:        map[ident.AttemptID]bool{},
	}
	w.checker = &checker{w: w}
	w.feeds = &feeds{w: w}
	w.callers = newCallers(w, d.capacity())
	for _, spec := range content.Upstreams {
		w.addBackend(d, spec)
	}
	if cell.Policy == PolicyIdeal {
		w.ideal = newIdeal(w)
		return w, nil
	}
	return w, w.addInstances(d)
}

// addBackend adds the simulation of one upstream.
func (w *world) addBackend(d *Deployment, spec config.Upstream) {
	u := upstream{spec: spec, zone: d.zoneOf(spec.ID), incarnation: 1, alive: true}
	params := engineParams(w.content, spec)
	var b backend
	switch spec.Role {
	case config.RolePrefill:
		b = newPrefillEngine(w, u, params)
	case config.RoleDecode:
		b = newDecodeEngine(w, u, params)
	default:
		b = newServiceRunner(w, u)
	}
	w.backends[spec.ID] = b
	w.upstreamOrder = append(w.upstreamOrder, spec.ID)
}

// engineParams returns an engine's parameters for the performance model.
func engineParams(c *config.Content, spec config.Upstream) perf.Params {
	p := perf.Params{
		Slots:                  spec.Slots,
		Pieces:                 spec.Pieces,
		PieceTokens:            1,
		PrefillTokensPerSecond: spec.PrefillTokensPerSecond,
		LinkBytesPerSecond:     spec.LinkBytesPerSecond,
		DecodeStep:             spec.DecodeStep,
		DecodeStepPerRequest:   spec.DecodeStepPerRequest,
		KVLifetime:             c.Policy.KVLifetime,
	}
	for _, m := range c.Models {
		if len(spec.Models) > 0 && m.Name == spec.Models[0] {
			p.PieceTokens = m.PieceTokens
			p.KVBytesPerToken = m.KVBytesPerToken
		}
	}
	return p
}

// addInstances starts the entry instances, distributed over the zones.
func (w *world) addInstances(d *Deployment) error {
	for i := range w.cell.Instances {
		zone := d.Zones[i%len(d.Zones)]
		id := ident.InstanceID(string(zone) + "-entry-" + string(rune('a'+i)))
		w.instances = append(w.instances, &instance{id: id, zone: zone})
	}
	for _, inst := range w.instances {
		if err := w.startProcess(inst); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) instance(id ident.InstanceID) *instance {
	for _, inst := range w.instances {
		if inst.id == id {
			return inst
		}
	}
	return nil
}

// delay returns the one-way delay between two zones; it is 0 for the ideal
// scheduler.
func (w *world) delay(a, b ident.Zone) time.Duration {
	if w.ideal != nil {
		return 0
	}
	return w.net.delay(a, b)
}

// clientDelay returns the one-way delay to a caller; it is 0 for the ideal
// scheduler.
func (w *world) clientDelay() time.Duration {
	if w.ideal != nil {
		return 0
	}
	return clientDelay
}

// jitter returns a random addition to a message's delay, so that messages can
// overtake each other.
func (w *world) jitter() time.Duration {
	if w.cell.Jitter == 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.cell.Jitter)))
}

// send sends an attempt to its upstream.
func (w *world) send(a *attempt) {
	if a.role == config.RolePrefill {
		w.prefillsByHandle[a.id.String()] = a
	}
	up := a.upstream.base()
	from := a.owner.location()
	notSent := kernel.AttemptFailed{
		Attempt: a.id, Evidence: kernel.NotSent, Code: kernel.FailureConnect, Offset: a.startOffset,
	}
	if !w.net.connected(from, up.zone) {
		w.clock.after(dialTimeout, func() { a.owner.receive(notSent) })
		return
	}
	delay := w.delay(from, up.zone)
	w.clock.after(delay+w.jitter(), func() {
		switch {
		case a.disconnected:
			// The zones were partitioned meanwhile; the owner learns of it by
			// its time-out.
		case !up.alive:
			w.clock.after(delay, func() { a.owner.receive(notSent) })
		default:
			w.arrive(a)
		}
	})
}

// arrive passes an attempt to its upstream.
func (w *world) arrive(a *attempt) {
	a.incarnation = a.upstream.base().incarnation
	if w.cancelled[a.id] {
		w.report(a, *newRefusal(a, kernel.FailureRejected))
		return
	}
	if failure := a.upstream.accept(a); failure != nil {
		w.report(a, *failure)
	}
}

// report delivers an event about an attempt to its owner, preceded by the
// upstream's load where the response has headers for it.
func (w *world) report(a *attempt, ev kernel.Event) {
	up := a.upstream.base()
	load := kernel.LoadReported{Upstream: up.spec.ID, Load: a.upstream.load()}
	_, done := ev.(kernel.AttemptDone)
	inBand := !done || a.role == config.RoleService
	w.clock.after(w.delay(up.zone, a.owner.location()), func() {
		if a.disconnected {
			return
		}
		if inBand {
			a.owner.receive(load)
		}
		a.recordProgress(ev)
		a.owner.receive(ev)
	})
}

// recordProgress records how much of its output the submission has received.
func (a *attempt) recordProgress(ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.AttemptDone:
		a.sub.delivered = e.Tokens
	case kernel.AttemptFailed:
		a.sub.delivered = max(a.sub.delivered, e.Offset)
	}
}

// reportBroken tells an attempt's owner that the connection broke.
func (w *world) reportBroken(a *attempt) {
	w.breakConnection(a, w.delay(a.upstream.base().zone, a.owner.location()))
}

// breakConnection breaks the connection of an attempt; its owner notices after
// the given time.
func (w *world) breakConnection(a *attempt, noticed time.Duration) {
	if a.disconnected {
		return
	}
	a.disconnect()
	failed := kernel.AttemptFailed{
		Attempt:  a.id,
		Evidence: kernel.Ambiguous,
		Code:     kernel.FailureBroken,
		Offset:   a.receivedTokens,
	}
	w.clock.after(noticed, func() {
		a.sub.delivered = max(a.sub.delivered, a.receivedTokens)
		a.owner.receive(failed)
	})
}

// cancel sends a cancel to an upstream and returns its response.
func (w *world) cancel(from *process, id ident.AttemptID, to ident.UpstreamID) {
	b := w.backends[to]
	up := b.base()
	failed := func() { from.receive(kernel.CancelFailed{Attempt: id}) }
	if !w.net.connected(from.inst.zone, up.zone) {
		w.clock.after(dialTimeout, failed)
		return
	}
	delay := w.delay(from.inst.zone, up.zone)
	w.clock.after(delay+w.jitter(), func() {
		if !up.alive {
			w.clock.after(delay, failed)
			return
		}
		w.cancelled[id] = true
		b.cancel(id)
		w.clock.after(delay, func() { from.receive(kernel.CancelAcked{Attempt: id}) })
	})
}

// run runs the cell to its end. It returns a *FaultError if a fault doesn't
// exist, and a *PolicyError if the kernel rejects the policy.
func (w *world) run() error {
	if err := w.scheduleFaults(); err != nil {
		return err
	}
	w.feeds.start()
	w.callers.start()
	w.checker.start()
	if w.ideal == nil && !w.cell.retriesBlindly() {
		w.sweep()
	}
	w.clock.run(w.cell.Warmup + w.cell.Duration + drainTime)
	w.checker.checkFinal()
	if w.checker.rejected != nil {
		return &PolicyError{Name: w.cell.Policy, Err: w.checker.rejected}
	}
	return nil
}

// drainTime is how long a run continues after the last arrival: the longest
// deadline plus the time within which everything held must be released.
const drainTime = 60*time.Second + leakGrace + 5*time.Second
