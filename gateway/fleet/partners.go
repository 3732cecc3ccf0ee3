package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// toldLately is how long after its last heartbeat or answer a peer is not called. A call
	// exchanges heartbeats in both directions, so only one of the two instances has to call.
	toldLately = 220 * time.Millisecond
	// answeredLately is how long the answer to this instance's last call suffices. Orders to
	// engines require answers of the last 1.5 s from most instances.
	answeredLately = 900 * time.Millisecond
	// changePartner is the probability that a partner in a large fleet is replaced in a round.
	// With new partners in every round, most heartbeats would open a connection, whose handshake
	// costs as much as the heartbeat.
	changePartner = 0.1
)

// Partners returns the addresses of the peers to exchange heartbeats with now. In a small fleet
// these are all peers that have not just done so; in a large one, some of the own zone and
// occasionally one of another zone, chosen at random. Seeds that are not yet known as peers are
// included.
func (r *Roster) Partners(now time.Time, random *rand.Rand) []string {
	var own, foreign []string
	for _, p := range r.peers {
		if p.member.Zone == r.self.Zone {
			own = append(own, p.member.Address)
		} else {
			foreign = append(foreign, p.member.Address)
		}
	}
	known := slices.Concat(own, foreign)
	var partners []string
	if !r.large() {
		partners = r.quietPeers(now)
	} else {
		calls := min(1, foreignCalls/float64(len(own)+1))
		partners = r.steady(now, random, own)
		if random.Float64() < calls {
			partners = append(partners, some(random, foreign, 1)...)
		}
	}
	for _, s := range r.seeds {
		if s != r.self.Address && !slices.Contains(known, s) {
			partners = append(partners, s)
		}
	}
	return partners
}

// steady returns the partners of the own zone in a large fleet. It keeps most of the live
// partners of the last round and fills up with others chosen at random.
func (r *Roster) steady(now time.Time, random *rand.Rand, own []string) []string {
	lives := map[string]bool{}
	for _, p := range r.peers {
		lives[p.member.Address] = r.lives(now, p)
	}
	var partners []string
	for _, address := range r.partners {
		if lives[address] && random.Float64() >= changePartner {
			partners = append(partners, address)
		}
	}
	for _, address := range some(random, own, fanout) {
		if len(partners) < fanout && !slices.Contains(partners, address) {
			partners = append(partners, address)
		}
	}
	r.partners = slices.Clone(partners)
	return partners
}

// quietPeers returns the addresses of the peers that have not been in contact within toldLately,
// or have not answered a call within answeredLately.
func (r *Roster) quietPeers(now time.Time) []string {
	var out []string
	for _, p := range r.peers {
		if now.Sub(p.told) >= toldLately || now.Sub(p.answered) >= answeredLately {
			out = append(out, p.member.Address)
		}
	}
	return out
}

// some returns up to n of the addresses, chosen at random. It reorders addresses. Sorting them
// first makes the result depend only on the set of addresses and on random.
func some(random *rand.Rand, addresses []string, n int) []string {
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
