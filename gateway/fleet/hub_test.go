package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// loadOf is a load of so many requests and tokens at one engine.
func loadOf(requests int, memory ...int) Load {
	l := NewLoad()
	l.InFlight["e"] = InFlight{Requests: requests, Memory: memory}
	l.Demand["m"] = Demand{PrefillRate: float64(requests)}
	return l
}

// TestHubsAddUpToTheWhole: by way of its zone's hub each instance learns the load
// of all others, in its zone and elsewhere, and not its own.
func TestHubsAddUpToTheWhole(t *testing.T) {
	a, b := NewHub(), NewHub()
	a.Take(at(0), LoadReport{From: "a1", Zone: "a", Load: loadOf(1, 10, 20)})
	a.Take(at(0), LoadReport{From: "a2", Zone: "a", Load: loadOf(2, 100)})
	b.Take(at(0), LoadReport{From: "b1", Zone: "b", Load: loadOf(4, 1000, 2000, 3000)})
	a.Take(at(100), LoadReport{From: "b1", Zone: "b", Whole: true, Load: b.Zone(at(100), "")})
	for id, want := range map[ident.InstanceID]int{"a1": 6, "a2": 5, "": 7} {
		total := a.Total(at(200), id)
		assert.Equal(t, total.InFlight["e"].Requests, want)
		assert.Equal(t, total.Demand["m"].PrefillRate, float64(want))
	}
	assert.DeepEqual(t, a.Total(at(200), "").InFlight["e"].Memory, []int{1110, 2020, 3000})
}

// TestOldLoadsDontCount: of instances that died and zones that are cut off.
func TestOldLoadsDontCount(t *testing.T) {
	h := NewHub()
	h.Take(at(0), LoadReport{From: "a1", Zone: "a", Load: loadOf(1)})
	h.Take(at(0), LoadReport{From: "b1", Zone: "b", Whole: true, Load: loadOf(2)})
	h.Take(at(1000), LoadReport{From: "a2", Zone: "a", Load: loadOf(4)})
	assert.Equal(t, h.Total(at(2000), "").InFlight["e"].Requests, 4)
}

func TestEnginesOwnWordIsNotAddedUp(t *testing.T) {
	l := NewLoad()
	for _, n := range []int{300, 500, 200} {
		o := NewLoad()
		o.InFlight["e"] = InFlight{Unexplained: n}
		o.Refusing["e"] = int64(n)
		l.Add(o)
	}
	assert.Equal(t, l.InFlight["e"].Unexplained, 500)
	assert.Equal(t, l.Refusing["e"], int64(500))
}
