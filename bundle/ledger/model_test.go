package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/modelcheck"
	"github.com/wardspool/wardspool/ident"
)

// The model runs real ledgers under every interleaving of the events that can
// reach them: stale, fresh, repeated and lost reads of the platform and of peers,
// forged documents, restarts, timeouts, and operators who publish one document at
// a time. Message loss needs no step of its own: it is covered by the
// interleavings in which the step is not taken.

// scenario holds the parameters of one model.
type scenario struct {
	name string
	// rolls are the rolls that operators publish, in order.
	rolls []*bundle.SignedRoll
	// forged are rolls that an attacker may send to any instance at any time.
	forged []*bundle.SignedRoll
	zones  []ident.Zone
	// settings modifies the settings of an incarnation with the given number.
	settings func(s *Settings, number int)
	// preload is the preloaded roll of each incarnation, nil if none.
	preload *bundle.SignedRoll
	// cut lists the instances that are partitioned from the platform and all
	// peers.
	cut []int
	// fencing adds an upstream that checks fencing numbers, to the first
	// instance's zone.
	fencing bool
	// delayed allows the answers of peers to arrive late and more than once.
	delayed bool
	// published is the number of rolls published at the start.
	published int
	// restarts bounds the total number of instance replacements.
	restarts int
	// startReady makes every instance start ready, with the first roll.
	startReady bool
	// mayDiverge is set if instances need not converge, because the operators' last
	// version does not resolve their split.
	mayDiverge bool
	// signedTwice is set if an approver signed two bundles of one version.
	signedTwice bool
}

// incarnation is one run of an instance's process in the model, from its start to its
// replacement, with the history that the checks need.
type incarnation struct {
	ledger *Ledger
	now    time.Time
	number int
	// peersFloor holds, for each other instance that was ready when this
	// incarnation started and has not been replaced since, the sequence of the
	// roll it had then.
	peersFloor []uint64
	// abandoned lists the versions that this incarnation learned are abandoned
	// before they were in force on it.
	abandoned []uint64
	// fenceFloor is the upstream's highest fencing number when this incarnation
	// started.
	fenceFloor uint64
	// inFlight holds the reports of peers that are in flight to this incarnation.
	inFlight []*FloorReport
	timedOut bool
}

// modelState is one state of the model: that of all instances, the platform and
// the upstream.
type modelState struct {
	incarnations []*incarnation
	published    int
	restarts     int
	fence        uint64
}

// model generates the states of a scenario, with one guard disabled.
type model struct {
	scenario
	disabledGuard guard
	// only is the single invariant to check; all are checked if it is empty.
	only    invariant
	checker checker
}

func (m *model) start() *modelState {
	w := &modelState{published: m.published, restarts: m.restarts}
	for i := range m.zones {
		w.incarnations = append(w.incarnations, nil)
		w.incarnations[i] = m.startIncarnation(w, i, 0)
	}
	if m.startReady {
		m.makeAllReady(w)
	}
	return w
}

// makeAllReady makes every instance read the first roll and the report of every
// peer. It does so twice, since no peer is ready the first time.
func (m *model) makeAllReady(w *modelState) {
	for range 2 {
		for _, v := range w.incarnations {
			v.ledger.Step(v.now, FloorReport{From: platform, Roll: m.rolls[0]})
			for _, other := range w.incarnations {
				v.ledger.Step(v.now, other.ledger.Report())
			}
		}
	}
}

// startIncarnation starts a new incarnation of instance i.
func (m *model) startIncarnation(w *modelState, i, number int) *incarnation {
	s := testSettings(ident.InstanceID(fmt.Sprintf("entry-%d", i)), m.zones[i])
	s.PauseThreshold = time.Hour
	if m.settings != nil {
		m.settings(&s, number)
	}
	l, err := New(s, epoch)
	if err != nil {
		panic(err)
	}
	l.disabledGuard, l.checker = m.disabledGuard, m.checker
	v := &incarnation{ledger: l, now: epoch, number: number, fenceFloor: w.fence}
	v.inFlight = make([]*FloorReport, len(m.zones))
	v.peersFloor = make([]uint64, len(m.zones))
	for j, other := range w.incarnations {
		if other != nil && j != i && other.ledger.Status() == StatusReady {
			v.peersFloor[j] = other.ledger.roll.Roll.Sequence
		}
	}
	if m.preload != nil {
		l.Step(v.now, RollReceived{From: preload, Roll: m.preload})
	}
	l.Step(v.now, SourceSet{Sources: m.sourceSet(i)})
	return v
}

func (m *model) isCut(i int) bool { return slices.Contains(m.cut, i) }

func (m *model) hasFencing(i int) bool { return m.fencing && m.zones[i] == m.zones[0] }

func (m *model) sourceSet(i int) []Source {
	sources := []Source{platform}
	for j := range m.zones {
		if j != i {
			sources = append(sources, peer(fmt.Sprintf("entry-%d", j)))
		}
	}
	if m.hasFencing(i) {
		sources = append(sources, engine)
	}
	return sources
}

// next lists the transitions from a state.
func (m *model) next(w *modelState) []modelcheck.Step[*modelState] {
	var steps []modelcheck.Step[*modelState]
	if w.published == len(m.rolls) && !m.mayDiverge && (m.only == "" || m.only == converges) {
		if i, ok := m.converged(w); !ok {
			steps = append(steps, modelcheck.Step[*modelState]{Name: "everything is published and read", Violation: &violation{invariant: converges, instance: i}})
		}
	}
	if w.published < len(m.rolls) {
		c := *w
		c.published++
		steps = append(steps, modelcheck.Step[*modelState]{Name: fmt.Sprintf("publish %s", rollName(m.rolls[w.published])), State: &c})
	}
	for i := range w.incarnations {
		steps = append(steps, m.reads(w, i)...)
		steps = append(steps, m.faults(w, i)...)
	}
	return steps
}

// reads lists the transitions in which an instance receives a document or report.
func (m *model) reads(w *modelState, i int) []modelcheck.Step[*modelState] {
	var steps []modelcheck.Step[*modelState]
	if !m.isCut(i) {
		steps = append(steps, m.event(w, i, "reads nothing from the platform", FloorReport{From: platform}))
		for _, r := range m.rolls[:w.published] {
			name := "reads from the platform " + rollName(r)
			steps = append(steps, m.event(w, i, name, FloorReport{From: platform, Roll: r}))
		}
		for j := range w.incarnations {
			if j != i && !m.isCut(j) {
				steps = append(steps, m.peerReads(w, i, j)...)
			}
		}
	}
	if m.hasFencing(i) {
		name := fmt.Sprintf("receives fencing number %d", w.fence)
		steps = append(steps, m.event(w, i, name, FloorReport{From: engine, Fence: w.fence}))
	}
	for _, r := range m.forged {
		steps = append(steps, m.event(w, i, "receives forged "+rollName(r), RollReceived{From: peer("thief"), Roll: r}))
	}
	return steps
}

// peerReads lists the transitions in which instance i receives the report of j:
// immediately or, if delayed is set, late and possibly more than once.
func (m *model) peerReads(w *modelState, i, j int) []modelcheck.Step[*modelState] {
	report := w.incarnations[j].ledger.Report()
	if !m.delayed {
		return []modelcheck.Step[*modelState]{m.event(w, i, fmt.Sprintf("receives the report of entry-%d", j), report)}
	}
	asked := w.clone(i)
	asked.incarnations[i].inFlight[j] = &report
	steps := []modelcheck.Step[*modelState]{{Name: fmt.Sprintf("entry-%d sends its report to entry-%d", j, i), State: asked}}
	if late := w.incarnations[i].inFlight[j]; late != nil {
		steps = append(steps, m.event(w, i, fmt.Sprintf("receives the delayed report of entry-%d", j), *late))
	}
	return steps
}

// faults lists the timeouts and replacements of an instance.
func (m *model) faults(w *modelState, i int) []modelcheck.Step[*modelState] {
	var steps []modelcheck.Step[*modelState]
	v := w.incarnations[i]
	if len(m.cut) > 0 && !v.timedOut && v.ledger.Status() == StatusStarting {
		c := w.clone(i)
		c.incarnations[i].timedOut = true
		c.incarnations[i].now = v.now.Add(v.ledger.settings.StartTimeout)
		steps = append(steps, m.applyEvent(w, c, i, "reaches its timeout", Tick{}))
	}
	if w.restarts > 0 {
		steps = append(steps, modelcheck.Step[*modelState]{Name: fmt.Sprintf("entry-%d is replaced", i), State: m.replaced(w, i)})
	}
	return steps
}

// replaced starts a new incarnation of instance i. The others are no longer
// required to know what the previous one knew.
func (m *model) replaced(w *modelState, i int) *modelState {
	c := *w
	c.restarts--
	c.incarnations = slices.Clone(w.incarnations)
	for j, other := range w.incarnations {
		if other.peersFloor[i] != 0 {
			o := *other
			o.peersFloor = slices.Clone(other.peersFloor)
			o.peersFloor[i] = 0
			c.incarnations[j] = &o
		}
	}
	c.incarnations[i] = m.startIncarnation(&c, i, w.incarnations[i].number+1)
	return &c
}

func (m *model) event(w *modelState, i int, name string, e Event) modelcheck.Step[*modelState] {
	return m.applyEvent(w, w.clone(i), i, name, e)
}

// applyEvent applies an event to instance i of w, a copy of old that it may modify,
// and checks every invariant.
func (m *model) applyEvent(old, w *modelState, i int, name string, e Event) modelcheck.Step[*modelState] {
	v, before := w.incarnations[i], old.incarnations[i].ledger
	m.recordAbandoned(v, e)
	actions := v.ledger.Step(v.now, e)
	violated := m.check(w, i, before, e, actions)
	if ref, _, ok := v.ledger.InForce(); ok && v.ledger.Status() == StatusReady && m.hasFencing(i) {
		// A ready instance gives its orders immediately, which raises the
		// upstream's fencing number.
		w.fence = max(w.fence, ref.Version)
	}
	return modelcheck.Step[*modelState]{Name: fmt.Sprintf("entry-%d %s", i, name), State: w, Violation: violated}
}

// recordAbandoned records an abandoned version that the incarnation learns of.
func (m *model) recordAbandoned(v *incarnation, e Event) {
	r := rollOf(e)
	if r == nil || r.Roll.Stage != bundle.StageAbandoned || m.checker.roll(r, v.ledger.approvers) != nil {
		return
	}
	version := r.Roll.Target.Version
	if v.ledger.inForceRef.Version < version && !slices.Contains(v.abandoned, version) {
		v.abandoned = append(v.abandoned, version)
	}
}

func rollOf(e Event) *bundle.SignedRoll {
	switch e := e.(type) {
	case RollReceived:
		return e.Roll
	case FloorReport:
		return e.Roll
	}
	return nil
}

func rollName(s *bundle.SignedRoll) string {
	r := &s.Roll
	return fmt.Sprintf("roll %d: %s %d/%.4s", r.Sequence, r.Stage, r.Target.Version, r.Target.Digest.String())
}
