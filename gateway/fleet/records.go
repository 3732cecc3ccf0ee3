package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// recordKey names one description of an instance (ID, incarnation, whether it is
// stopping) in packed records: the low 32 bits of its xxhash64. Of 410 instances two
// share a key with a probability of 2 in 100,000; the later one is then known by its own
// heartbeats and full descriptions only.
type recordKey uint32

// Sizes of packed records, in bytes.
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

// ZoneRecords are signs of life of the instances of a zone that the sender takes for
// alive, itself included.
type ZoneRecords struct {
	Zone ident.Zone `json:"z"`
	// Fingerprint tells sets of live instances apart.
	Fingerprint uint64 `json:"p"`
	// Sequences holds the low two bytes of the last heartbeat's sequence of each, in the
	// order of their keys. A receiver that takes the same ones for alive needs no more.
	Sequences []byte `json:"s"`
	// Named means that Keys holds the keys, to a receiver whose set differs.
	Named bool   `json:"n,omitempty"`
	Keys  []byte `json:"k,omitempty"`
}

// group is the live instances of a zone.
type group struct {
	// members are sorted by key; this instance's is nil.
	members     []*peerState
	keys        []recordKey
	fingerprint uint64
}

// add adds an instance; nil is the one that the roster is of.
func (g *group) add(key recordKey, p *peerState) {
	i, _ := slices.BinarySearch(g.keys, key)
	g.keys = slices.Insert(g.keys, i, key)
	g.members = slices.Insert(g.members, i, p)
	g.fingerprint ^= xxhash.Sum64(binary.BigEndian.AppendUint32(nil, uint32(key)))
}

// records packs a zone's signs of life.
func (r *Roster) records(zone ident.Zone, named bool) ZoneRecords {
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

// takeRecords takes in a zone's signs of life. Those of unknown instances are skipped:
// whoever knows them describes them. Without
// keys they can be told apart only if both sides take the same instances for alive.
func (r *Roster) takeRecords(now time.Time, z ZoneRecords) {
	if z.Named {
		for i := 0; (i+1)*keyBytes <= len(z.Keys) && (i+1)*sequenceBytes <= len(z.Sequences); i++ {
			key := recordKey(binary.BigEndian.Uint32(z.Keys[i*keyBytes:]))
			r.takeSequence(now, r.byKey[key], z.Sequences[i*sequenceBytes:])
		}
		return
	}
	g := r.groups[z.Zone]
	if g == nil || g.fingerprint != z.Fingerprint || len(z.Sequences) != sequenceBytes*len(g.members) {
		return
	}
	for i, p := range g.members {
		r.takeSequence(now, p, z.Sequences[i*sequenceBytes:])
	}
}

// takeSequence takes in the low part of a peer's sequence; sequences are compared as
// serial numbers. The peer is nil if it is unknown, or this instance itself.
func (r *Roster) takeSequence(now time.Time, p *peerState, packed []byte) {
	if p == nil {
		return
	}
	ahead := int16(binary.BigEndian.Uint16(packed) - uint16(p.member.Sequence))
	if ahead <= 0 {
		return
	}
	p.member.Sequence += uint64(ahead)
	r.hear(p, now)
}

// Reconcile returns what to tell a peer whose answer named the live instances of zones
// that differ from this one's: descriptions of those that it lacks, and the keys of those
// known here, so that it describes the rest. It returns false if nothing differs.
func (r *Roster) Reconcile(now time.Time, answer Heartbeat) (Heartbeat, bool) {
	r.refresh(now)
	h := Heartbeat{From: r.self}
	for _, z := range answer.Zones {
		own := r.records(z.Zone, true)
		if !z.Named || own.Fingerprint == z.Fingerprint {
			continue
		}
		h.Zones = append(h.Zones, own)
		h.Relayed = append(h.Relayed, r.lacking(now, answer.From.ID, z)...)
	}
	return h, len(h.Zones) > 0
}

// lacking returns descriptions of live peers of a zone that the sender of records with
// keys lacks, the freshest if there are many. A peer that was silent for half of what is
// allowed is left out: the sender may rightly take it for dead.
func (r *Roster) lacking(now time.Time, to ident.InstanceID, z ZoneRecords) []Relayed {
	known := map[recordKey]bool{}
	for block := z.Keys; len(block) >= keyBytes; block = block[keyBytes:] {
		known[recordKey(binary.BigEndian.Uint32(block))] = true
	}
	var out []Relayed
	for id, p := range r.peers {
		age := now.Sub(p.heard)
		if id == to || p.member.Zone != z.Zone || known[p.key] || age >= r.aliveFor(&p.member)/2 {
			continue
		}
		out = append(out, relayed(p, age))
	}
	slices.SortFunc(out, func(a, b Relayed) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), mostDescribed)]
}

// relayed describes a peer to another, without its load: loads come from the instance
// itself or a hub; relayed, they would be most of the bytes between zones.
func relayed(p *peerState, age time.Duration) Relayed {
	m := p.member
	m.Load = Load{}
	return Relayed{Member: m, AgeMS: age.Milliseconds()}
}
