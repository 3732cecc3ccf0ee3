package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/modelcheck"
	"github.com/wardspool/wardspool/ident"
)

// The model runs real ledgers under every interleaving of what can happen to
// them: stale, fresh, repeated and lost reads of the platform and of peers,
// forged documents, restarts, timeouts, and operators who publish step by step.
// Loss needs no step of its own: what is lost is a step not taken.

// scenario bounds one model.
type scenario struct {
	name string
	// rolls are the documents that operators publish, in order.
	rolls []*bundle.SignedRoll
	// forged are documents that an attacker may show to anyone at any time.
	forged []*bundle.SignedRoll
	zones  []ident.Zone
	// settings changes the settings of an instance's life.
	settings func(s *Settings, life int)
	// preload is given to each life at its start, if there is one.
	preload *bundle.SignedRoll
	// cut lists the instances that can reach neither the platform nor a peer.
	cut []int
	// fencing adds an upstream that checks fencing numbers, to the first
	// instance's zone.
	fencing bool
	// delayed lets a peer's answers arrive late and twice.
	delayed bool
	// published is how many rolls are published at the start.
	published int
	// restarts bounds how often instances are replaced, all together.
	restarts int
	// warm starts every instance ready, with the first roll.
	warm bool
	// stuck says that instances need not converge: the operators' last version
	// does not heal their split.
	stuck bool
	// signedTwice says that an approver signed two bundles of one version.
	signedTwice bool
}

// life is one instance's life in the model, with what the checks remember.
type life struct {
	ledger *Ledger
	now    time.Time
	number int
	// owed holds, for each other instance that was ready when this life began
	// and has been up since, the sequence of the roll it knew.
	owed []uint64
	// abandoned lists versions that this life was told are abandoned while they
	// were not in force on it.
	abandoned []uint64
	// fenceOwed is the fencing number that the upstream had seen at the start.
	fenceOwed uint64
	// heard holds the answers of peers on their way to this life.
	heard []*FloorReport
	late  bool
}

// world is one state of the model.
type world struct {
	lives     []*life
	published int
	restarts  int
	fence     uint64
}

// model makes worlds of a scenario, with one guard removed.
type model struct {
	scenario
	removed guard
	// only is the one promise to check, all if empty.
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

// warmUp lets every instance read the first roll and hear every peer, twice: at
// first no peer is ready.
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

// birth starts a life of an instance.
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

// next lists what can happen in a world.
func (m *model) next(w *world) []modelcheck.Step[*world] {
	var steps []modelcheck.Step[*world]
	if w.published == len(m.rolls) && !m.stuck && (m.only == "" || m.only == converges) {
		if i, ok := m.converged(w); !ok {
			steps = append(steps, modelcheck.Step[*world]{Name: "all is read", Broken: &brokenPromise{promise: converges, instance: i}})
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

// reads lists the reads that an instance can do.
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
		name := fmt.Sprintf("hears fencing number %d", w.fence)
		steps = append(steps, m.event(w, i, name, FloorReport{From: engine, Fence: w.fence}))
	}
	for _, r := range m.forged {
		steps = append(steps, m.event(w, i, "is shown forged "+rollName(r), RollSeen{From: peer("thief"), Roll: r}))
	}
	return steps
}

// peerReads lists how instance i can hear from j: at once, or late and twice.
func (m *model) peerReads(w *world, i, j int) []modelcheck.Step[*world] {
	report := w.lives[j].ledger.Report()
	if !m.delayed {
		return []modelcheck.Step[*world]{m.event(w, i, fmt.Sprintf("hears from entry-%d", j), report)}
	}
	asked := w.clone(i)
	asked.lives[i].heard[j] = &report
	steps := []modelcheck.Step[*world]{{Name: fmt.Sprintf("entry-%d answers entry-%d", j, i), State: asked}}
	if late := w.lives[i].heard[j]; late != nil {
		steps = append(steps, m.event(w, i, fmt.Sprintf("gets the answer of entry-%d", j), *late))
	}
	return steps
}

// faults lists the restarts and timeouts of an instance.
func (m *model) faults(w *world, i int) []modelcheck.Step[*world] {
	var steps []modelcheck.Step[*world]
	v := w.lives[i]
	if len(m.cut) > 0 && !v.late && v.ledger.Status() == StatusStarting {
		c := w.clone(i)
		c.lives[i].late = true
		c.lives[i].now = v.now.Add(v.ledger.settings.StartTimeout)
		steps = append(steps, m.stepped(w, c, i, "waits for its timeout", Tick{}))
	}
	if w.restarts > 0 {
		steps = append(steps, modelcheck.Step[*world]{Name: fmt.Sprintf("entry-%d is replaced", i), State: m.replaced(w, i)})
	}
	return steps
}

// replaced starts a new life of instance i. Nobody is owed what it knew.
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

// stepped gives an event to a life of w, which is a copy of old that may be
// changed, and checks every promise.
func (m *model) stepped(old, w *world, i int, name string, e Event) modelcheck.Step[*world] {
	v, before := w.lives[i], old.lives[i].ledger
	m.remember(v, e)
	actions := v.ledger.Step(v.now, e)
	broken := m.check(w, i, before, e, actions)
	if ref, _, ok := v.ledger.InForce(); ok && v.ledger.Status() == StatusReady && m.hasFencing(i) {
		// A ready instance gives its orders at once.
		w.fence = max(w.fence, ref.Version)
	}
	return modelcheck.Step[*world]{Name: fmt.Sprintf("entry-%d %s", i, name), State: w, Broken: broken}
}

// remember notes an abandoned version that the life is told of.
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
