package modelcheck

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

var errTooHigh = errors.New("above 7")

// counter is a model whose steps add 1 or 3 to a number, up to top.
func counter(top int, check func(int) error) Model[int] {
	return Model[int]{
		Key: strconv.Itoa, Limit: 1000,
		Next: func(n int) []Step[int] {
			var steps []Step[int]
			for _, add := range []int{1, 3} {
				if n+add <= top {
					steps = append(steps, Step[int]{Name: "add " + strconv.Itoa(add), State: n + add, Violation: check(n + add)})
				}
			}
			return steps
		},
	}
}

func TestExploreVisitsEveryState(t *testing.T) {
	r := Explore(counter(10, func(int) error { return nil }))
	assert.Equal(t, r.States, 11)
	assert.Equal(t, r.Steps, 18)
	assert.Equal(t, r.Depth, 4)
	assert.Assert(t, r.Complete && r.Violation == nil)
}

func TestExploreFindsTheShortestWay(t *testing.T) {
	r := Explore(counter(10, func(n int) error {
		if n > 7 {
			return errTooHigh
		}
		return nil
	}))
	assert.Assert(t, errors.Is(r.Violation.Err, errTooHigh))
	assert.DeepEqual(t, r.Violation.Trace, []string{"add 3", "add 3", "add 3"})
}

func TestExploreStopsAtItsLimit(t *testing.T) {
	m := counter(10, func(int) error { return nil })
	m.Limit = 5
	r := Explore(m)
	assert.Equal(t, r.States, 5)
	assert.Assert(t, !r.Complete)
}
