package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// recordKey identifies one description of an instance (ID, incarnation, whether it is stopping)
// in ZoneRecords. It is the low 32 bits of the description's xxhash64. Among 410 instances, two
// share a key with a probability of 2 in 100,000; the one that was heard of later is then known
// only by its own heartbeats and by full descriptions.
type recordKey uint32

// Sizes of the fields of ZoneRecords for each instance, in bytes.
const (
	keyBytes      = 4
	sequenceBytes = 2
)

// keyOf returns the key of a member's description.
func keyOf(m *Member) recordKey {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(string(m.ID))
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(m.Incarnation)))
	if m.Leaving {
		_, _ = d.WriteString("leaving")
	}
	return recordKey(d.Sum64())
}

// ZoneRecords lists the instances of a zone that the sender counts as alive, including itself, in
// a compact form: by the sequences of their last heartbeats and, if needed, their keys.
type ZoneRecords struct {
	Zone ident.Zone `json:"z"`
	// Fingerprint identifies the set of live instances. Different sets have different
	// fingerprints, up to hash collisions.
	Fingerprint uint64 `json:"p"`
	// Sequences holds the low two bytes of the sequence of each instance's last heartbeat, in the
	// order of their keys. They suffice for a receiver that counts the same instances as alive.
	Sequences []byte `json:"s"`
	// Named is set if Keys holds the keys. They are for a receiver whose set differs.
	Named bool   `json:"n,omitempty"`
	Keys  []byte `json:"k,omitempty"`
}

// group is the set of live instances of a zone.
type group struct {
	// members is sorted by key. The entry of this instance itself is nil.
	members     []*peerState
	keys        []recordKey
	fingerprint uint64
}

// add adds an instance. p is nil for the instance that the roster belongs to.
func (g *group) add(key recordKey, p *peerState) {
	i, _ := slices.BinarySearch(g.keys, key)
	g.keys = slices.Insert(g.keys, i, key)
	g.members = slices.Insert(g.members, i, p)
	g.fingerprint ^= xxhash.Sum64(binary.BigEndian.AppendUint32(nil, uint32(key)))
}

// zoneRecords returns the records of a zone, with the keys if named is set.
func (r *Roster) zoneRecords(zone ident.Zone, named bool) ZoneRecords {
	out := ZoneRecords{Zone: zone, Named: named}
	g := r.groups[zone]
	if g == nil {
		return out
	}
	out.Fingerprint = g.fingerprint
	for i, p := range g.members {
		sequence := r.self.Sequence
		if p != nil {
			sequence = p.member.Sequence
		}
		out.Sequences = binary.BigEndian.AppendUint16(out.Sequences, uint16(sequence))
		if named {
			out.Keys = binary.BigEndian.AppendUint32(out.Keys, uint32(g.keys[i]))
		}
	}
	return out
}

// receiveRecords processes a zone's records from a peer. Records of unknown instances are skipped,
// since a peer that knows them will describe them. Records without keys are skipped unless both
// sides count the same instances as alive, since they can't be matched to instances otherwise.
func (r *Roster) receiveRecords(now time.Time, z ZoneRecords) {
	if z.Named {
		for i := 0; (i+1)*keyBytes <= len(z.Keys) && (i+1)*sequenceBytes <= len(z.Sequences); i++ {
			key := recordKey(binary.BigEndian.Uint32(z.Keys[i*keyBytes:]))
			r.receiveSequence(now, r.byKey[key], z.Sequences[i*sequenceBytes:])
		}
		return
	}
	g := r.groups[z.Zone]
	if g == nil || g.fingerprint != z.Fingerprint || len(z.Sequences) != sequenceBytes*len(g.members) {
		return
	}
	for i, p := range g.members {
		r.receiveSequence(now, p, z.Sequences[i*sequenceBytes:])
	}
}

// receiveSequence processes the low two bytes of a peer's sequence. They are compared as serial
// numbers, so that they may wrap around. p is nil if the peer is unknown or is this instance
// itself.
func (r *Roster) receiveSequence(now time.Time, p *peerState, packed []byte) {
	if p == nil {
		return
	}
	ahead := int16(binary.BigEndian.Uint16(packed) - uint16(p.member.Sequence))
	if ahead <= 0 {
		return
	}
	p.member.Sequence += uint64(ahead)
	r.recordHeartbeat(p, now)
}

// Reconcile returns what to send to a peer whose answer listed different live instances for some
// zones: the keys of those known here, so that the peer describes the others, and descriptions of
// those that the peer lacks. It returns false if nothing differs.
func (r *Roster) Reconcile(now time.Time, answer Heartbeat) (Heartbeat, bool) {
	r.refresh(now)
	h := r.newHeartbeat()
	for _, z := range answer.Zones {
		own := r.zoneRecords(z.Zone, true)
		if !z.Named || own.Fingerprint == z.Fingerprint {
			continue
		}
		h.Zones = append(h.Zones, own)
		h.Relayed = append(h.Relayed, r.describeMissing(now, answer.From.ID, z)...)
	}
	return h, len(h.Zones) > 0
}

// describeMissing returns descriptions of the live peers of a zone that are missing in records
// with keys, at most maxDescribed, the most recently heard first. Peers that have been silent for
// half the time after which they no longer count as alive are left out, since the sender may be
// right not to list them.
func (r *Roster) describeMissing(now time.Time, to ident.InstanceID, z ZoneRecords) []Relayed {
	known := map[recordKey]bool{}
	for keys := z.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
		known[recordKey(binary.BigEndian.Uint32(keys))] = true
	}
	var out []Relayed
	for id, p := range r.peers {
		age := now.Sub(p.lastHeartbeat)
		if id == to || p.member.Zone != z.Zone || known[p.key] || age >= r.aliveTimeout(&p.member)/2 {
			continue
		}
		out = append(out, newRelayed(p, age))
	}
	slices.SortFunc(out, func(a, b Relayed) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), maxDescribed)]
}

// newRelayed returns a peer's description for another instance, without its load. Instances get
// loads from the instance itself or from a hub; if they were relayed, they would make up most of
// the traffic between zones.
func newRelayed(p *peerState, age time.Duration) Relayed {
	m := p.member
	m.Load = Load{}
	return Relayed{Member: m, AgeMS: age.Milliseconds()}
}
