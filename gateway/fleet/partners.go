package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// directContactWindow is how long after its last heartbeat or answer a peer is not called. A
	// call exchanges heartbeats in both directions, so only one of the two instances has to call.
	directContactWindow = 220 * time.Millisecond
	// answerWindow is how long the answer to this instance's last call suffices. Orders to
	// engines require answers of the last 1.5 s from most instances.
	answerWindow = 900 * time.Millisecond
	// partnerReplaceProbability is the probability that a partner in a large fleet is replaced in
	// a round. With new partners in every round, most heartbeats would open a connection, whose
	// handshake costs as much as the heartbeat.
	partnerReplaceProbability = 0.1
)

// Partners returns the addresses of the peers to exchange heartbeats with now. In a small fleet
// these are all peers that have not just done so; in a large one, some of the own zone and
// occasionally one of another zone, chosen at random. Seeds that are not yet known as peers are
// included.
func (r *Roster) Partners(now time.Time, random *rand.Rand) []string {
	var own, otherZones []string
	for _, p := range r.peers {
		if p.member.Zone == r.self.Zone {
			own = append(own, p.member.Address)
		} else {
			otherZones = append(otherZones, p.member.Address)
		}
	}
	known := slices.Concat(own, otherZones)
	var partners []string
	if !r.isLarge() {
		partners = r.peersToCall(now)
	} else {
		callProbability := min(1, crossZoneCallers/float64(len(own)+1))
		partners = r.largeFleetPartners(now, random, own)
		if random.Float64() < callProbability {
			partners = append(partners, sample(random, otherZones, 1)...)
		}
	}
	for _, s := range r.seeds {
		if s != r.self.Address && !slices.Contains(known, s) {
			partners = append(partners, s)
		}
	}
	return partners
}

// largeFleetPartners returns the partners of the own zone in a large fleet. It keeps most of the
// live partners of the last round and fills up with others chosen at random.
func (r *Roster) largeFleetPartners(now time.Time, random *rand.Rand, own []string) []string {
	alive := map[string]bool{}
	for _, p := range r.peers {
		alive[p.member.Address] = r.isAlive(now, p)
	}
	var partners []string
	for _, address := range r.partners {
		if alive[address] && random.Float64() >= partnerReplaceProbability {
			partners = append(partners, address)
		}
	}
	for _, address := range sample(random, own, fanout) {
		if len(partners) < fanout && !slices.Contains(partners, address) {
			partners = append(partners, address)
		}
	}
	r.partners = slices.Clone(partners)
	return partners
}

// peersToCall returns the addresses of the peers that have not been in contact within
// directContactWindow, or have not answered a call within answerWindow.
func (r *Roster) peersToCall(now time.Time) []string {
	var out []string
	for _, p := range r.peers {
		if now.Sub(p.lastDirect) >= directContactWindow || now.Sub(p.lastAnswer) >= answerWindow {
			out = append(out, p.member.Address)
		}
	}
	return out
}

// sample returns up to n of the addresses, chosen at random. It reorders addresses. Sorting them
// first makes the result depend only on the set of addresses and on random.
func sample(random *rand.Rand, addresses []string, n int) []string {
	slices.SortFunc(addresses, cmp.Compare[string])
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// AnyPeer returns the address of a live peer chosen at random, or an empty string if there is
// none.
func (r *Roster) AnyPeer(now time.Time, random *rand.Rand) string {
	members := r.Members(now)
	if len(members) == 0 {
		return ""
	}
	return members[random.IntN(len(members))].Address
}
