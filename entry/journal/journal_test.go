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
