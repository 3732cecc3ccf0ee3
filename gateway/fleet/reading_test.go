package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadingsKeepTheBound: reading, question and answer together stay under half of the
// time in which a change has to be in force.
func TestReadingsKeepTheBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		r := newReading(bound)
		assert.Assert(t, r.wait(reader, true)+r.wait(follower, true) <= bound/2, "%v", bound)
		assert.Assert(t, r.wait(reader, true) <= mostReadInterval)
	}
}

// TestWhoReadsTheStore: with a fresh view its reader alone; with an old one the standbys
// too; the others only while no peer answers them. During an outage of 9 s 59 instances
// of a zone, whose peers answer, make 40 readings; all of them made 590.
func TestWhoReadsTheStore(t *testing.T) {
	rosters := make([]*Roster, 59)
	for i := range rosters {
		rosters[i] = NewRoster(member(i, "a"), nil)
		for j := range rosters {
			if i != j {
				hear(rosters[i], 0, member(j, "a"))
			}
		}
	}
	readings := map[role]int{}
	for _, r := range rosters {
		as, _ := r.Role(at(0))
		decision := newReading(2 * time.Second)
		for ms := 0; ms < 9000; ms += 500 {
			decision.answered = at(ms)
			if decision.due(at(ms), as, true, time.Duration(ms)*time.Millisecond) {
				decision.last = at(ms)
				readings[as]++
			}
		}
	}
	assert.DeepEqual(t, readings, map[role]int{reader: 18, standby: standbyReaders * 8})
}

// TestInstanceThatNobodyAnswersReadsItself before changes have to be in force, and when it
// starts.
func TestInstanceThatNobodyAnswersReadsItself(t *testing.T) {
	r := newReading(4 * time.Second)
	assert.Assert(t, r.due(at(0), follower, false, 0), "it has just started")
	r.last, r.answered = at(0), at(0)
	first := 0
	for ms := 0; ms <= 4000 && first == 0; ms += 500 {
		if r.due(at(ms), follower, true, time.Duration(ms)*time.Millisecond) {
			first = ms
		}
	}
	assert.Equal(t, first, 2500)
}
