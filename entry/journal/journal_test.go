package journal

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

func TestRing(t *testing.T) {
	j := New(4)
	for i := range 6 {
		j.Add(kernel.Record{Request: ident.RequestID(fmt.Sprint(i % 3)), Offset: i})
	}
	assert.Equal(t, len(j.Find("0")), 1)
	assert.Equal(t, j.Find("0")[0].Offset, 3)
	two := j.Find("2")
	assert.Equal(t, len(two), 2)
	assert.Equal(t, two[0].Offset, 2, "oldest first")
	assert.Equal(t, two[1].Offset, 5)
	assert.Equal(t, len(j.Find("9")), 0)
}

// TestPresentations: the records of a run are found by the ID of each request
// that presented the ticket, and the presentations by the run's ID.
func TestPresentations(t *testing.T) {
	j := New(8)
	j.Add(kernel.Record{Request: "run-1"})
	j.Add(kernel.Record{Request: "other"})
	for _, id := range []ident.RequestID{"mine", "mine", "second"} {
		j.Present(Presentation{Request: id, Run: "run-1"})
	}
	assert.Equal(t, len(j.Find("mine")), 1)
	assert.Equal(t, len(j.Find("second")), 1)
	assert.Equal(t, len(j.Find("run-1")), 1)
	assert.Equal(t, len(j.Presentations("mine")), 2)
	assert.Equal(t, len(j.Presentations("run-1")), 3)
	for range 4 {
		j.Present(Presentation{Request: "later", Run: "run-2"})
	}
	assert.Equal(t, len(j.Presentations("mine")), 0, "the oldest presentations are discarded first")
	assert.Equal(t, len(j.Find("mine")), 0)
}
