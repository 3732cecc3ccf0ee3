package dispatch

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

// openReservation is a reservation that is still to be continued or released.
type openReservation struct {
	n  *node
	id ident.AttemptID
}

// machine applies random actions to a testBed.
type machine struct {
	b    *testBed
	open []openReservation
	// dead are the killed nodes, and version is the version of the newest view.
	dead    map[ident.InstanceID]bool
	version uint64
}

func (m *machine) node(t *rapid.T) *node {
	return m.b.nodes[rapid.IntRange(0, len(m.b.nodes)-1).Draw(t, "node")]
}

// place requests a placement for a random node, if the node runs and the model
// has a dispatcher.
func (m *machine) place(t *rapid.T) {
	n := m.node(t)
	if n.dead || n.frozen || !n.policy.Joint(testModel) {
		return
	}
	due := time.Duration(rapid.IntRange(100, 5000).Draw(t, "due")) * time.Millisecond
	m.open = append(m.open, openReservation{n, n.place(due)})
}

// advance does for one reservation what the kernel would do next.
func (m *machine) advance(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	h := m.open[i]
	if h.n.dead || h.n.frozen {
		return
	}
	switch last := h.n.last(h.id); last.kind {
	case "placed":
		h.n.record(h.id, answer{kind: "computing"})
		h.n.policy.Computed(h.id)
	case "decode":
		h.n.record(h.id, answer{kind: "decoding"})
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

// kill kills a node permanently, unless it is the last one, and gives all nodes
// a view in which it is dead.
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

// doubt gives one node a view in which a live node is dead, so that the nodes
// may use different dispatchers until agree is called.
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

// agree gives all nodes the same, correct view.
func (m *machine) agree(*rapid.T) {
	m.version++
	for _, n := range m.b.nodes {
		n.setView(m.version, m.dead)
	}
}

// cut makes messages from one random node to another fail.
func (m *machine) cut(t *rapid.T) {
	m.b.cut[[2]ident.InstanceID{m.node(t).self.Instance, m.node(t).self.Instance}] = true
}

func (m *machine) heal(*rapid.T) { m.b.cut = map[[2]ident.InstanceID]bool{} }

// checkSlots checks that no dispatcher has promised more than twice the slots
// and memory of an engine.
func (m *machine) checkSlots(t *rapid.T) {
	for _, n := range m.b.nodes {
		md, ok := n.policy.dispatchers[testModel]
		if !ok {
			continue
		}
		slots, pieces := map[ident.UpstreamID]int{}, map[ident.UpstreamID]int{}
		for _, gr := range md.grants {
			if gr.decode != "" && gr.holder != "" {
				slots[gr.decode]++
				pieces[gr.decode] += gr.ask.Pieces
			}
		}
		for _, u := range n.view.Upstreams {
			// Placements out of the holders' static shares are recorded through
			// renewals and may add at most the engine's size once more.
			if slots[u.ID] > 2*u.Spec.Slots || pieces[u.ID] > 2*u.Spec.Pieces {
				t.Fatalf("engine %s: %d slots and %d pieces promised, but it has %d and %d", u.ID, slots[u.ID], pieces[u.ID], u.Spec.Slots, u.Spec.Pieces)
			}
		}
	}
}

// settle ends all disturbances and all requests. It checks that every request
// was answered and that no holder or dispatcher keeps any state.
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
		if what := h.n.last(h.id).kind; what == "" || what == "computing" {
			t.Fatalf("reservation %s was never answered (last answer %q)", h.id, what)
		}
		h.n.policy.Release(h.id)
	}
	m.b.run(30 * time.Second)
	for _, n := range m.b.nodes {
		if n.dead {
			continue
		}
		if len(n.policy.holder.placements) != 0 {
			t.Fatalf("%s as holder keeps %d placements", n.self.Instance, len(n.policy.holder.placements))
		}
		for _, md := range n.policy.dispatchers {
			if len(md.grants)+len(md.waiting)+len(md.ready) != 0 {
				t.Fatalf("%s as dispatcher keeps %d placements, %d queued requests", n.self.Instance, len(md.grants), len(md.waiting))
			}
		}
	}
}

// TestInterleavings runs random interleavings of lost, repeated and reordered
// messages, freezes, kills and cuts. It checks that every placement request is
// answered, including the request for a decode slot after a prefill, that
// promises stay within bounds, and that no placement or queued request remains
// at the end.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{b: newTestBed(rapid.Uint64().Draw(t, "seed"), 3, 3, 24), dead: map[ident.InstanceID]bool{}, version: 1}
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
