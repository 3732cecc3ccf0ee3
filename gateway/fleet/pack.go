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
// evidence or of a list of upstreams. Bytes is their number.
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
		dst = binary.AppendVarint(dst, int64(f.Unexplained))
		dst = binary.AppendVarint(dst, int64(f.Pace))
		dst = appendSteps(dst, f.Memory)
	}
	dst = binary.AppendUvarint(dst, uint64(len(l.Demand)))
	for service, d := range l.Demand {
		dst = appendString(dst, service)
		for _, rate := range []float64{d.PrefillRate, d.MemoryRate, d.StreamRate, d.RequestRate} {
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(rate))
		}
		dst = appendSteps(dst, d.Paces)
	}
	dst = binary.AppendUvarint(dst, uint64(len(l.Spent)))
	for service, n := range l.Spent {
		dst = binary.AppendVarint(appendString(dst, service), int64(n))
	}
	return dst
}

// appendString appends a string with its length.
func appendString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// appendSteps appends a list of numbers, each as its difference from the one before. Neighbouring
// numbers of forecasts and histograms differ little, so most differences take few bytes.
func appendSteps(dst []byte, steps []int) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(steps)))
	before := 0
	for _, n := range steps {
		dst = binary.AppendVarint(dst, int64(n-before))
		before = n
	}
	return dst
}

// unpackLoad decodes what pack encoded. The error is a *PackError.
func unpackLoad(packed []byte) (Load, error) {
	r := &unpacker{left: packed}
	l := NewLoad()
	for range r.count() {
		id := ident.UpstreamID(r.text())
		f := InFlight{Requests: r.number(), Tokens: r.number(), Unexplained: r.number(), Pace: r.number(), Memory: r.steps()}
		l.InFlight[id] = f
	}
	for range r.count() {
		service := r.text()
		l.Demand[service] = Demand{PrefillRate: r.rate(), MemoryRate: r.rate(), StreamRate: r.rate(), RequestRate: r.rate(), Paces: r.steps()}
	}
	for range r.count() {
		service := r.text()
		l.Spent[service] = r.number()
	}
	if !r.whole() {
		return Load{}, &PackError{Bytes: len(packed)}
	}
	return l, nil
}

// packCrashes encodes evidence of crashes, in about 35 bytes for each piece.
func packCrashes(crashes []quarantine.Crash) []byte {
	dst := binary.AppendUvarint(nil, uint64(len(crashes)))
	for _, c := range crashes {
		dst = binary.BigEndian.AppendUint64(dst, uint64(c.Content))
		dst = appendString(dst, string(c.Upstream))
		dst = binary.BigEndian.AppendUint64(dst, uint64(c.Incarnation))
		dst = binary.AppendVarint(dst, int64(c.Made))
		cleared := int64(0)
		if c.Cleared {
			cleared = 1
		}
		dst = binary.AppendVarint(dst, cleared)
		dst = binary.AppendVarint(dst, c.Age.Milliseconds())
	}
	return dst
}

// unpackCrashes decodes what packCrashes encoded. The error is a *PackError.
func unpackCrashes(packed []byte) ([]quarantine.Crash, error) {
	r := &unpacker{left: packed}
	var out []quarantine.Crash
	for range r.count() {
		out = append(out, quarantine.Crash{
			Content: quarantine.Content(r.word()), Upstream: ident.UpstreamID(r.text()), Incarnation: ident.Incarnation(r.word()),
			Made: r.number(), Cleared: r.number() != 0, Age: time.Duration(r.number()) * time.Millisecond,
		})
	}
	if !r.whole() {
		return nil, &PackError{Bytes: len(packed)}
	}
	return out, nil
}

// unpacker decodes values from bytes. After the first malformed value, failed is set and all
// further reads return zero values.
type unpacker struct {
	left   []byte
	failed bool
}

// take returns the next n bytes, or nil if there are fewer.
func (r *unpacker) take(n int) []byte {
	if n < 0 || n > len(r.left) {
		r.fail()
		return nil
	}
	out := r.left[:n]
	r.left = r.left[n:]
	return out
}

// fail marks the input as malformed and ends decoding.
func (r *unpacker) fail() { r.failed, r.left = true, nil }

// whole reports whether the whole input has been decoded without errors.
func (r *unpacker) whole() bool { return !r.failed && len(r.left) == 0 }

// count reads the number of the elements that follow. Each element takes at least one byte, so a
// larger number than there are bytes left is malformed. This bounds the memory allocated for
// malformed input.
func (r *unpacker) count() int {
	n := r.unsigned()
	if n > uint64(len(r.left)) {
		r.fail()
		return 0
	}
	return int(n)
}

// number reads a signed integer.
func (r *unpacker) number() int {
	n, size := binary.Varint(r.left)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.left = r.left[size:]
	return int(n)
}

// unsigned reads an unsigned integer.
func (r *unpacker) unsigned() uint64 {
	n, size := binary.Uvarint(r.left)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.left = r.left[size:]
	return n
}

// text reads a string.
func (r *unpacker) text() string { return string(r.take(r.count())) }

// steps reads a list of numbers encoded by appendSteps.
func (r *unpacker) steps() []int {
	n := r.count()
	if n == 0 {
		return nil
	}
	steps := make([]int, n)
	last := 0
	for i := range steps {
		last += r.number()
		steps[i] = last
	}
	return steps
}

// rate reads a floating-point number.
func (r *unpacker) rate() float64 { return math.Float64frombits(r.word()) }

// word reads a 64-bit big-endian integer.
func (r *unpacker) word() uint64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
