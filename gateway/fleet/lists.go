package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// maxListVersions is the number of list versions from which a difference can be computed.
	// Consecutive versions differ and peers ask twice a second, so they cover about ten seconds.
	maxListVersions = 32
	// maxUnpackedListBytes bounds the decompressed size of a list.
	maxUnpackedListBytes = 64 << 20
)

// State bits of an encoded upstream.
const (
	stateLeaving = 1 << iota
	stateCold
)

// upstreamHash returns a hash of all fields of an upstream.
func upstreamHash(u *dialect.Upstream) uint64 {
	var buffer [256]byte
	encoded := appendUpstream(buffer[:0], u)
	if u.SoftwareVersion != "" {
		encoded = appendString(encoded, u.SoftwareVersion)
	}
	return xxhash.Sum64(encoded)
}

// listDigest returns the digest of a list: the sum of the hashes of its upstreams, which does not
// depend on their order.
func listDigest(list []dialect.Upstream) uint64 {
	sum := uint64(0)
	for i := range list {
		sum += upstreamHash(&list[i])
	}
	return sum
}

// appendUpstream appends the encoding of an upstream.
func appendUpstream(dst []byte, u *dialect.Upstream) []byte {
	dst = appendString(dst, string(u.ID))
	dst = binary.AppendUvarint(dst, uint64(u.Incarnation))
	dst = appendString(dst, u.Service)
	dst = appendString(dst, u.Address)
	dst = appendString(dst, string(u.Zone))
	dst = binary.AppendVarint(dst, int64(u.Slots))
	state := int64(0)
	if u.Leaving {
		state |= stateLeaving
	}
	if u.Cold {
		state |= stateCold
	}
	dst = binary.AppendVarint(dst, state)
	return appendString(dst, string(u.Stage))
}

// packUpstreams encodes a list of upstreams.
func packUpstreams(list []dialect.Upstream) []byte {
	dst := binary.AppendUvarint(nil, uint64(len(list)))
	for i := range list {
		dst = appendUpstream(dst, &list[i])
	}
	return dst
}

// unpackUpstreams decodes what packUpstreams encoded. The error is a *PackError.
func unpackUpstreams(packed []byte) ([]dialect.Upstream, error) {
	r := &unpacker{rest: packed}
	var out []dialect.Upstream
	for range r.length() {
		u := dialect.Upstream{
			ID: ident.UpstreamID(r.str()), Incarnation: ident.Incarnation(r.uvarint()), Service: r.str(), Address: r.str(),
			Zone: ident.Zone(r.str()), Slots: r.varint(),
		}
		state := r.varint()
		u.Leaving, u.Cold = state&stateLeaving != 0, state&stateCold != 0
		u.Stage = dialect.Stage(r.str())
		out = append(out, u)
	}
	if !r.done() {
		return nil, &PackError{Bytes: len(packed)}
	}
	return out, nil
}

// packVersions encodes the software versions of a list: the versions, and the number of the version of
// each upstream unless all have the same. They are sent beside the list, since instances of earlier
// releases reject a list with fields that they don't know.
func packVersions(list []dialect.Upstream) []byte {
	var versions []string
	numbers := make([]int, len(list))
	for i := range list {
		numbers[i] = slices.Index(versions, list[i].SoftwareVersion)
		if numbers[i] < 0 {
			numbers[i] = len(versions)
			versions = append(versions, list[i].SoftwareVersion)
		}
	}
	dst := binary.AppendUvarint(nil, uint64(len(versions)))
	for _, v := range versions {
		dst = appendString(dst, v)
	}
	if len(versions) < 2 {
		return dst
	}
	for _, n := range numbers {
		dst = binary.AppendUvarint(dst, uint64(n))
	}
	return dst
}

// unpackVersions sets the software versions of a list to what packVersions encoded, which is empty if
// the sender doesn't know them. The error is a *PackError.
func unpackVersions(packed []byte, list []dialect.Upstream) error {
	if len(packed) == 0 {
		return nil
	}
	r := &unpacker{rest: packed}
	var versions []string
	for range r.length() {
		versions = append(versions, r.str())
	}
	for i := range list {
		number := uint64(0)
		if len(versions) > 1 {
			number = r.uvarint()
		}
		if number >= uint64(len(versions)) {
			return &PackError{Bytes: len(packed)}
		}
		list[i].SoftwareVersion = versions[number]
	}
	if !r.done() {
		return &PackError{Bytes: len(packed)}
	}
	return nil
}

// compress compresses an encoded list with gzip. Its addresses, services and zones are
// repetitive.
func compress(packed []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(packed); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress decompresses the output of compress.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpackedListBytes))
}

// listVersion is the digest of a version of the list, with the number of the change that produced
// it.
type listVersion struct {
	digest uint64
	change uint64
}

// Difference is the change from one version of a list to a newer one.
type Difference struct {
	// Changed holds the new and the changed upstreams in their new state, Removed the IDs of the
	// removed ones.
	Changed []dialect.Upstream
	Removed []ident.UpstreamID
}

// DifferenceFrom returns the difference between the current list and the version with the given
// digest. It returns false if that version is not among the latest that the view keeps.
func (v *View) DifferenceFrom(digest uint64) (Difference, bool) {
	at := slices.IndexFunc(v.versions, func(o listVersion) bool { return o.digest == digest })
	if at < 0 {
		return Difference{}, false
	}
	var d Difference
	seen := map[ident.UpstreamID]bool{}
	for _, c := range v.recentChanges[v.recentChangesAfter(v.versions[at].change):] {
		if seen[c.id] {
			continue
		}
		seen[c.id] = true
		if e := v.entries[c.id]; e == nil || e.gone {
			d.Removed = append(d.Removed, c.id)
		} else {
			d.Changed = append(d.Changed, e.upstream)
		}
	}
	return d, true
}

// apply returns the list that results from applying the difference to the given one.
func (d Difference) apply(list []dialect.Upstream) []dialect.Upstream {
	replaced := map[ident.UpstreamID]bool{}
	for _, id := range d.Removed {
		replaced[id] = true
	}
	for _, u := range d.Changed {
		replaced[u.ID] = true
	}
	out := make([]dialect.Upstream, 0, len(list)+len(d.Changed))
	for _, u := range list {
		if !replaced[u.ID] {
			out = append(out, u)
		}
	}
	return append(out, d.Changed...)
}
