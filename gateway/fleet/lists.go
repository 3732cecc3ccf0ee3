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
	// keptVersions is how many versions of the list an instance can tell the difference from.
	// Each differs, and peers ask twice a second, so that they cover some ten seconds.
	keptVersions = 32
	// maxListBytes bounds an unpacked list.
	maxListBytes = 64 << 20
)

// State bits of a packed upstream.
const (
	stateLeaving = 1 << iota
	stateCold
)

// hashOf hashes an upstream, with each of its fields.
func hashOf(u *dialect.Upstream) uint64 {
	var buffer [256]byte
	return xxhash.Sum64(appendUpstream(buffer[:0], u))
}

// digestOf hashes a list. A sum does not depend on the order.
func digestOf(list []dialect.Upstream) uint64 {
	sum := uint64(0)
	for i := range list {
		sum += hashOf(&list[i])
	}
	return sum
}

// appendUpstream packs an upstream.
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

// packUpstreams packs a list.
func packUpstreams(list []dialect.Upstream) []byte {
	dst := binary.AppendUvarint(nil, uint64(len(list)))
	for i := range list {
		dst = appendUpstream(dst, &list[i])
	}
	return dst
}

// unpackUpstreams unpacks a list. The error is a *PackError.
func unpackUpstreams(packed []byte) ([]dialect.Upstream, error) {
	r := &unpacker{left: packed}
	var out []dialect.Upstream
	for range r.count() {
		u := dialect.Upstream{
			ID: ident.UpstreamID(r.text()), Incarnation: ident.Incarnation(r.unsigned()), Service: r.text(), Address: r.text(),
			Zone: ident.Zone(r.text()), Slots: r.number(),
		}
		state := r.number()
		u.Leaving, u.Cold = state&stateLeaving != 0, state&stateCold != 0
		u.Stage = dialect.Stage(r.text())
		out = append(out, u)
	}
	if !r.whole() {
		return nil, &PackError{Bytes: len(packed)}
	}
	return out, nil
}

// compress compresses a packed list: addresses, services and zones repeat.
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

// expand undoes compress.
func expand(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxListBytes))
}

// listVersion is a digest that the list had, and the number of the change that gave it.
type listVersion struct {
	digest uint64
	change uint64
}

// Difference is what turns a list into a newer one.
type Difference struct {
	// Changed are new upstreams and changed ones, as they are now.
	Changed []dialect.Upstream
	Gone    []ident.UpstreamID
}

// Since returns the difference from the list of a digest; false if it is not among the last
// ones that the view had.
func (v *View) Since(digest uint64) (Difference, bool) {
	at := slices.IndexFunc(v.versions, func(o listVersion) bool { return o.digest == digest })
	if at < 0 {
		return Difference{}, false
	}
	var d Difference
	seen := map[ident.UpstreamID]bool{}
	for _, c := range v.recent[v.recentAfter(v.versions[at].change):] {
		if seen[c.id] {
			continue
		}
		seen[c.id] = true
		if e := v.entries[c.id]; e == nil || e.gone {
			d.Gone = append(d.Gone, c.id)
		} else {
			d.Changed = append(d.Changed, e.up)
		}
	}
	return d, true
}

// apply returns the list that a difference makes of another one.
func (d Difference) apply(list []dialect.Upstream) []dialect.Upstream {
	replaced := map[ident.UpstreamID]bool{}
	for _, id := range d.Gone {
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
