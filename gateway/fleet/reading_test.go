package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zoneRoles returns the parts of 59 instances of a zone.
func zoneRoles() []role {
	rosters := make([]*Roster, 59)
	for i := range rosters {
		rosters[i] = NewRoster(member(i, "a"), nil)
		for j := range rosters {
			if i != j {
				hear(rosters[i], 0, member(j, "a"))
			}
		}
	}
	var roles []role
	for _, r := range rosters {
		as, _ := r.Role(at(0))
		roles = append(roles, as)
	}
	return roles
}

// TestWhoReadsTheStore: with a fresh view its reader alone; with an old one the standbys
// too, then the others, more and more seldom. During an outage of 9 s 59 instances of a
// zone make 208 readings; with each of them at each look it was 490.
func TestWhoReadsTheStore(t *testing.T) {
	readings, fresh := map[role]int{}, 0
	for _, as := range zoneRoles() {
		decision := newReading(4 * time.Second)
		for ms := -2000; ms < 9000; ms += 500 {
			age := time.Duration(max(0, ms)) * time.Millisecond
			switch due := decision.due(at(ms), as, true, age); {
			case due && ms < 0:
				fresh++
			case due:
				readings[as]++
			}
		}
	}
	assert.Equal(t, fresh, 4, "the reader's")
	assert.DeepEqual(t, readings, map[role]int{reader: 18, standby: standbyReaders * 8, follower: 56 * 3})
}

// TestFollowerReadsBeforeTheBound: with an old view each instance reads for itself early
// enough to leave those that the store turns away the time to hear of it, whatever its
// peers answer.
func TestFollowerReadsBeforeTheBound(t *testing.T) {
	for bound, most := range map[time.Duration]time.Duration{
		2 * time.Second: 1500 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond, 4 * time.Second: 2 * time.Second,
	} {
		r := newReading(bound)
		assert.Assert(t, r.due(at(-5000), follower, false, 0), "it has just started")
		first := time.Duration(0)
		for ms := 0; ms <= 4000 && first == 0; ms += 500 {
			if r.due(at(ms), follower, true, time.Duration(ms)*time.Millisecond) {
				first = time.Duration(ms) * time.Millisecond
			}
		}
		assert.Assert(t, first > 0 && first <= most, "%v: %v", bound, first)
	}
}

// TestFollowerThatKnowsNothingReads, also while peers answer that know nothing either: the
// store may turn away all that read for the zone.
func TestFollowerThatKnowsNothingReads(t *testing.T) {
	r := newReading(4 * time.Second)
	readings := 0
	for ms := 0; ms < 14000; ms += 200 {
		if r.due(at(ms), follower, false, 0) {
			readings++
		}
	}
	assert.Equal(t, readings, 2)
}
