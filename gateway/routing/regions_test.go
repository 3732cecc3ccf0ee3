package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRegionsIntersect(t *testing.T) {
	assert.Assert(t, Regions(nil).Intersect(nil) == nil)
	assert.DeepEqual(t, Regions{"a"}.Intersect(nil), Regions{"a"})
	assert.DeepEqual(t, Regions(nil).Intersect(Regions{"b"}), Regions{"b"})
	assert.DeepEqual(t, Regions{"a", "b"}.Intersect(Regions{"b", "c"}), Regions{"b"})
	none := Regions{"a"}.Intersect(Regions{"b"})
	assert.Assert(t, none != nil && !none.Allow("a") && !none.Allow(""))
	assert.Assert(t, Regions(nil).Allow("a"))
}
