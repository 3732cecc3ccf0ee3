package dispatch

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

// held is a reservation that the machine's kernels go on with.
type held struct {
	n  *node
	id ident.AttemptID
}

// machine drives a bed at random.
type machine struct {
	b    *bed
	open []held
	// dead are the killed nodes, version that of the newest view.
	dead    map[ident.InstanceID]bool
	version uint64
}

func (m *machine) node(t *rapid.T) *node {
	return m.b.nodes[rapid.IntRange(0, len(m.b.nodes)-1).Draw(t, "node")]
}

func (m *machine) place(t *rapid.T) {
	n := m.node(t)
	if n.dead || n.frozen || !n.policy.Joint(testModel) {
		return
	}
	due := time.Duration(rapid.IntRange(100, 5000).Draw(t, "due")) * time.Millisecond
	m.open = append(m.open, held{n, n.place(due)})
}

// advance does with one reservation what its kernel would do next.
func (m *machine) advance(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	h := m.open[i]
	if h.n.dead || h.n.frozen {
		return
	}
	switch last := h.n.last(h.id); last.what {
	case "placed":
		h.n.note(h.id, answer{what: "computing"})
		h.n.policy.Computed(h.id)
	case "decode":
		h.n.note(h.id, answer{what: "decoding"})
		h.n.policy.Started(h.id)
	case "decoding", "denied", "refused":
		h.n.policy.Release(h.id)
		m.open = append(m.open[:i:i], m.open[i+1:]...)
	}
}

func (m *machine) pass(t *rapid.T) {
	m.b.run(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) freeze(t *rapid.T) { m.node(t).frozen = true }

func (m *machine) thaw(t *rapid.T) {
	if n := m.node(t); n.frozen {
		n.thaw()
	}
}

// kill ends a node for good, unless it is the last one; the others learn of it.
func (m *machine) kill(t *rapid.T) {
	n := m.node(t)
	if n.dead || len(m.dead)+1 == len(m.b.nodes) {
		return
	}
	n.dead = true
	m.dead[n.self.Instance] = true
	m.version++
	for _, other := range m.b.nodes {
		other.setView(m.version, m.dead)
	}
}

// doubt gives one node a view in which another is dead that is not, so that they
// have different dispatchers for a while.
func (m *machine) doubt(t *rapid.T) {
	n, other := m.node(t), m.node(t)
	if n.dead || n == other {
		return
	}
	dead := maps.Clone(m.dead)
	dead[other.self.Instance] = true
	m.version++
	n.setView(m.version, dead)
	n.policy.refresh()
}

// agree gives all nodes the same, true view.
func (m *machine) agree(*rapid.T) {
	m.version++
	for _, n := range m.b.nodes {
		n.setView(m.version, m.dead)
	}
}

func (m *machine) cut(t *rapid.T) {
	m.b.cut[[2]ident.InstanceID{m.node(t).self.Instance, m.node(t).self.Instance}] = true
}

func (m *machine) heal(*rapid.T) { m.b.cut = map[[2]ident.InstanceID]bool{} }

// checkSlots checks that no dispatcher promises more than an engine has.
func (m *machine) checkSlots(t *rapid.T) {
	for _, n := range m.b.nodes {
		g, ok := n.policy.groups[testModel]
		if !ok {
			continue
		}
		slots, pieces := map[ident.UpstreamID]int{}, map[ident.UpstreamID]int{}
		for _, gr := range g.grants {
			if gr.decode != "" && gr.holder != "" {
				slots[gr.decode]++
				pieces[gr.decode] += gr.ask.Pieces
			}
		}
		for _, u := range n.view.Upstreams {
			// Holders' own static shares are entered by renewals and may come on
			// top, at most as much again.
			if slots[u.ID] > 2*u.Spec.Slots || pieces[u.ID] > 2*u.Spec.Pieces {
				t.Fatalf("%s: %d slots, %d pieces promised of %d, %d", u.ID, slots[u.ID], pieces[u.ID], u.Spec.Slots, u.Spec.Pieces)
			}
		}
	}
}

// settle ends all disturbances and all requests, and checks that every ask was
// answered and that no dispatcher keeps anything.
func (m *machine) settle(t *rapid.T) {
	m.b.loss, m.b.repeat = 0, 0
	m.heal(t)
	m.agree(t)
	for _, n := range m.b.nodes {
		if n.frozen {
			n.thaw()
		}
	}
	m.b.run(8 * time.Second)
	for _, h := range m.open {
		if h.n.dead {
			continue
		}
		if what := h.n.last(h.id).what; what == "" || what == "computing" {
			t.Fatalf("reservation %s was never answered (%q)", h.id, what)
		}
		h.n.policy.Release(h.id)
	}
	m.b.run(30 * time.Second)
	for _, n := range m.b.nodes {
		if n.dead {
			continue
		}
		if len(n.policy.holder.holdings) != 0 {
			t.Fatalf("%s still holds %d placements", n.self.Instance, len(n.policy.holder.holdings))
		}
		for _, g := range n.policy.groups {
			if len(g.grants)+len(g.waiting)+len(g.ready) != 0 {
				t.Fatalf("%s keeps %d placements, %d asks", n.self.Instance, len(g.grants), len(g.waiting))
			}
		}
	}
}

// TestInterleavings checks over random interleavings of losses, repetitions,
// reorderings, freezes, kills and cuts that every ask is answered, also that for a
// slot after a prefill, that promises stay within bounds and that nothing is left
// behind.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{b: newBed(rapid.Uint64().Draw(t, "seed"), 3, 3, 24), dead: map[ident.InstanceID]bool{}, version: 1}
		m.b.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		m.b.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
		m.b.jitter = time.Duration(rapid.IntRange(0, 50).Draw(t, "jitter")) * time.Millisecond
		t.Repeat(map[string]func(*rapid.T){
			"place":    m.place,
			"place2":   m.place,
			"advance":  m.advance,
			"advance2": m.advance,
			"pass":     m.pass,
			"freeze":   m.freeze,
			"kill":     m.kill,
			"thaw":     m.thaw,
			"cut":      m.cut,
			"doubt":    m.doubt,
			"agree":    m.agree,
			"heal":     m.heal,
			"":         m.checkSlots,
		})
		m.settle(t)
	})
}
