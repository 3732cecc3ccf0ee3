package fleet

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
)

// Loads are sent in a binary encoding rather than as JSON: JSON-RPC scans each message several
// times, which is most of the cost of large sums; see BenchmarkPackedLoad.

// PackError reports that bytes received from a peer are not a valid encoding of a load, of crash
// records or of a list of upstreams. Bytes is their number.
type PackError struct{ Bytes int }

// Error implements error.
func (e *PackError) Error() string {
	return fmt.Sprintf("decoding message from peer: %d bytes malformed", e.Bytes)
}

// pack encodes the requests in flight, the demand and the retries of a load.
func (l *Load) pack() []byte {
	dst := binary.AppendUvarint(nil, uint64(len(l.InFlight)))
	for id, f := range l.InFlight {
		dst = appendString(dst, string(id))
		dst = binary.AppendVarint(dst, int64(f.Requests))
		dst = binary.AppendVarint(dst, int64(f.Tokens))
		dst = binary.AppendVarint(dst, int64(f.UnaccountedMemory))
		dst = binary.AppendVarint(dst, int64(f.ThroughputBucket))
		dst = appendInts(dst, f.Memory)
	}
	dst = binary.AppendUvarint(dst, uint64(len(l.Demand)))
	for service, d := range l.Demand {
		dst = appendString(dst, service)
		for _, rate := range []float64{d.PrefillRate, d.MemoryRate, d.StreamRate, d.RequestRate} {
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(rate))
		}
		dst = appendInts(dst, d.Throughputs)
	}
	dst = binary.AppendUvarint(dst, uint64(len(l.Retries)))
	for service, n := range l.Retries {
		dst = binary.AppendVarint(appendString(dst, service), int64(n))
	}
	return dst
}

// appendString appends a string with its length.
func appendString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// appendInts appends a list of numbers, each as its difference from the one before. Neighbouring
// numbers of forecasts and histograms differ little, so most differences take few bytes.
func appendInts(dst []byte, numbers []int) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(numbers)))
	previous := 0
	for _, n := range numbers {
		dst = binary.AppendVarint(dst, int64(n-previous))
		previous = n
	}
	return dst
}

// unpackLoad decodes what pack encoded. The error is a *PackError.
func unpackLoad(packed []byte) (Load, error) {
	r := &unpacker{rest: packed}
	l := NewLoad()
	for range r.length() {
		id := ident.UpstreamID(r.str())
		f := InFlight{Requests: r.varint(), Tokens: r.varint(), UnaccountedMemory: r.varint(), ThroughputBucket: r.varint(), Memory: r.ints()}
		l.InFlight[id] = f
	}
	for range r.length() {
		service := r.str()
		l.Demand[service] = Demand{PrefillRate: r.float(), MemoryRate: r.float(), StreamRate: r.float(), RequestRate: r.float(), Throughputs: r.ints()}
	}
	for range r.length() {
		service := r.str()
		l.Retries[service] = r.varint()
	}
	if !r.done() {
		return Load{}, &PackError{Bytes: len(packed)}
	}
	return l, nil
}

// packCrashes encodes crash records, in about 35 bytes each.
func packCrashes(crashes []quarantine.Crash) []byte {
	dst := binary.AppendUvarint(nil, uint64(len(crashes)))
	for _, c := range crashes {
		dst = binary.BigEndian.AppendUint64(dst, uint64(c.Content))
		dst = appendString(dst, string(c.Upstream))
		dst = binary.BigEndian.AppendUint64(dst, uint64(c.Incarnation))
		dst = binary.AppendVarint(dst, int64(c.Events))
		dst = appendBool(dst, c.Cleared)
		dst = binary.AppendVarint(dst, c.Age.Milliseconds())
	}
	return dst
}

// unpackCrashes decodes what packCrashes encoded. The error is a *PackError.
func unpackCrashes(packed []byte) ([]quarantine.Crash, error) {
	r := &unpacker{rest: packed}
	var out []quarantine.Crash
	for range r.length() {
		out = append(out, quarantine.Crash{
			Content: quarantine.Content(r.fixed64()), Upstream: ident.UpstreamID(r.str()), Incarnation: ident.Incarnation(r.fixed64()),
			Events: r.varint(), Cleared: r.varint() != 0, Age: time.Duration(r.varint()) * time.Millisecond,
		})
	}
	if !r.done() {
		return nil, &PackError{Bytes: len(packed)}
	}
	return out, nil
}

// appendBool appends 0 or 1 as a signed integer.
func appendBool(dst []byte, b bool) []byte {
	if b {
		return binary.AppendVarint(dst, 1)
	}
	return binary.AppendVarint(dst, 0)
}

// packParts encodes what crash records show of parts, in about 9 bytes for each part. It returns nil
// if they show nothing. The records themselves are encoded by packCrashes.
func packParts(crashes []quarantine.Crash) []byte {
	var dst []byte
	for i, c := range crashes {
		if len(c.Parts) == 0 {
			continue
		}
		dst = binary.AppendUvarint(dst, uint64(i))
		dst = appendBool(dst, c.Silent)
		dst = binary.AppendVarint(dst, c.RanFor.Milliseconds())
		dst = binary.AppendVarint(dst, c.Unnoticed.Milliseconds())
		dst = binary.AppendUvarint(dst, uint64(len(c.Parts)))
		for _, e := range c.Parts {
			dst = binary.BigEndian.AppendUint64(dst, uint64(e.Part))
			dst = appendBool(dst, e.Acquitted)
		}
	}
	return dst
}

// unpackParts adds to crash records what packParts encoded of them. The error is a *PackError.
func unpackParts(packed []byte, crashes []quarantine.Crash) error {
	r := &unpacker{rest: packed}
	for len(r.rest) > 0 {
		i, silent := r.uvarint(), r.varint() != 0
		ranFor, unnoticed := time.Duration(r.varint())*time.Millisecond, time.Duration(r.varint())*time.Millisecond
		var parts []quarantine.PartEvidence
		for range r.length() {
			parts = append(parts, quarantine.PartEvidence{Part: quarantine.Part(r.fixed64()), Acquitted: r.varint() != 0})
		}
		if r.failed || i >= uint64(len(crashes)) || ranFor < 0 || unnoticed < 0 {
			return &PackError{Bytes: len(packed)}
		}
		c := &crashes[i]
		c.Parts, c.Silent, c.RanFor, c.Unnoticed = parts, silent, ranFor, unnoticed
	}
	if !r.done() {
		return &PackError{Bytes: len(packed)}
	}
	return nil
}

// unpacker decodes values from bytes. After the first malformed value, failed is set and all
// further reads return zero values.
type unpacker struct {
	rest   []byte
	failed bool
}

// next returns the next n bytes, or nil if there are fewer.
func (r *unpacker) next(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.fail()
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

// fail marks the input as malformed and ends decoding.
func (r *unpacker) fail() { r.failed, r.rest = true, nil }

// done reports whether the whole input has been decoded without errors.
func (r *unpacker) done() bool { return !r.failed && len(r.rest) == 0 }

// length reads the number of the elements that follow. Each element takes at least one byte, so a
// larger number than there are bytes left is malformed. This bounds the memory allocated for
// malformed input.
func (r *unpacker) length() int {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.fail()
		return 0
	}
	return int(n)
}

// varint reads a signed integer.
func (r *unpacker) varint() int {
	n, size := binary.Varint(r.rest)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// uvarint reads an unsigned integer.
func (r *unpacker) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// str reads a string.
func (r *unpacker) str() string { return string(r.next(r.length())) }

// ints reads a list of numbers encoded by appendInts.
func (r *unpacker) ints() []int {
	n := r.length()
	if n == 0 {
		return nil
	}
	numbers := make([]int, n)
	previous := 0
	for i := range numbers {
		previous += r.varint()
		numbers[i] = previous
	}
	return numbers
}

// float reads a floating-point number.
func (r *unpacker) float() float64 { return math.Float64frombits(r.fixed64()) }

// fixed64 reads a 64-bit big-endian integer.
func (r *unpacker) fixed64() uint64 {
	b := r.next(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
