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

// newMachineWithPeer returns a machine that knows one other instance of its
// zone and one upstream, both from a list.
func newMachineWithPeer() *Machine {
	m := New(Self{Instance: "entry-a0", Zone: "hall-a"}, Config{}, start)
	m.SetSelf(start, SelfState{Incarnation: 1000})
	m.ApplyInstanceList(start, start, 1, []ListedInstance{{ID: other, Zone: "hall-a"}})
	m.ApplyUpstreamList(start, start, 1, []ListedUpstream{{ID: "dc-1", Zone: "hall-a"}})
	return m
}

// timeAt returns the time d after start.
func timeAt(d time.Duration) time.Time { return start.Add(d) }

// receiveFromOther passes a heartbeat from the other instance to the machine.
func receiveFromOther(t *testing.T, m *Machine, d time.Duration, hb Heartbeat) {
	t.Helper()
	_, err := m.Receive(timeAt(d), other, hb)
	assert.NilError(t, err)
}

// heartbeatAfter returns a heartbeat of an incarnation that has run for d.
func heartbeatAfter(inc ident.Incarnation, d time.Duration) Heartbeat {
	return Heartbeat{Incarnation: inc, Stamp: newStamp(d)}
}

// receiveMissing has a peer report the other instance missing since a stamp.
func receiveMissing(t *testing.T, m *Machine, d time.Duration, inc ident.Incarnation, s Stamp) {
	t.Helper()
	m.AddSeeds(start, []Seed{{ID: sender, Zone: "hall-a"}})
	r := keyedRecord{key: keyOf(string(other)), memberRecord: memberRecord{incarnation: inc, missing: true, stamp: s}}
	_, err := m.Receive(timeAt(d), sender, Heartbeat{Members: appendMember(nil, r)})
	assert.NilError(t, err)
}

// otherView returns the machine's view of the other instance.
func otherView(m *Machine, d time.Duration) Instance { return m.View(timeAt(d)).Instances[0] }

// upstreamView returns the machine's view of the upstream.
func upstreamView(m *Machine, d time.Duration) Upstream { return m.View(timeAt(d)).Upstreams[0] }

func TestInstanceStates(t *testing.T) {
	const sec = time.Second
	refused := func(m *Machine, p Process, d time.Duration) {
		m.PeerFailed(timeAt(d), timeAt(d), other, p, FailRefused)
	}
	tests := []struct {
		name string
		do   func(t *testing.T, m *Machine)
		when time.Duration
		want State
	}{
		{"listed and not yet heard", func(*testing.T, *Machine) {}, sec, Alive},
		{"listed and never heard", func(*testing.T, *Machine) {}, 5 * sec, Suspect},
		{"listed and never heard for long", func(*testing.T, *Machine) {}, 20 * sec, Unreachable},
		{"heard", func(t *testing.T, m *Machine) { receiveFromOther(t, m, 9*sec, heartbeatAfter(5, sec)) }, 10 * sec, Alive},
		{"heard a while ago", func(t *testing.T, m *Machine) { receiveFromOther(t, m, 4*sec, heartbeatAfter(5, sec)) }, 10 * sec, Suspect},
		{"heard long ago", func(t *testing.T, m *Machine) { receiveFromOther(t, m, sec, heartbeatAfter(5, sec)) }, 20 * sec, Unreachable},
		{"heard long ago, kernel answers", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			m.PeerFailed(timeAt(19*sec), timeAt(19*sec), other, ProcessEntry, FailNoResponse)
		}, 20 * sec, Unresponsive},
		{"heard long ago, calls time out", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			m.PeerFailed(timeAt(19*sec), timeAt(19*sec), other, ProcessEntry, FailTimeout)
		}, 20 * sec, Unreachable},
		{"entry refuses connections", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			refused(m, ProcessEntry, 2*sec)
		}, 4 * sec, Dead},
		{"entry refused once and was heard since", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			refused(m, ProcessEntry, 2*sec)
			receiveFromOther(t, m, 3*sec, heartbeatAfter(5, 3*sec))
		}, 4 * sec, Alive},
		{"entry refused, was heard since and fell silent", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			refused(m, ProcessEntry, 2*sec)
			receiveFromOther(t, m, 3*sec, heartbeatAfter(5, 3*sec))
		}, 8 * sec, Suspect},
		{"entry refuses connections from here while others hear it", func(t *testing.T, m *Machine) {
			for d := sec; d <= 9*sec; d += sec {
				receiveFromOther(t, m, d, heartbeatAfter(5, d))
				refused(m, ProcessEntry, d+sec/2)
			}
		}, 10 * sec, Alive},
		{"agent refuses connections", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			refused(m, ProcessAgent, 2*sec)
		}, 6 * sec, Suspect},
		{"agent says that its entry has ended", func(t *testing.T, m *Machine) {
			hb := heartbeatAfter(5, 0)
			hb.Gone = true
			receiveFromOther(t, m, sec, hb)
		}, 2 * sec, Dead},
		{"agent says that its entry does not answer", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, sec, heartbeatAfter(5, sec))
			for d := 2 * sec; d <= 19*sec; d += sec {
				receiveFromOther(t, m, d, Heartbeat{Incarnation: 5})
			}
		}, 20 * sec, Unreachable},
		{"ended and restarted with a new incarnation", func(t *testing.T, m *Machine) {
			hb := heartbeatAfter(5, 0)
			hb.Gone = true
			receiveFromOther(t, m, sec, hb)
			receiveFromOther(t, m, 2*sec, heartbeatAfter(6, sec))
		}, 3 * sec, Alive},
		{"missed by a peer of its zone", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, 9*sec, heartbeatAfter(5, 9*sec))
			receiveMissing(t, m, 10*sec, 5, newStamp(9*sec))
		}, 11 * sec, Suspect},
		{"missed by a peer and heard since", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, 8*sec, heartbeatAfter(5, 8*sec))
			receiveMissing(t, m, 9*sec, 5, newStamp(8*sec))
			receiveFromOther(t, m, 10*sec, heartbeatAfter(5, 10*sec))
		}, 11 * sec, Alive},
		{"missed by a peer with an older stamp", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, 9*sec, heartbeatAfter(5, 9*sec))
			receiveMissing(t, m, 10*sec, 5, newStamp(8*sec))
		}, 11 * sec, Alive},
		{"an old incarnation missed", func(t *testing.T, m *Machine) {
			receiveFromOther(t, m, 9*sec, heartbeatAfter(5, 9*sec))
			receiveMissing(t, m, 10*sec, 4, newStamp(time.Hour))
		}, 11 * sec, Alive},
		{"in-band success", func(_ *testing.T, m *Machine) { m.PeerAnswered(timeAt(19*sec), timeAt(18*sec), other) }, 20 * sec, Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMachineWithPeer()
			tt.do(t, m)
			assert.Equal(t, otherView(m, tt.when).State.String(), tt.want.String())
		})
	}
}

func TestOldLifeHasEnded(t *testing.T) {
	m := newMachineWithPeer()
	receiveFromOther(t, m, time.Second, heartbeatAfter(5, time.Second))
	x := otherView(m, time.Second)
	assert.Assert(t, x.Ended(4) && !x.Ended(5) && !x.Ended(6))
	receiveFromOther(t, m, 2*time.Second, heartbeatAfter(6, time.Second))
	x = otherView(m, 2*time.Second)
	assert.Assert(t, x.Ended(5) && !x.Ended(6))
	// A late message from the old incarnation changes nothing.
	receiveFromOther(t, m, 3*time.Second, heartbeatAfter(5, 9*time.Second))
	assert.Equal(t, otherView(m, 3*time.Second).Incarnation, ident.Incarnation(6))
}

// TestForgottenLifeStaysOld has an instance forgotten after it left the list;
// when its ID is listed again, messages from the old incarnation must still be
// recognized as old.
func TestForgottenLifeStaysOld(t *testing.T) {
	m := newMachineWithPeer()
	receiveFromOther(t, m, time.Second, heartbeatAfter(6, time.Second))
	m.ApplyInstanceList(timeAt(time.Minute), timeAt(time.Minute), 2, nil)
	m.ApplyInstanceList(timeAt(20*time.Minute), timeAt(20*time.Minute), 3, nil)
	assert.Equal(t, len(m.View(timeAt(20*time.Minute)).Instances), 0)
	assert.Assert(t, !m.Known(other))
	_, err := m.Receive(timeAt(20*time.Minute), other, heartbeatAfter(6, time.Second))
	assert.Assert(t, errors.As(err, new(*UnknownError)))
	m.ApplyInstanceList(timeAt(21*time.Minute), timeAt(21*time.Minute), 4, []ListedInstance{{ID: other, Zone: "hall-a"}})
	receiveFromOther(t, m, 21*time.Minute, heartbeatAfter(5, time.Hour))
	x := otherView(m, 21*time.Minute)
	assert.Equal(t, x.Incarnation, ident.Incarnation(6))
}

func TestUpstreamStates(t *testing.T) {
	const sec = time.Second
	report := func(m *Machine, d time.Duration, seq uint32) {
		m.UpstreamReport(timeAt(d), timeAt(d), "dc-1", Report{Incarnation: 5, Sequence: seq})
	}
	relay := func(t *testing.T, m *Machine, d time.Duration, dig UpstreamDigest) {
		dig.Key, dig.Incarnation = uint64(keyOf("dc-1")), 5
		receiveFromOther(t, m, d, Heartbeat{Upstreams: dig.Append(nil)})
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
			m.UpstreamFailed(timeAt(16*sec), timeAt(16*sec), "dc-1", FailRefused)
		}, Dead},
		{"refused before the report", func(_ *testing.T, m *Machine) {
			m.UpstreamFailed(timeAt(14*sec), timeAt(14*sec), "dc-1", FailRefused)
			report(m, 15*sec, 1)
		}, Alive},
		{"timed out after the report", func(_ *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			m.UpstreamFailed(timeAt(16*sec), timeAt(16*sec), "dc-1", FailTimeout)
		}, Unreachable},
		{"silent after the report", func(_ *testing.T, m *Machine) {
			report(m, 15*sec, 1)
			m.UpstreamFailed(timeAt(16*sec), timeAt(16*sec), "dc-1", FailNoResponse)
		}, Unresponsive},
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
			m.UpstreamAnswered(timeAt(16*sec), timeAt(16*sec), "dc-1")
		}, Alive},
		{"new incarnation after a refusal", func(_ *testing.T, m *Machine) {
			report(m, 14*sec, 9)
			m.UpstreamFailed(timeAt(15*sec), timeAt(15*sec), "dc-1", FailRefused)
			m.UpstreamReport(timeAt(16*sec), timeAt(16*sec), "dc-1", Report{Incarnation: 6, Sequence: 1})
		}, Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMachineWithPeer()
			tt.do(t, m)
			assert.Equal(t, upstreamView(m, 17*sec).State.String(), tt.want.String())
		})
	}
}

// TestTimeoutsAreNotRelayed checks that a timeout, which may be this instance's
// own fault, is not relayed to others as a refused connection.
func TestTimeoutsAreNotRelayed(t *testing.T) {
	m := newMachineWithPeer()
	m.UpstreamReport(timeAt(0), timeAt(0), "dc-1", Report{Incarnation: 5, Sequence: 1})
	m.UpstreamFailed(timeAt(time.Second), timeAt(time.Second), "dc-1", FailTimeout)
	digests, err := decodeUpstreams(m.Heartbeat(timeAt(time.Second), other).Upstreams)
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
		{Unreachable, true, kernel.Unreachable}, {Unresponsive, false, kernel.Unreachable},
		{Dead, true, kernel.Dead},
	} {
		assert.Equal(t, LivenessOf(tt.state, tt.leaving), tt.want)
	}
}
