package table

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestAgainstMap compares a table with a Go map while the indexes of the
// upstreams change.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got Table[int]
		want := map[ident.UpstreamID]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := ident.UpstreamID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
			u := &kernel.Upstream{ID: id, Index: rapid.IntRange(0, 7).Draw(t, "index")}
			if rapid.Bool().Draw(t, "delete") {
				got.Delete(id)
				delete(want, id)
				continue
			}
			*got.At(u)++
			want[id]++
			assert.Equal(t, *got.At(u), want[id])
		}
		for id, v := range want {
			assert.Equal(t, *got.Get(id), v)
		}
		assert.Equal(t, len(got.byID), len(want))
	})
}

func TestBounded(t *testing.T) {
	var got Table[int]
	for i := range 3 * maxEntries {
		got.At(&kernel.Upstream{ID: ident.UpstreamID(fmt.Sprint(i)), Index: i % 10})
	}
	assert.Assert(t, len(got.byID) <= maxEntries)
}
