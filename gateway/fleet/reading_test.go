package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zoneRoles returns the roles of 59 instances of a zone.
func zoneRoles() []role {
	rosters := make([]*Roster, 59)
	for i := range rosters {
		rosters[i] = NewRoster(member(i, "a"), nil)
		for j := range rosters {
			if i != j {
				receiveFrom(rosters[i], 0, member(j, "a"))
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

// TestWhoReadsTheStore guards against too many reads of the store. While the view is fresh, only
// the zone's reader reads. When it is stale, the standbys read too, and then the followers with
// growing intervals. During an outage of 9 s, 59 instances of a zone make 208 reads; if each of
// them read at every interval, it was 490.
func TestWhoReadsTheStore(t *testing.T) {
	readings, fresh := map[role]int{}, 0
	for _, as := range zoneRoles() {
		decision := newReadSchedule(4 * time.Second)
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
	assert.Equal(t, fresh, 4, "reads with a fresh view, all by the reader")
	assert.DeepEqual(t, readings, map[role]int{reader: 18, standby: standbyReaders * 8, follower: 56 * 3})
}

// TestFollowerReadsBeforeTheBound guards against changes that come into force too late. While its
// view is stale, each instance reads the store itself, whatever its peers answer, early enough that
// instances which the store rejects have time to hear of the change.
func TestFollowerReadsBeforeTheBound(t *testing.T) {
	for bound, most := range map[time.Duration]time.Duration{
		2 * time.Second: 1500 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond, 4 * time.Second: 2 * time.Second,
	} {
		r := newReadSchedule(bound)
		assert.Assert(t, r.due(at(-5000), follower, false, 0), "an instance that has just started reads at once")
		first := time.Duration(0)
		for ms := 0; ms <= 4000 && first == 0; ms += 500 {
			if r.due(at(ms), follower, true, time.Duration(ms)*time.Millisecond) {
				first = time.Duration(ms) * time.Millisecond
			}
		}
		assert.Assert(t, first > 0 && first <= most, "limit %v: first read after %v", bound, first)
	}
}

// TestFollowerThatKnowsNothingReads guards against instances that never get a configuration
// because all their peers have none either: the store may reject the reads of all readers and
// standbys.
func TestFollowerThatKnowsNothingReads(t *testing.T) {
	r := newReadSchedule(4 * time.Second)
	readings := 0
	for ms := 0; ms < 14000; ms += 200 {
		if r.due(at(ms), follower, false, 0) {
			readings++
		}
	}
	assert.Equal(t, readings, 2)
}
