package membership

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// other is the instance that the tests of this file are about.
const other ident.InstanceID = "entry-a1"

// lone returns a machine that knows one other instance of its zone and one
// upstream, both from a list.
func lone() *Machine {
	m := New(Self{Instance: "entry-a0", Zone: "hall-a"}, Config{}, start)
	m.SetSelf(start, SelfState{Incarnation: 1000})
	m.Instances(start, start, 1, []ListedInstance{{ID: other, Zone: "hall-a"}})
	m.Upstreams(start, start, 1, []ListedUpstream{{ID: "dc-1", Zone: "hall-a"}})
	return m
}

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// hear passes a heartbeat from the other instance to the machine.
func hear(t *testing.T, m *Machine, d time.Duration, hb Heartbeat) {
	t.Helper()
	_, err := m.Receive(at(d), other, hb)
	assert.NilError(t, err)
}

// beat returns a heartbeat of an incarnation that has run for d.
func beat(inc ident.Incarnation, d time.Duration) Heartbeat {
	return Heartbeat{Incarnation: inc, Stamp: newStamp(d)}
}

// missed has a peer report the other instance missing since a stamp.
func missed(t *testing.T, m *Machine, d time.Duration, inc ident.Incarnation, s Stamp) {
	t.Helper()
	m.Seeds(start, []Seed{{ID: sender, Zone: "hall-a"}})
	r := keyedRecord{key: keyOf(string(other)), record: record{incarnation: inc, missing: true, stamp: s}}
	_, err := m.Receive(at(d), sender, Heartbeat{Members: appendMember(nil, r)})
	assert.NilError(t, err)
}

// believed returns the machine's view of the other instance.
func believed(m *Machine, d time.Duration) Instance { return m.View(at(d)).Instances[0] }

// upstreamSeen returns the machine's view of the upstream.
func upstreamSeen(m *Machine, d time.Duration) Upstream { return m.View(at(d)).Upstreams[0] }

func TestInstanceStates(t *testing.T) {
	const sec = time.Second
	refused := func(m *Machine, p Process, d time.Duration) { m.PeerFailed(at(d), at(d), other, p, FailRefused) }
	tests := []struct {
		name string
		do   func(t *testing.T, m *Machine)
		when time.Duration
		want State
	}{
		{"listed and not yet heard", func(*testing.T, *Machine) {}, sec, Alive},
		{"listed and never heard", func(*testing.T, *Machine) {}, 5 * sec, Suspect},
		{"listed and never heard for long", func(*testing.T, *Machine) {}, 20 * sec, Unreachable},
		{"heard", func(t *testing.T, m *Machine) { hear(t, m, 9*sec, beat(5, sec)) }, 10 * sec, Alive},
		{"heard a while ago", func(t *testing.T, m *Machine) { hear(t, m, 4*sec, beat(5, sec)) }, 10 * sec, Suspect},
		{"heard long ago", func(t *testing.T, m *Machine) { hear(t, m, sec, beat(5, sec)) }, 20 * sec, Unreachable},
		{"heard long ago, kernel answers", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			m.PeerFailed(at(19*sec), at(19*sec), other, ProcessEntry, FailSilent)
		}, 20 * sec, Frozen},
		{"heard long ago, calls time out", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			m.PeerFailed(at(19*sec), at(19*sec), other, ProcessEntry, FailTimeout)
		}, 20 * sec, Unreachable},
		{"entry refuses connections", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			refused(m, ProcessEntry, 2*sec)
		}, 4 * sec, Dead},
		{"entry refused once and was heard since", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			refused(m, ProcessEntry, 2*sec)
			hear(t, m, 3*sec, beat(5, 3*sec))
		}, 4 * sec, Alive},
		{"entry refused, was heard since and fell silent", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			refused(m, ProcessEntry, 2*sec)
			hear(t, m, 3*sec, beat(5, 3*sec))
		}, 8 * sec, Suspect},
		{"entry refuses connections from here while others hear it", func(t *testing.T, m *Machine) {
			for d := sec; d <= 9*sec; d += sec {
				hear(t, m, d, beat(5, d))
				refused(m, ProcessEntry, d+sec/2)
			}
		}, 10 * sec, Alive},
		{"agent refuses connections", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			refused(m, ProcessAgent, 2*sec)
		}, 6 * sec, Suspect},
		{"agent says that its entry has ended", func(t *testing.T, m *Machine) {
			hb := beat(5, 0)
			hb.Gone = true
			hear(t, m, sec, hb)
		}, 2 * sec, Dead},
		{"agent says that its entry does not answer", func(t *testing.T, m *Machine) {
			hear(t, m, sec, beat(5, sec))
			for d := 2 * sec; d <= 19*sec; d += sec {
				hear(t, m, d, Heartbeat{Incarnation: 5})
			}
		}, 20 * sec, Unreachable},
		{"ended and restarted with a new incarnation", func(t *testing.T, m *Machine) {
			hb := beat(5, 0)
			hb.Gone = true
			hear(t, m, sec, hb)
			hear(t, m, 2*sec, beat(6, sec))
		}, 3 * sec, Alive},
		{"missed by a peer of its zone", func(t *testing.T, m *Machine) {
			hear(t, m, 9*sec, beat(5, 9*sec))
			missed(t, m, 10*sec, 5, newStamp(9*sec))
		}, 11 * sec, Suspect},
		{"missed by a peer and heard since", func(t *testing.T, m *Machine) {
			hear(t, m, 8*sec, beat(5, 8*sec))
			missed(t, m, 9*sec, 5, newStamp(8*sec))
			hear(t, m, 10*sec, beat(5, 10*sec))
		}, 11 * sec, Alive},
		{"missed by a peer with an older stamp", func(t *testing.T, m *Machine) {
			hear(t, m, 9*sec, beat(5, 9*sec))
			missed(t, m, 10*sec, 5, newStamp(8*sec))
		}, 11 * sec, Alive},
		{"an old incarnation missed", func(t *testing.T, m *Machine) {
			hear(t, m, 9*sec, beat(5, 9*sec))
			missed(t, m, 10*sec, 4, newStamp(time.Hour))
		}, 11 * sec, Alive},
		{"in-band success", func(_ *testing.T, m *Machine) { m.PeerAnswered(at(19*sec), at(18*sec), other) }, 20 * sec, Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := lone()
			tt.do(t, m)
			assert.Equal(t, believed(m, tt.when).State.String(), tt.want.String())
		})
	}
}

func TestOldLifeHasEnded(t *testing.T) {
	m := lone()
	hear(t, m, time.Second, beat(5, time.Second))
	x := believed(m, time.Second)
	assert.Assert(t, x.Ended(4) && !x.Ended(5) && !x.Ended(6))
	hear(t, m, 2*time.Second, beat(6, time.Second))
	x = believed(m, 2*time.Second)
	assert.Assert(t, x.Ended(5) && !x.Ended(6))
	// A late message from the old incarnation changes nothing.
	hear(t, m, 3*time.Second, beat(5, 9*time.Second))
	assert.Equal(t, believed(m, 3*time.Second).Incarnation, ident.Incarnation(6))
}

// TestForgottenLifeStaysOld has an instance forgotten after it left the list;
// when its ID is listed again, messages from the old incarnation must still be
// recognized as old.
func TestForgottenLifeStaysOld(t *testing.T) {
	m := lone()
	hear(t, m, time.Second, beat(6, time.Second))
	m.Instances(at(time.Minute), at(time.Minute), 2, nil)
	m.Instances(at(20*time.Minute), at(20*time.Minute), 3, nil)
	assert.Equal(t, len(m.View(at(20*time.Minute)).Instances), 0)
	assert.Assert(t, !m.Known(other))
	_, err := m.Receive(at(20*time.Minute), other, beat(6, time.Second))
	assert.Assert(t, errors.As(err, new(*UnknownError)))
	m.Instances(at(21*time.Minute), at(21*time.Minute), 4, []ListedInstance{{ID: other, Zone: "hall-a"}})
	hear(t, m, 21*time.Minute, beat(5, time.Hour))
	x := believed(m, 21*time.Minute)
	assert.Equal(t, x.Incarnation, ident.Incarnation(6))
}

func TestUpstreamStates(t *testing.T) {
	const sec = time.Second
	report := func(m *Machine, d time.Duration, seq uint32) {
		m.UpstreamReport(at(d), at(d), "dc-1", Report{Incarnation: 5, Sequence: seq})
	}
	relay := func(t *testing.T, m *Machine, d time.Duration, dig UpstreamDigest) {
		dig.Key, dig.Incarnation = uint64(keyOf("dc-1")), 5
		hear(t, m, d, Heartbeat{Upstreams: dig.Append(nil)})
	}
	tests := []struct {
		name string
		do   func(t *testing.T, m *Machine)
		want State
	}{
		{"listed only", func(*testing.T, *Machine) {}, Suspect},
		{"fresh report", func(_ *testing.T, m *Machine) { report(m, 15*sec, 1) }, Alive},
		{"old report", func(_ *testing.T, m *Machine) { report(m, sec, 1) }, Suspect},
		{"relayed report", func(t *testing.T, m *Machine) {
			relay(t, m, 15*sec, UpstreamDigest{HasReport: true, Sequence: 1, Age: sec})
		}, Alive},
		{"refused after the report", func(_ *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			m.UpstreamFailed(at(16*sec), at(16*sec), "dc-1", FailRefused)
		}, Dead},
		{"refused before the report", func(_ *testing.T, m *Machine) {
			m.UpstreamFailed(at(14*sec), at(14*sec), "dc-1", FailRefused)
			report(m, 15*sec, 1)
		}, Alive},
		{"timed out after the report", func(_ *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			m.UpstreamFailed(at(16*sec), at(16*sec), "dc-1", FailTimeout)
		}, Unreachable},
		{"silent after the report", func(_ *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			m.UpstreamFailed(at(16*sec), at(16*sec), "dc-1", FailSilent)
		}, Frozen},
		{"refused at a peer after the report", func(t *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			relay(t, m, 16*sec, UpstreamDigest{Sequence: 1, Down: true})
		}, Dead},
		{"refused at a peer before the report", func(t *testing.T, m *Machine) {
			report(m, 15*sec, 2)
			relay(t, m, 16*sec, UpstreamDigest{Sequence: 1, Down: true})
		}, Alive},
		{"refused at a peer and answered here since", func(t *testing.T, m *Machine) {
			report(m, 14*sec, 1)
			relay(t, m, 15*sec, UpstreamDigest{Sequence: 1, Down: true})
			m.UpstreamAnswered(at(16*sec), at(16*sec), "dc-1")
		}, Alive},
		{"new incarnation after a refusal", func(_ *testing.T, m *Machine) {
			report(m, 14*sec, 9)
			m.UpstreamFailed(at(15*sec), at(15*sec), "dc-1", FailRefused)
			m.UpstreamReport(at(16*sec), at(16*sec), "dc-1", Report{Incarnation: 6, Sequence: 1})
		}, Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := lone()
			tt.do(t, m)
			assert.Equal(t, upstreamSeen(m, 17*sec).State.String(), tt.want.String())
		})
	}
}

// TestTimeoutsAreNotRelayed checks that a timeout, which may be this instance's
// own fault, is not relayed to others as a refused connection.
func TestTimeoutsAreNotRelayed(t *testing.T) {
	m := lone()
	m.UpstreamReport(at(0), at(0), "dc-1", Report{Incarnation: 5, Sequence: 1})
	m.UpstreamFailed(at(time.Second), at(time.Second), "dc-1", FailTimeout)
	digests, err := decodeUpstreams(m.Heartbeat(at(time.Second), other).Upstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(digests), 1)
	assert.Assert(t, !digests[0].Down)
}

func TestLife(t *testing.T) {
	for _, tt := range []struct {
		state   State
		leaving bool
		want    kernel.Liveness
	}{
		{Alive, false, kernel.Live}, {Alive, true, kernel.Leaving},
		{Suspect, false, kernel.Suspect}, {Suspect, true, kernel.Leaving},
		{Unreachable, true, kernel.Unreachable}, {Frozen, false, kernel.Unreachable},
		{Dead, true, kernel.Dead},
	} {
		assert.Equal(t, Life(tt.state, tt.leaving), tt.want)
	}
}
