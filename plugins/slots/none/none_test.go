package none

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

func TestGrantsAlways(t *testing.T) {
	loaded, err := plugin.Load(ID, nil)
	assert.NilError(t, err)
	p := loaded.(kernel.SlotPolicy)
	for range 100 {
		assert.Equal(t, p.Reserve(kernel.SlotRequest{}).Result, kernel.SlotReserved)
	}
	full := &kernel.Upstream{Load: kernel.Load{Running: 20, Slots: 20}}
	assert.Equal(t, p.Availability(full).Free, 20)
}
