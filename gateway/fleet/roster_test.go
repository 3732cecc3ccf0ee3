package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

func member(n int, zone string) Member {
	return Member{
		ID: ident.InstanceID(fmt.Sprintf("i%02d", n)), Zone: ident.Zone(zone),
		Address: fmt.Sprintf("10.0.0.%d:1", n), Incarnation: 1, Sequence: 1,
	}
}

func receiveFrom(r *Roster, ms int, m Member) {
	r.Receive(at(ms), Heartbeat{From: m})
}

// TestSilentInstancesAreNotAlive checks that an instance stops counting as alive after aliveTimeout.
func TestSilentInstancesAreNotAlive(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	receiveFrom(r, 0, member(1, "a"))
	assert.Equal(t, r.Alive(at(1000)), 2)
	assert.Equal(t, r.Alive(at(2500)), 1)
}

// TestRelayedHeartbeatsCountFromWhenTheyWereMade guards against a dead instance that counts as
// alive because others keep relaying its last heartbeat.
func TestRelayedHeartbeatsCountFromWhenTheyWereMade(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	r.Receive(at(5000), Heartbeat{From: member(1, "a"), Relayed: []Relayed{{Member: member(2, "a"), AgeMS: 1900}}})
	assert.Equal(t, r.Alive(at(5000)), 3)
	r.Receive(at(5150), Heartbeat{From: member(1, "a"), Relayed: []Relayed{{Member: member(2, "a"), AgeMS: 0}}})
	assert.Equal(t, r.Alive(at(5150)), 2, "relaying the same heartbeat again does not extend the time")
}

// TestRestartedInstanceIsNewer guards against ignoring the heartbeats of a restarted instance,
// whose sequence starts anew.
func TestRestartedInstanceIsNewer(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	old := member(1, "a")
	old.Sequence = 99
	receiveFrom(r, 0, old)
	fresh := member(1, "a")
	fresh.Incarnation = 2
	receiveFrom(r, 1500, fresh)
	assert.Equal(t, r.Alive(at(3000)), 2)
}

// TestOneHolder checks that exactly one of several instances that receive each other's heartbeats
// holds a duty, and that the duty moves to another when the holder is stopping.
func TestOneHolder(t *testing.T) {
	rosters := make([]*Roster, 5)
	for i := range rosters {
		rosters[i] = NewRoster(member(i, "a"), nil)
	}
	exchange := func(ms int) {
		for _, from := range rosters {
			h := from.NextHeartbeat(at(ms), Load{})
			for _, to := range rosters {
				to.Receive(at(ms), h)
			}
		}
	}
	exchange(100)
	exchange(400)
	holders := func(ms int) []int {
		var out []int
		for i, r := range rosters {
			if r.IsHolder(at(ms), "stages", "") {
				out = append(out, i)
			}
		}
		return out
	}
	first := holders(500)
	assert.Equal(t, len(first), 1)
	rosters[first[0]].Leave()
	exchange(700)
	second := holders(800)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0] != first[0])
}

// TestHubOfTheZone checks that all instances agree on one hub for each zone.
func TestHubOfTheZone(t *testing.T) {
	members := []Member{member(0, "a"), member(1, "a"), member(2, "b")}
	hubs := map[ident.Zone]map[string]int{"a": {}, "b": {}}
	selves := 0
	for i, self := range members {
		r := NewRoster(self, nil)
		for j, m := range members {
			if i != j {
				receiveFrom(r, 0, m)
			}
		}
		for zone, seen := range hubs {
			address, isSelf := r.Hub(at(100), zone)
			seen[address]++
			if isSelf {
				selves++
			}
		}
	}
	assert.Equal(t, selves, 2)
	for zone, seen := range hubs {
		assert.Equal(t, len(seen), 1, "zone %s: %v", zone, seen)
	}
}

// TestInTouchNeedsAnswersOfMost guards against an instance that acts for the fleet after a pause
// or while it is isolated: its roster still lists all peers, but none has answered recently.
func TestInTouchNeedsAnswersOfMost(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	for i := 1; i < 4; i++ {
		receiveFrom(r, 1000, member(i, "a"))
	}
	assert.Assert(t, !r.HasQuorum(at(1100), time.Second))
	r.RecordAnswer(at(1100), "i01")
	r.RecordAnswer(at(1100), "i02")
	assert.Assert(t, r.HasQuorum(at(1200), time.Second))
	assert.Assert(t, !r.HasQuorum(at(2200), time.Second))
}

// TestPartnersAreFewInALargeFleet checks that an instance calls all peers in a small fleet, but
// only fanout of them in a large one.
func TestPartnersAreFewInALargeFleet(t *testing.T) {
	r := NewRoster(member(0, "a"), []string{"10.0.0.200:1"})
	for i := 1; i <= 5; i++ {
		receiveFrom(r, 0, member(i, "a"))
	}
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, len(r.Partners(at(0), random)), 6, "all peers and the unknown seed")
	for i := 6; i <= 60; i++ {
		receiveFrom(r, 0, member(i, "a"))
	}
	assert.Equal(t, len(r.Partners(at(0), random)), fanout+1)
	assert.Assert(t, r.HeartbeatInterval() > heartbeatInterval)
}

// TestRelayedHeartbeatsCarryNoLoad checks that relayed heartbeats in a small fleet contain no
// load, and guards against their hiding the load in a heartbeat that comes directly from the
// instance, earlier or later.
func TestRelayedHeartbeatsCarryNoLoad(t *testing.T) {
	load := Load{Demand: map[string]Demand{"m": {PrefillRate: 5}}}
	first, second := NewRoster(member(1, "a"), nil), NewRoster(member(2, "a"), nil)
	beat := first.NextHeartbeat(at(0), load)
	second.Receive(at(0), beat)
	relayed := second.NextHeartbeat(at(0), Load{})
	assert.Assert(t, relayed.Relayed[0].Member.Load.empty())
	for _, order := range [][]Heartbeat{{beat, relayed}, {relayed, beat}} {
		r := NewRoster(member(0, "a"), nil)
		for _, h := range order {
			r.Receive(at(10), h)
		}
		rate := 0.0
		for _, m := range r.Members(at(20)) {
			rate += m.Load.Demand["m"].PrefillRate
		}
		assert.Equal(t, rate, 5.0)
	}
}

// TestInTouchInALargeFleet checks that answers of the few peers that are called suffice in a
// large fleet, as long as most instances are alive.
func TestInTouchInALargeFleet(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	for i := 1; i < 60; i++ {
		receiveFrom(r, 1000, member(i, "a"))
	}
	assert.Assert(t, !r.HasQuorum(at(1100), time.Second))
	for _, id := range []ident.InstanceID{"i01", "i02", "i03"} {
		r.RecordAnswer(at(1100), id)
	}
	assert.Assert(t, r.HasQuorum(at(1200), time.Second))
	assert.Assert(t, !r.HasQuorum(at(8000), 8*time.Second), "most instances no longer count as alive")
}

// TestDutyIsHeldWithoutABreak guards against an instance that still counts as the holder of a
// duty after a pause or on the minority side of a network partition, when others may have taken
// the duty over. The time for which it has held the duty starts anew then, but not when other
// instances come and go.
func TestDutyIsHeldWithoutABreak(t *testing.T) {
	members := []Member{member(0, "a"), member(1, "a"), member(2, "a"), member(3, "a")}
	rosters := make([]*Roster, len(members))
	first := -1
	for i := range members {
		rosters[i] = NewRoster(members[i], nil)
		for j, m := range members {
			if i != j {
				receiveFrom(rosters[i], 0, m)
			}
		}
		if rosters[i].IsHolder(at(0), "stages", "") {
			first = i
		}
	}
	r := rosters[first]
	// sendHeartbeats sends heartbeats of the other instances, except those in without, from one
	// time to another.
	sequence := uint64(1)
	sendHeartbeats := func(from, to int, without ...int) {
		for ms := from; ms <= to; ms += 300 {
			sequence++
			for j, m := range members {
				if j == first || slices.Contains(without, j) {
					continue
				}
				m.Sequence = sequence
				receiveFrom(r, ms, m)
			}
			r.HeldFor(at(ms), "stages")
		}
	}
	other := (first + 1) % len(members)
	sendHeartbeats(300, 6000)
	assert.Equal(t, r.HeldFor(at(6000), "stages"), 5700*time.Millisecond)
	sendHeartbeats(6300, 9000, other)
	assert.Equal(t, r.Alive(at(9000)), 3)
	assert.Equal(t, r.HeldFor(at(9000), "stages"), 8700*time.Millisecond, "the death of another instance does not interrupt the duty")
	assert.Equal(t, r.HeldFor(at(10100), "stages"), time.Duration(0), "the instance was paused")
	sendHeartbeats(10200, 12000)
	assert.Equal(t, r.HeldFor(at(12000), "stages"), 1900*time.Millisecond)
	sendHeartbeats(12300, 14700, other, (first+2)%len(members), (first+3)%len(members))
	assert.Equal(t, r.Alive(at(14700)), 1)
	sendHeartbeats(15000, 15300)
	assert.Assert(t, r.HeldFor(at(15300), "stages") < time.Second, "the instance was on the minority side of a partition")
}

// TestZonesOfALargeFleetCallEachOtherSeldom guards against too much traffic between zones:
// partners are of the own zone, and a few of a zone's instances call another zone in each round.
func TestZonesOfALargeFleetCallEachOtherSeldom(t *testing.T) {
	r := NewRoster(member(0, "a"), []string{"10.0.0.1:1", "10.0.0.2:1"})
	otherZones := map[string]bool{}
	for i := 1; i < 80; i++ {
		m := member(i, string(rune('a'+i%4)))
		receiveFrom(r, 0, m)
		if m.Zone != "a" {
			otherZones[m.Address] = true
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	own, others := 0, 0
	for range 1000 {
		for _, address := range r.Partners(at(0), random) {
			if otherZones[address] {
				others++
			} else {
				own++
			}
		}
	}
	assert.Equal(t, own, 1000*fanout)
	assert.Assert(t, others > 150 && others < 250, "%d calls to other zones in 1000 rounds, want about 200: 4 of the zone's 20 instances call in each round", others)
}

// TestForeignInstancesMayBeSilentLonger checks that instances of other zones count as alive for
// longer in a large fleet, since their heartbeats take longer to arrive.
func TestForeignInstancesMayBeSilentLonger(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	for i := 1; i <= 30; i++ {
		receiveFrom(r, 0, member(i, string(rune('a'+i%2))))
	}
	assert.Equal(t, r.Alive(at(5900)), 31)
	assert.Equal(t, r.Alive(at(6100)), 1+15)
	assert.Equal(t, r.Alive(at(9100)), 1)
}

// TestDutiesOfAZone checks that a zone's duties are assigned to one of its own instances while
// one is alive.
func TestDutiesOfAZone(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	receiveFrom(r, 0, member(1, "b"))
	assert.Assert(t, r.IsHolder(at(0), "report/x", "a"))
	assert.Assert(t, !r.IsHolder(at(0), "report/x", "b"))
	assert.Assert(t, r.HasCandidates(at(0), "b"))
	assert.Assert(t, !r.HasCandidates(at(5000), "b"))
}

// TestOneOfTwoCalls guards against both of two instances in a small fleet calling each other in
// every round. Together they make about as many calls as one alone would, know each other's load
// as well, and each gets answers often enough to give orders.
func TestOneOfTwoCalls(t *testing.T) {
	a, b := NewRoster(member(0, "a"), nil), NewRoster(member(1, "b"), nil)
	receiveFrom(a, 0, b.self)
	receiveFrom(b, 0, a.self)
	random := rand.New(rand.NewPCG(1, 1))
	calls, oldest := 0, time.Duration(0)
	call := func(from, to *Roster, ms int) {
		oldest = max(oldest, at(ms).Sub(from.peers[to.self.ID].lastDirect))
		if len(from.Partners(at(ms), random)) == 0 {
			return
		}
		calls++
		to.Receive(at(ms), from.NextHeartbeat(at(ms), Load{}))
		to.SetLoad(Load{Demand: map[string]Demand{"m": {PrefillRate: float64(ms)}}})
		from.Receive(at(ms), to.Answer(at(ms), Heartbeat{From: from.self}))
		from.RecordAnswer(at(ms), to.self.ID)
		assert.Equal(t, from.peers[to.self.ID].member.Load.Demand["m"].PrefillRate, float64(ms))
	}
	a.peers[b.self.ID].lastDirect, b.peers[a.self.ID].lastDirect = at(0), at(0)
	for ms := 300; ms <= 30000; ms += 300 {
		call(a, b, ms)
		call(b, a, ms+150)
		if ms > 3000 {
			assert.Assert(t, a.HasQuorum(at(ms+160), 1500*time.Millisecond))
			assert.Assert(t, b.HasQuorum(at(ms+160), 1500*time.Millisecond))
		}
	}
	assert.Assert(t, calls < 150, "%d calls in 30 s; it would be 200 if both always called", calls)
	assert.Assert(t, oldest <= 300*time.Millisecond, "oldest load %v", oldest)
}

// TestSilentPeerIsCalledEachTime checks that a peer that does not answer is called in every
// round, and that others name it often enough for it to count as alive.
func TestSilentPeerIsCalledEachTime(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	receiveFrom(r, 0, member(1, "b"))
	random := rand.New(rand.NewPCG(1, 1))
	named := 0
	for ms := 300; ms <= 1800; ms += 300 {
		assert.Equal(t, len(r.Partners(at(ms), random)), 1)
		named += len(r.NextHeartbeat(at(ms), Load{}).Relayed)
	}
	assert.Equal(t, named, 3)
}

// TestStartingInstanceHearsOfAll checks that the first answer to a starting instance names all
// others, also after a restart, and that later answers do not.
func TestStartingInstanceHearsOfAll(t *testing.T) {
	seed := NewRoster(member(0, "a"), nil)
	for i := 1; i <= 4; i++ {
		receiveFrom(seed, 0, member(i, "a"))
	}
	for incarnation := range 2 {
		self := member(9, "b")
		self.Incarnation = ident.Incarnation(7 + incarnation)
		started := NewRoster(self, nil)
		for round, named := range []int{4, 0} {
			ms := 100 + 300*round
			seed.Receive(at(ms), started.NextHeartbeat(at(ms), Load{}))
			answer := seed.Answer(at(ms), Heartbeat{From: self})
			started.Receive(at(ms), answer)
			others := 0
			for _, o := range answer.Relayed {
				if o.Member.ID != self.ID {
					others++
				}
			}
			assert.Equal(t, others, named)
		}
		assert.Equal(t, started.Alive(at(450)), 6)
	}
}

// TestHubThatDoesNotAnswerIsPassedOver guards against a zone without sums of loads and lists
// until its dead hub no longer counts as alive. All instances that called the hub in vain choose
// the same next candidate at once. They return to the hub after failedCallBackoff, or when the next
// candidate says that it still gets answers from it.
func TestHubThatDoesNotAnswerIsPassedOver(t *testing.T) {
	rosters := map[string]*Roster{}
	for i := range 30 {
		self := member(i, "a")
		r := NewRoster(self, nil)
		for j := range 30 {
			if i != j {
				receiveFrom(r, 0, member(j, "a"))
			}
		}
		rosters[self.Address] = r
	}
	hub, _ := rosters["10.0.0.0:1"].Hub(at(0), "a")
	nextHubs := map[string]bool{}
	for address, r := range rosters {
		if address == hub {
			continue
		}
		r.RecordCall(at(100), hub, false)
		next, _ := r.Hub(at(100), "a")
		nextHubs[next] = true
		again, _ := r.Hub(at(100).Add(failedCallBackoff), "a")
		assert.Equal(t, again, hub)
	}
	assert.Equal(t, len(nextHubs), 1, "different next candidates: %v", nextHubs)
	assert.Assert(t, !nextHubs[hub])
	for _, r := range rosters {
		r.RecordCall(at(100), hub, false)
		r.ClearFailures()
		first, _ := r.Hub(at(150), "a")
		assert.Equal(t, first, hub)
	}
}

// TestColdQuotasStayWithinTheRate guards against more requests to a cold upstream than it
// tolerates, at several fleet sizes, and against instances of other zones sending to it.
func TestColdQuotasStayWithinTheRate(t *testing.T) {
	const rate = 21.0
	for _, n := range []int{1, 7, 60, 300, 585} {
		total, senders := 0.0, 0
		r := NewRoster(coldMember(0), nil)
		for other := 1; other < n; other++ {
			r.Receive(epoch, Heartbeat{From: coldMember(other)})
		}
		assert.Equal(t, r.Alive(epoch), n)
		for self := range n {
			// The roster of each instance lists the same instances.
			r.self = coldMember(self)
			quota := r.coldQuota(epoch, "u", "a", rate)
			if quota > 0 {
				senders++
				assert.Equal(t, r.self.Zone, ident.Zone("a"))
			}
			total += float64(quota)
		}
		assert.Check(t, math.Abs(total-coldRateFraction*rate) < 0.001, "%d instances: %v", n, total)
		assert.Check(t, total+float64(senders) <= 1.5*rate+5, "%d instances: %d senders", n, senders)
	}
}

// coldMember returns an instance in zone a or b.
func coldMember(n int) Member {
	return Member{ID: ident.InstanceID(fmt.Sprintf("i%d", n)), Zone: ident.Zone(string(rune('a' + n%2))), Address: fmt.Sprintf("i%d:1", n), Incarnation: 1, Sequence: 1}
}

// TestIdleLoadReplacesFormerLoad guards against the requests of an instance that has become idle
// being counted on.
func TestIdleLoadReplacesFormerLoad(t *testing.T) {
	r := NewRoster(member(0, "a"), nil)
	for sequence, load := range []Load{{Complete: true, InFlight: map[ident.UpstreamID]InFlight{"u": {Requests: 1}}}, {Complete: true, InFlight: map[ident.UpstreamID]InFlight{}}} {
		m := member(1, "a")
		m.Sequence, m.Load = uint64(sequence+1), load
		encoded, err := json.Marshal(m)
		assert.NilError(t, err)
		var received Member
		assert.NilError(t, json.Unmarshal(encoded, &received))
		receiveFrom(r, 100*sequence, received)
		assert.Equal(t, len(r.Members(at(100 * sequence))[0].Load.InFlight), 1-sequence)
	}
}

// TestSidesOfACutHaveNotBothJoined guards against instances that start while some seeds don't answer, and take the
// ones that they find for all there are.
func TestSidesOfACutHaveNotBothJoined(t *testing.T) {
	for seedCount := 1; seedCount <= 3; seedCount++ {
		var seeds []string
		for i := range seedCount {
			seeds = append(seeds, member(i, "a").Address)
		}
		for side := range 1 << 5 {
			joined := map[bool]bool{}
			for i := range 5 {
				here := side>>i&1 == 1
				r := NewRoster(member(i, "a"), seeds)
				for other := range 5 {
					if other != i && side>>other&1 == 1 == here {
						receiveFrom(r, 0, member(other, "a"))
					}
				}
				joined[here] = joined[here] || r.Joined()
			}
			assert.Assert(t, !joined[true] || !joined[false], "%d seeds, sides %05b", seedCount, side)
			assert.Assert(t, side != 0 || joined[false], "%d seeds, no cut", seedCount)
		}
	}
}

// TestInstanceJoinsThroughAPeer checks that an instance whose seeds are gone for good joins through a peer that has
// joined, unless most of the instances that the peer knows are silent.
func TestInstanceJoinsThroughAPeer(t *testing.T) {
	seed := NewRoster(member(0, "a"), []string{member(0, "a").Address})
	for i := 1; i < 4; i++ {
		receiveFrom(seed, 0, member(i, "a"))
	}
	for _, silent := range []bool{false, true} {
		now := at(100)
		if silent {
			now = at(10_000)
		}
		seed.refresh(now)
		r := NewRoster(member(9, "a"), []string{"gone:1", "gone:2", "gone:3"})
		assert.Assert(t, !r.Joined())
		r.Receive(now, seed.Answer(now, Heartbeat{From: r.self}))
		assert.Equal(t, r.Joined(), !silent)
	}
}

// TestMinorityThatForgetsTheOthersHasNotJoined guards against the smaller side of a long cut that takes itself for the
// whole fleet, and gives orders, once it has forgotten the other side.
func TestMinorityThatForgetsTheOthersHasNotJoined(t *testing.T) {
	r := NewRoster(member(3, "a"), []string{member(0, "a").Address, member(1, "a").Address})
	for i := range 6 {
		if i != 3 {
			receiveFrom(r, 0, member(i, "a"))
		}
	}
	assert.Assert(t, r.Joined())
	cut := int(2 * peerRetention / time.Millisecond)
	for ms := 0; ms < cut; ms += 500 {
		receiveFrom(r, ms, member(4, "a"))
		r.RecordAnswer(at(ms), member(4, "a").ID)
		assert.Assert(t, ms < 10_000 || !r.HasQuorum(at(ms), time.Second) || !r.Joined(), "%d ms after the cut", ms)
	}
	receiveFrom(r, cut, member(0, "a"))
	receiveFrom(r, cut, member(1, "a"))
	assert.Assert(t, r.Joined(), "after the cut")
}

// TestSharesOfInstancesThatDoNotKnowEachOtherAddUp guards against groups of instances, each of which does not know the
// others, that together use more than all instances share.
func TestSharesOfInstancesThatDoNotKnowEachOtherAddUp(t *testing.T) {
	const instances, groups = 6, 3
	for seedCount := 1; seedCount <= 3; seedCount++ {
		var seeds []string
		for i := range seedCount {
			seeds = append(seeds, member(i, "a").Address)
		}
		for assignment := range 729 {
			var groupOf [instances]int
			for i, rest := 0, assignment; i < instances; i, rest = i+1, rest/groups {
				groupOf[i] = rest % groups
			}
			for down := range 1 << seedCount {
				shares, majority := sharesOfGroups(seeds, groupOf[:], down)
				sum := 0.0
				for _, share := range shares {
					sum += share
				}
				// A group that has found most of the seeds may use all of it.
				assert.Assert(t, sum <= 1.001 || majority && sum <= 1.334, "groups %v, seeds down %b of %d: %v", groupOf, down, seedCount, shares)
			}
		}
	}
}

// sharesOfGroups returns the share of each group of instances of which the first ones are seeds. The seeds in down don't
// run, so that their machines refuse connections. majority reports whether a group has found most of the seeds.
func sharesOfGroups(seeds []string, groupOf []int, down int) (shares map[int]float64, majority bool) {
	shares = map[int]float64{}
	for i, group := range groupOf {
		if i < len(seeds) && down>>i&1 == 1 {
			continue
		}
		r := NewRoster(member(i, "a"), seeds)
		for other, otherGroup := range groupOf {
			isDown := other < len(seeds) && down>>other&1 == 1
			if isDown {
				r.recordSeedCall(at(0), seeds[other], syscall.ECONNREFUSED)
			} else if other != i && otherGroup == group {
				receiveFrom(r, 0, member(other, "a"))
			}
		}
		shares[group] = max(shares[group], r.Share(at(100)))
		majority = majority || r.Joined()
	}
	return shares, majority
}

// TestSurvivorsKeepTheirShare guards against instances that lose their part of what all share once they have forgotten
// the others, or use all of it.
func TestSurvivorsKeepTheirShare(t *testing.T) {
	r := NewRoster(member(8, "a"), []string{member(0, "a").Address, member(1, "a").Address})
	for i := range 8 {
		receiveFrom(r, 0, member(i, "a"))
	}
	assert.Equal(t, r.Share(at(0)), 1.0)
	later := int(2 * peerRetention / time.Millisecond)
	survivor := member(7, "a")
	survivor.Sequence++
	receiveFrom(r, later, survivor)
	assert.Equal(t, r.Share(at(later)), 2.0/9)
}

// TestSeedThatDoesNotRunTakesNoShare guards against instances that can't use what they share because some seeds are
// gone for good, and against taking a seed that can't be reached for one of them.
func TestSeedThatDoesNotRunTakesNoShare(t *testing.T) {
	r := NewRoster(member(8, "a"), []string{member(0, "a").Address, member(1, "a").Address, member(2, "a").Address})
	assert.Equal(t, r.Share(at(0)), 0.0)
	receiveFrom(r, 0, member(0, "a"))
	assert.Equal(t, r.Share(at(100)), 1.0/3)
	r.recordSeedCall(at(100), member(1, "a").Address, syscall.ECONNREFUSED)
	assert.Equal(t, r.Share(at(200)), 1.0/2)
	r.recordSeedCall(at(200), member(2, "a").Address, syscall.ECONNREFUSED)
	assert.Equal(t, r.Share(at(300)), 1.0)
	r.recordSeedCall(at(400), member(1, "a").Address, context.DeadlineExceeded)
	assert.Equal(t, r.Share(at(500)), 1.0/2)
	assert.Equal(t, r.Share(at(5000)), 1.0/3)
}
