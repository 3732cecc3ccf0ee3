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
	// settings modifies the settings of one life of an instance.
	settings func(s *Settings, life int)
	// preload is the preloaded roll of each life, nil if none.
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
	// warm makes every instance start ready, with the first roll.
	warm bool
	// stuck is set if instances need not converge, because the operators' last
	// version does not resolve their split.
	stuck bool
	// signedTwice is set if an approver signed two bundles of one version.
	signedTwice bool
}

// life is one run of an instance's process in the model, from its start to its
// replacement, with the history that the checks need.
type life struct {
	ledger *Ledger
	now    time.Time
	number int
	// owed holds, for each other instance that was ready when this life began and
	// has not been replaced since, the sequence of the roll it had then.
	owed []uint64
	// abandoned lists the versions that this life learned are abandoned before
	// they were in force on it.
	abandoned []uint64
	// fenceOwed is the upstream's highest fencing number when this life began.
	fenceOwed uint64
	// heard holds the answers of peers that are in flight to this life.
	heard []*FloorReport
	late  bool
}

// world is one state of the model: all instances, the platform and the upstream.
type world struct {
	lives     []*life
	published int
	restarts  int
	fence     uint64
}

// model generates the worlds of a scenario, with one guard disabled.
type model struct {
	scenario
	removed guard
	// only is the single promise to check; all are checked if it is empty.
	only    promise
	checker checker
}

func (m *model) start() *world {
	w := &world{published: m.published, restarts: m.restarts}
	for i := range m.zones {
		w.lives = append(w.lives, nil)
		w.lives[i] = m.birth(w, i, 0)
	}
	if m.warm {
		m.warmUp(w)
	}
	return w
}

// warmUp makes every instance read the first roll and the report of every peer.
// It does so twice, since no peer is ready the first time.
func (m *model) warmUp(w *world) {
	for range 2 {
		for _, v := range w.lives {
			v.ledger.Step(v.now, FloorReport{From: platform, Roll: m.rolls[0]})
			for _, other := range w.lives {
				v.ledger.Step(v.now, other.ledger.Report())
			}
		}
	}
}

// birth starts a new life of an instance.
func (m *model) birth(w *world, i, number int) *life {
	s := testSettings(ident.InstanceID(fmt.Sprintf("entry-%d", i)), m.zones[i])
	s.PauseGap = time.Hour
	if m.settings != nil {
		m.settings(&s, number)
	}
	l, err := New(s, epoch)
	if err != nil {
		panic(err)
	}
	l.removed, l.checker = m.removed, m.checker
	v := &life{ledger: l, now: epoch, number: number, fenceOwed: w.fence}
	v.heard = make([]*FloorReport, len(m.zones))
	v.owed = make([]uint64, len(m.zones))
	for j, other := range w.lives {
		if other != nil && j != i && other.ledger.Status() == StatusReady {
			v.owed[j] = other.ledger.roll.Roll.Sequence
		}
	}
	if m.preload != nil {
		l.Step(v.now, RollSeen{From: preload, Roll: m.preload})
	}
	l.Step(v.now, Roster{Sources: m.roster(i)})
	return v
}

func (m *model) isCut(i int) bool { return slices.Contains(m.cut, i) }

func (m *model) hasFencing(i int) bool { return m.fencing && m.zones[i] == m.zones[0] }

func (m *model) roster(i int) []Source {
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

// next lists the transitions from a world.
func (m *model) next(w *world) []modelcheck.Step[*world] {
	var steps []modelcheck.Step[*world]
	if w.published == len(m.rolls) && !m.stuck && (m.only == "" || m.only == converges) {
		if i, ok := m.converged(w); !ok {
			steps = append(steps, modelcheck.Step[*world]{Name: "everything is published and read", Broken: &brokenPromise{promise: converges, instance: i}})
		}
	}
	if w.published < len(m.rolls) {
		c := *w
		c.published++
		steps = append(steps, modelcheck.Step[*world]{Name: fmt.Sprintf("publish %s", rollName(m.rolls[w.published])), State: &c})
	}
	for i := range w.lives {
		steps = append(steps, m.reads(w, i)...)
		steps = append(steps, m.faults(w, i)...)
	}
	return steps
}

// reads lists the transitions in which an instance receives a document or report.
func (m *model) reads(w *world, i int) []modelcheck.Step[*world] {
	var steps []modelcheck.Step[*world]
	if !m.isCut(i) {
		steps = append(steps, m.event(w, i, "reads nothing from the platform", FloorReport{From: platform}))
		for _, r := range m.rolls[:w.published] {
			name := "reads from the platform " + rollName(r)
			steps = append(steps, m.event(w, i, name, FloorReport{From: platform, Roll: r}))
		}
		for j := range w.lives {
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
		steps = append(steps, m.event(w, i, "receives forged "+rollName(r), RollSeen{From: peer("thief"), Roll: r}))
	}
	return steps
}

// peerReads lists the transitions in which instance i receives the report of j:
// immediately, or with delayed set late and more than once.
func (m *model) peerReads(w *world, i, j int) []modelcheck.Step[*world] {
	report := w.lives[j].ledger.Report()
	if !m.delayed {
		return []modelcheck.Step[*world]{m.event(w, i, fmt.Sprintf("receives the report of entry-%d", j), report)}
	}
	asked := w.clone(i)
	asked.lives[i].heard[j] = &report
	steps := []modelcheck.Step[*world]{{Name: fmt.Sprintf("entry-%d sends its report to entry-%d", j, i), State: asked}}
	if late := w.lives[i].heard[j]; late != nil {
		steps = append(steps, m.event(w, i, fmt.Sprintf("receives the delayed report of entry-%d", j), *late))
	}
	return steps
}

// faults lists the timeouts and replacements of an instance.
func (m *model) faults(w *world, i int) []modelcheck.Step[*world] {
	var steps []modelcheck.Step[*world]
	v := w.lives[i]
	if len(m.cut) > 0 && !v.late && v.ledger.Status() == StatusStarting {
		c := w.clone(i)
		c.lives[i].late = true
		c.lives[i].now = v.now.Add(v.ledger.settings.StartTimeout)
		steps = append(steps, m.stepped(w, c, i, "reaches its timeout", Tick{}))
	}
	if w.restarts > 0 {
		steps = append(steps, modelcheck.Step[*world]{Name: fmt.Sprintf("entry-%d is replaced", i), State: m.replaced(w, i)})
	}
	return steps
}

// replaced starts a new life of instance i. The others are no longer required to
// know what the previous life knew.
func (m *model) replaced(w *world, i int) *world {
	c := *w
	c.restarts--
	c.lives = slices.Clone(w.lives)
	for j, other := range w.lives {
		if other.owed[i] != 0 {
			o := *other
			o.owed = slices.Clone(other.owed)
			o.owed[i] = 0
			c.lives[j] = &o
		}
	}
	c.lives[i] = m.birth(&c, i, w.lives[i].number+1)
	return &c
}

func (m *model) event(w *world, i int, name string, e Event) modelcheck.Step[*world] {
	return m.stepped(w, w.clone(i), i, name, e)
}

// stepped applies an event to instance i of w, a copy of old that it may modify,
// and checks every promise.
func (m *model) stepped(old, w *world, i int, name string, e Event) modelcheck.Step[*world] {
	v, before := w.lives[i], old.lives[i].ledger
	m.remember(v, e)
	actions := v.ledger.Step(v.now, e)
	broken := m.check(w, i, before, e, actions)
	if ref, _, ok := v.ledger.InForce(); ok && v.ledger.Status() == StatusReady && m.hasFencing(i) {
		// A ready instance gives its orders immediately, which raises the
		// upstream's fencing number.
		w.fence = max(w.fence, ref.Version)
	}
	return modelcheck.Step[*world]{Name: fmt.Sprintf("entry-%d %s", i, name), State: w, Broken: broken}
}

// remember records an abandoned version that the life learns of.
func (m *model) remember(v *life, e Event) {
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
	case RollSeen:
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
