package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestPrefillOutlivesItsDispatcher kills the dispatcher while a prefill runs. Its
// holder, be it the new dispatcher or not, gets a decode slot from the new one
// when the prefill is done, whether that has heard of the placement before by a
// renewal or not.
func TestPrefillOutlivesItsDispatcher(t *testing.T) {
	for name, until := range map[string]time.Duration{
		"before a renewal": 10 * time.Millisecond,
		"after a renewal":  3 * renewTime,
	} {
		for i := range 2 {
			t.Run(name, func(t *testing.T) {
				b := settled(1, 3, 20, 200)
				d := b.dispatcherNode()
				h := b.livingExcept(d)[i]
				id := h.place(10 * time.Second)
				b.run(10 * time.Millisecond)
				assert.Equal(t, h.last(id).what, "placed")
				d.dead = true
				for _, n := range b.nodes {
					n.setView(2, map[ident.InstanceID]bool{d.self.Instance: true})
					n.policy.refresh()
				}
				b.run(until)
				h.policy.Computed(id)
				b.run(300 * time.Millisecond)
				assert.Equal(t, h.last(id).what, "decode", "%s holds", h.self.Instance)
			})
		}
	}
}

// livingExcept are the nodes that live, but for one.
func (b *bed) livingExcept(out *node) []*node {
	var list []*node
	for _, n := range b.nodes {
		if n != out && !n.dead {
			list = append(list, n)
		}
	}
	return list
}
