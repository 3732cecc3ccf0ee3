package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoftwareVersionBelongsToItsIncarnation guards against the version of a process that has ended being taken for
// that of the process that has replaced it.
func TestSoftwareVersionBelongsToItsIncarnation(t *testing.T) {
	const sec = time.Second
	m := newMachineWithPeer()
	m.ApplyUpstreamList(timeAt(0), timeAt(0), 2, listUpstreamAs(ListedUpstream{Incarnation: 7, SoftwareVersion: "v1"}))
	assert.Equal(t, upstreamView(m, 0).SoftwareVersion, "v1")
	before := m.View(timeAt(0)).Version
	m.UpstreamReport(timeAt(sec), timeAt(sec), "dc-1", Report{Incarnation: 8, Sequence: 1})
	assert.Equal(t, upstreamView(m, sec).SoftwareVersion, "", "the list does not show the new incarnation yet")
	m.ApplyUpstreamList(timeAt(2*sec), timeAt(2*sec), 3, listUpstreamAs(ListedUpstream{Incarnation: 8, SoftwareVersion: "v2"}))
	assert.Equal(t, upstreamView(m, 2*sec).SoftwareVersion, "v2")
	m.ApplyUpstreamList(timeAt(3*sec), timeAt(3*sec), 4, listUpstreamAs(ListedUpstream{SoftwareVersion: "v3"}))
	assert.Equal(t, upstreamView(m, 3*sec).SoftwareVersion, "v3", "a list without incarnations describes the process that runs")
	assert.Assert(t, m.View(timeAt(3*sec)).Version > before)
}
