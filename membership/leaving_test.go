package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// listOther returns a list with the other instance, without its incarnation.
func listOther(leaving bool) []ListedInstance {
	return []ListedInstance{{ID: other, Zone: "hall-a", Leaving: leaving}}
}

// listUpstreamAs returns a list that shows the upstream as l.
func listUpstreamAs(l ListedUpstream) []ListedUpstream {
	l.ID, l.Zone = "dc-1", "hall-a"
	return []ListedUpstream{l}
}

// TestEachSourceMarksAnUpstreamLeaving marks an upstream as leaving through
// each source alone: the platform's list, the upstream's own refusal, its load
// report and a peer's digest. It then checks that no list, older or newer, and
// no report of the same incarnation clears the mark, and that a new incarnation
// starts without it.
func TestEachSourceMarksAnUpstreamLeaving(t *testing.T) {
	const sec = time.Second
	sources := map[string]func(t *testing.T, m *Machine){
		"list": func(_ *testing.T, m *Machine) {
			m.ApplyUpstreamList(timeAt(sec), timeAt(sec), 5, listUpstreamAs(ListedUpstream{Incarnation: 7, Leaving: true}))
		},
		"own refusal": func(_ *testing.T, m *Machine) { m.UpstreamLeaving(timeAt(sec), "dc-1", 7) },
		"own report": func(_ *testing.T, m *Machine) {
			m.UpstreamReport(timeAt(sec), timeAt(sec), "dc-1", Report{Incarnation: 7, Sequence: 1, Leaving: true})
		},
		"peer": func(t *testing.T, m *Machine) {
			d := UpstreamDigest{Key: uint64(keyOf("dc-1")), Incarnation: 7, Leaving: true}
			receiveFromOther(t, m, sec, Heartbeat{Upstreams: d.Append(nil)})
		},
	}
	for name, record := range sources {
		t.Run(name, func(t *testing.T) {
			m := newMachineWithPeer()
			m.ApplyUpstreamList(timeAt(0), timeAt(0), 2, listUpstreamAs(ListedUpstream{Incarnation: 7}))
			assert.Assert(t, !upstreamView(m, 0).Leaving)
			record(t, m)
			assert.Assert(t, upstreamView(m, sec).Leaving)
			for i, index := range []uint64{1, 5, 6, 90} {
				d := time.Duration(i+2) * sec
				m.ApplyUpstreamList(timeAt(d), timeAt(d), index, listUpstreamAs(ListedUpstream{Incarnation: 7}))
				m.UpstreamReport(timeAt(d), timeAt(d), "dc-1", Report{Incarnation: 7, Sequence: uint32(i + 2)})
				m.ApplyUpstreamList(timeAt(d), timeAt(d), index, listUpstreamAs(ListedUpstream{}))
				assert.Assert(t, upstreamView(m, d).Leaving, "mark cleared by a list with index %d", index)
			}
			m.UpstreamReport(timeAt(9*sec), timeAt(9*sec), "dc-1", Report{Incarnation: 8, Sequence: 1})
			assert.Assert(t, !upstreamView(m, 9*sec).Leaving, "a new incarnation is marked as leaving")
		})
	}
}

func TestListWithoutIncarnations(t *testing.T) {
	const sec = time.Second
	tests := []struct {
		name string
		do   func(t *testing.T, m *Machine)
		want bool
	}{
		{"leaving", func(_ *testing.T, m *Machine) {
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 5, listOther(true))
		}, true},
		{"leaving, then an older list", func(_ *testing.T, m *Machine) {
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 5, listOther(true))
			m.ApplyInstanceList(timeAt(3*sec), timeAt(3*sec), 4, listOther(false))
		}, true},
		{"leaving, then dropped from the list", func(_ *testing.T, m *Machine) {
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 5, listOther(true))
			m.ApplyInstanceList(timeAt(3*sec), timeAt(3*sec), 6, nil)
		}, true},
		{"leaving, then a newer list for a new incarnation", func(_ *testing.T, m *Machine) {
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 5, listOther(true))
			m.ApplyInstanceList(timeAt(3*sec), timeAt(3*sec), 6, listOther(false))
		}, false},
		{"a list applies to an incarnation known for long", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			m.ApplyInstanceList(timeAt(2*time.Minute), timeAt(2*time.Minute), 5, listOther(true))
			m.ApplyInstanceList(timeAt(3*time.Minute), timeAt(3*time.Minute), 6, listOther(false))
		}, true},
		{"a lagging list does not apply to a young incarnation", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 5, listOther(true))
			m.ApplyInstanceList(timeAt(3*time.Minute), timeAt(3*time.Minute), 6, listOther(false))
		}, false},
		{"a platform set up from scratch", func(_ *testing.T, m *Machine) {
			m.ApplyInstanceList(timeAt(2*sec), timeAt(2*sec), 500, listOther(true))
			m.ResetLists()
			m.ApplyInstanceList(timeAt(3*sec), timeAt(3*sec), 2, listOther(false))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMachineWithPeer()
			tt.do(t, m)
			assert.Equal(t, otherView(m, 4*time.Minute).Leaving, tt.want)
		})
	}
}

func TestListTellsThisInstanceToLeave(t *testing.T) {
	m := newMachineWithPeer()
	m.SetSelf(start, SelfState{Incarnation: ident.NewIncarnation(start)})
	self := []ListedInstance{{ID: "entry-a0", Zone: "hall-a", Leaving: true}}
	m.ApplyInstanceList(timeAt(time.Second), timeAt(time.Second), 2, self)
	assert.Assert(t, !m.View(timeAt(time.Second)).Leaving, "the lagging list may refer to the previous incarnation")
	m.SetSelf(start, SelfState{Incarnation: ident.NewIncarnation(start.Add(-time.Hour))})
	m.ApplyInstanceList(timeAt(2*time.Second), timeAt(2*time.Second), 3, self)
	assert.Assert(t, m.View(timeAt(2*time.Second)).Leaving)
	assert.Assert(t, m.Heartbeat(timeAt(2*time.Second), other).Leaving)
}

func TestOwnLeavingIsSticky(t *testing.T) {
	m := newMachineWithPeer()
	m.Leave(timeAt(time.Second))
	m.SetSelf(timeAt(2*time.Second), SelfState{Incarnation: 1000})
	assert.Assert(t, m.View(timeAt(2*time.Second)).Leaving)
	m.SetSelf(timeAt(3*time.Second), SelfState{Incarnation: 1001})
	assert.Assert(t, !m.View(timeAt(3*time.Second)).Leaving)
}

func TestSupersededInstanceLearnsIt(t *testing.T) {
	m := newMachineWithPeer()
	r := keyedRecord{key: keyOf("entry-a0"), memberRecord: memberRecord{incarnation: 999}}
	receiveFromOther(t, m, time.Second, Heartbeat{Members: appendMember(nil, r)})
	assert.Assert(t, !m.View(timeAt(time.Second)).Superseded)
	r.incarnation = 1001
	receiveFromOther(t, m, time.Second, Heartbeat{Members: appendMember(nil, r)})
	assert.Assert(t, m.View(timeAt(time.Second)).Superseded)
}

func TestOlderListsChangeNothing(t *testing.T) {
	m := newMachineWithPeer()
	m.ApplyInstanceList(timeAt(0), timeAt(0), 5, []ListedInstance{{ID: other, Zone: "hall-a", Address: "new"}})
	m.ApplyUpstreamList(timeAt(0), timeAt(0), 5, []ListedUpstream{{ID: "dc-1", Zone: "hall-a", Address: "new"}})
	assert.Assert(t, !m.ApplyInstanceList(timeAt(time.Second), timeAt(time.Second), 4, []ListedInstance{{ID: other, Zone: "hall-a", Address: "old"}}))
	assert.Assert(t, !m.ApplyUpstreamList(timeAt(time.Second), timeAt(time.Second), 4, nil))
	v := m.View(timeAt(time.Second))
	assert.Equal(t, v.Instances[0].Address, "new")
	assert.Assert(t, v.Upstreams[0].Listed)
	assert.Equal(t, v.Upstreams[0].Address, "new")
}

func TestSilentEntryGivesNoSignOfLife(t *testing.T) {
	m := newMachineWithPeer()
	assert.Assert(t, m.Heartbeat(timeAt(time.Second), other).Stamp > 0)
	m.SetSelf(timeAt(time.Second), SelfState{Incarnation: 1000, Unresponsive: true})
	assert.Equal(t, m.Heartbeat(timeAt(time.Second), other).Stamp, Stamp(0))
	m.SetSelf(timeAt(2*time.Second), SelfState{Incarnation: 1000})
	assert.Assert(t, m.Heartbeat(timeAt(2*time.Second), other).Stamp > 0)
}

// TestPartnerIsNotToldWhatItTold checks that records which came from a partner
// are not sent back to it: that would waste bytes.
func TestPartnerIsNotToldWhatItTold(t *testing.T) {
	m := newMachineWithSender()
	r := keyedRecord{key: keyOf(string(subjects[0])), memberRecord: memberRecord{incarnation: 5, hasStamp: true, stamp: 10}}
	answer, err := m.Receive(timeAt(time.Second), sender, Heartbeat{Members: appendMember(nil, r)})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Members), 0)
	answer, err = m.Receive(timeAt(time.Second), subjects[1], Heartbeat{})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Members), MemberBytes)
}

// TestPartnersKeepTheLongerInterval has a partner with many partners of its own
// ask for fewer exchanges.
func TestPartnersKeepTheLongerInterval(t *testing.T) {
	m := newMachineWithPeer()
	receiveFromOther(t, m, time.Second, Heartbeat{Incarnation: 5, Stamp: 1, WaitMS: 20000})
	for d := time.Second; d < 15*time.Second; d += step {
		for _, due := range m.Due(timeAt(d)) {
			assert.Assert(t, due.Kind == DueProbe, "heartbeat due after %s", d)
		}
	}
}

// TestAnotherZoneIsBelievedAsAWhole receives heartbeats from one instance of
// another zone and checks that the zone's other instances stay alive until one
// is reported missing.
func TestAnotherZoneIsBelievedAsAWhole(t *testing.T) {
	m := newMachineWithPeer()
	m.AddSeeds(start, []Seed{{ID: "entry-b0", Zone: "hall-b"}, {ID: "entry-b1", Zone: "hall-b"}})
	for d := time.Second; d < 10*time.Minute; d += time.Second {
		_, err := m.Receive(timeAt(d), "entry-b0", heartbeatAfter(5, d))
		assert.NilError(t, err)
		m.Due(timeAt(d))
	}
	state := func() State { return m.View(timeAt(10 * time.Minute)).Instances[2].State }
	assert.Equal(t, state(), Alive)
	r := keyedRecord{key: keyOf("entry-b1"), memberRecord: memberRecord{incarnation: 5, missing: true}}
	hb := heartbeatAfter(5, 10*time.Minute)
	hb.Members = appendMember(nil, r)
	_, err := m.Receive(timeAt(10*time.Minute), "entry-b0", hb)
	assert.NilError(t, err)
	assert.Equal(t, state(), Unreachable)
}
