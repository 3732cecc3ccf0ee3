package kernel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowStartOnlyForNewcomers checks that slow start applies to upstreams that
// join or restart later, but not to the upstreams of the first view: a starting
// instance must not treat the whole fleet as new.
func TestSlowStartOnlyForNewcomers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var f fleet
	f.init()
	f.replace(&View{Version: 1, Upstreams: []Upstream{{ID: "d1", Incarnation: 1}}}, now)
	assert.Assert(t, f.upstream("d1").Health.AvailableSince.IsZero())
	f.replace(&View{Version: 2, Upstreams: []Upstream{{ID: "d1", Incarnation: 1}, {ID: "d2", Incarnation: 1}}}, now)
	assert.Assert(t, f.upstream("d1").Health.AvailableSince.IsZero())
	assert.Equal(t, f.upstream("d2").Health.AvailableSince, now)
	later := now.Add(time.Minute)
	f.replace(&View{Version: 3, Upstreams: []Upstream{{ID: "d1", Incarnation: 2}, {ID: "d2", Incarnation: 1}}}, later)
	assert.Equal(t, f.upstream("d1").Health.AvailableSince, later, "a restarted engine must get slow start")
	assert.Equal(t, f.upstream("d2").Health.AvailableSince, now)
}
