package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// listOther is a list that shows the other instance, without its incarnation.
func listOther(leaving bool) []ListedInstance {
	return []ListedInstance{{ID: other, Zone: "hall-a", Leaving: leaving}}
}

// listUpstreamAs is a list that shows the upstream.
func listUpstreamAs(l ListedUpstream) []ListedUpstream {
	l.ID, l.Zone = "dc-1", "hall-a"
	return []ListedUpstream{l}
}

// TestEachSourceMarksAnUpstreamLeaving tries the platform's list, the upstream's
// own refusal, its load report and a peer's word, each alone, and then every way
// in which an old list could undo it.
func TestEachSourceMarksAnUpstreamLeaving(t *testing.T) {
	const sec = time.Second
	sources := map[string]func(t *testing.T, m *Machine){
		"list": func(_ *testing.T, m *Machine) {
			m.Upstreams(at(sec), at(sec), 5, listUpstreamAs(ListedUpstream{Incarnation: 7, Leaving: true}))
		},
		"own refusal": func(_ *testing.T, m *Machine) { m.UpstreamLeaving(at(sec), "dc-1", 7) },
		"own report": func(_ *testing.T, m *Machine) {
			m.UpstreamReport(at(sec), at(sec), "dc-1", Report{Incarnation: 7, Sequence: 1, Leaving: true})
		},
		"peer": func(t *testing.T, m *Machine) {
			d := UpstreamDigest{Key: uint64(keyOf("dc-1")), Incarnation: 7, Leaving: true}
			hear(t, m, sec, Heartbeat{Upstreams: d.Append(nil)})
		},
	}
	for name, mark := range sources {
		t.Run(name, func(t *testing.T) {
			m := lone()
			m.Upstreams(at(0), at(0), 2, listUpstreamAs(ListedUpstream{Incarnation: 7}))
			assert.Assert(t, !upstreamSeen(m, 0).Leaving)
			mark(t, m)
			assert.Assert(t, upstreamSeen(m, sec).Leaving)
			for i, index := range []uint64{1, 5, 6, 90} {
				d := time.Duration(i+2) * sec
				m.Upstreams(at(d), at(d), index, listUpstreamAs(ListedUpstream{Incarnation: 7}))
				m.UpstreamReport(at(d), at(d), "dc-1", Report{Incarnation: 7, Sequence: uint32(i + 2)})
				m.Upstreams(at(d), at(d), index, listUpstreamAs(ListedUpstream{}))
				assert.Assert(t, upstreamSeen(m, d).Leaving, "undone by a list of index %d", index)
			}
			m.UpstreamReport(at(9*sec), at(9*sec), "dc-1", Report{Incarnation: 8, Sequence: 1})
			assert.Assert(t, !upstreamSeen(m, 9*sec).Leaving, "a new life does not leave")
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
			m.Instances(at(2*sec), at(2*sec), 5, listOther(true))
		}, true},
		{"leaving, then an older list", func(_ *testing.T, m *Machine) {
			m.Instances(at(2*sec), at(2*sec), 5, listOther(true))
			m.Instances(at(3*sec), at(3*sec), 4, listOther(false))
		}, true},
		{"leaving, then a newer list for a new life", func(_ *testing.T, m *Machine) {
			m.Instances(at(2*sec), at(2*sec), 5, listOther(true))
			m.Instances(at(3*sec), at(3*sec), 6, listOther(false))
		}, false},
		{"a life known for long is bound", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			m.Instances(at(2*time.Minute), at(2*time.Minute), 5, listOther(true))
			m.Instances(at(3*time.Minute), at(3*time.Minute), 6, listOther(false))
		}, true},
		{"a young life is not bound by a list that lags", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			m.Instances(at(2*sec), at(2*sec), 5, listOther(true))
			m.Instances(at(3*time.Minute), at(3*time.Minute), 6, listOther(false))
		}, false},
		{"a platform set up anew", func(_ *testing.T, m *Machine) {
			m.Instances(at(2*sec), at(2*sec), 500, listOther(true))
			m.ResetLists()
			m.Instances(at(3*sec), at(3*sec), 2, listOther(false))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := lone()
			tt.do(t, m)
			assert.Equal(t, believed(m, 4*time.Minute).Leaving, tt.want)
		})
	}
}

func TestListTellsThisInstanceToLeave(t *testing.T) {
	m := lone()
	m.SetSelf(start, SelfState{Incarnation: ident.NewIncarnation(start)})
	self := []ListedInstance{{ID: "entry-a0", Zone: "hall-a", Leaving: true}}
	m.Instances(at(time.Second), at(time.Second), 2, self)
	assert.Assert(t, !m.View(at(time.Second)).Leaving, "the list may mean the life before")
	m.SetSelf(start, SelfState{Incarnation: ident.NewIncarnation(start.Add(-time.Hour))})
	m.Instances(at(2*time.Second), at(2*time.Second), 3, self)
	assert.Assert(t, m.View(at(2*time.Second)).Leaving)
	assert.Assert(t, m.Heartbeat(at(2*time.Second), other).Leaving)
}

func TestOwnLeavingIsSticky(t *testing.T) {
	m := lone()
	m.Leave(at(time.Second))
	m.SetSelf(at(2*time.Second), SelfState{Incarnation: 1000})
	assert.Assert(t, m.View(at(2*time.Second)).Leaving)
	m.SetSelf(at(3*time.Second), SelfState{Incarnation: 1001})
	assert.Assert(t, !m.View(at(3*time.Second)).Leaving)
}

func TestSupersededInstanceLearnsIt(t *testing.T) {
	m := lone()
	r := keyedRecord{key: keyOf("entry-a0"), record: record{incarnation: 999}}
	hear(t, m, time.Second, Heartbeat{Members: appendMember(nil, r)})
	assert.Assert(t, !m.View(at(time.Second)).Superseded)
	r.incarnation = 1001
	hear(t, m, time.Second, Heartbeat{Members: appendMember(nil, r)})
	assert.Assert(t, m.View(at(time.Second)).Superseded)
}
