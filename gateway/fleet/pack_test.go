package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

// TestPackedLoadsComeBack checks that decoding an encoded load gives the same load. Values may be
// negative, since the report that an instance subtracts from a sum may be newer than the sum.
func TestPackedLoadsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := NewLoad()
		for _, id := range rapid.SliceOfDistinct(rapid.String(), rapid.ID[string]).Draw(t, "engines") {
			load.InFlight[ident.UpstreamID(id)] = InFlight{
				Requests: rapid.Int().Draw(t, "requests"), Tokens: rapid.Int().Draw(t, "tokens"),
				UnaccountedMemory: rapid.Int().Draw(t, "unexplained"),
				Memory:            rapid.SliceOfN(rapid.IntRange(-1<<40, 1<<40), 1, 12).Draw(t, "memory"),
			}
		}
		for _, service := range rapid.SliceOfDistinct(rapid.String(), rapid.ID[string]).Draw(t, "services") {
			load.Demand[service] = Demand{PrefillRate: rapid.Float64().Draw(t, "rate"), Throughputs: schedule.ThroughputHistogram{0, 3, 7}}
		}
		for _, service := range rapid.SliceOfDistinct(rapid.String(), rapid.ID[string]).Draw(t, "spending") {
			load.Retries[service] = rapid.Int().Draw(t, "spent")
		}
		back, err := unpackLoad(load.pack())
		assert.NilError(t, err)
		assert.DeepEqual(t, back, load)
	})
}

// TestPackedCrashesComeBack checks that decoding encoded crash records gives the same records, and
// that truncated input is rejected.
func TestPackedCrashesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []quarantine.Crash
		for range rapid.IntRange(0, 5).Draw(t, "n") {
			crashes = append(crashes, quarantine.Crash{
				Content: quarantine.Content(rapid.Uint64().Draw(t, "content")), Upstream: ident.UpstreamID(rapid.String().Draw(t, "upstream")),
				Incarnation: ident.Incarnation(rapid.Uint64().Draw(t, "incarnation")), Events: rapid.Int().Draw(t, "made"),
				Cleared: rapid.Bool().Draw(t, "cleared"), Age: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "age")) * time.Millisecond,
			})
		}
		packed := packCrashes(crashes)
		back, err := unpackCrashes(packed)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, crashes)
		assert.Assert(t, packParts(crashes) == nil)
		_, err = unpackCrashes(packed[:rapid.IntRange(0, len(packed)-1).Draw(t, "cut")])
		var malformed *PackError
		assert.Assert(t, errors.As(err, &malformed))
	})
}

// TestPackedPartsComeBack checks that decoding what crash records show of parts gives the same, that
// truncated input is rejected, and that a peer of an older version, which sends none, is understood.
func TestPackedPartsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []quarantine.Crash
		for range rapid.IntRange(1, 5).Draw(t, "n") {
			c := quarantine.Crash{Content: quarantine.Content(rapid.Uint64().Draw(t, "content")), Upstream: "u"}
			for range rapid.IntRange(0, 3).Draw(t, "parts") {
				c.Parts = append(c.Parts, quarantine.PartEvidence{Part: quarantine.Part(rapid.Uint64().Draw(t, "part")), Acquitted: rapid.Bool().Draw(t, "acquitted")})
			}
			if c.Parts != nil {
				c.Silent = rapid.Bool().Draw(t, "silent")
				c.RanFor = time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "ran")) * time.Millisecond
				c.Unnoticed = time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "unnoticed")) * time.Millisecond
			}
			crashes = append(crashes, c)
		}
		back, err := unpackCrashes(packCrashes(crashes))
		assert.NilError(t, err)
		assert.NilError(t, unpackParts(nil, back))
		packed := packParts(crashes)
		assert.NilError(t, unpackParts(packed, back))
		assert.DeepEqual(t, back, crashes)
		if len(packed) > 0 {
			var malformed *PackError
			assert.Assert(t, errors.As(unpackParts(append(packed, 9), back), &malformed))
			assert.Assert(t, errors.As(unpackParts(packed, nil), &malformed))
		}
	})
}

// TestNoPackedLoad checks that input of another version or from a faulty sender is rejected:
// truncated at any byte, or with a byte too many.
func TestNoPackedLoad(t *testing.T) {
	load := sumOf(3)
	packed := load.pack()
	for cut := range len(packed) {
		var malformed *PackError
		_, err := unpackLoad(packed[:cut])
		assert.Assert(t, errors.As(err, &malformed), "truncated to %d bytes", cut)
	}
	_, err := unpackLoad(append(packed, 0))
	assert.ErrorContains(t, err, "malformed")
}

// FuzzUnpackLoad checks that no input makes the decoder panic or allocate more than is
// proportional to the length of the input.
func FuzzUnpackLoad(f *testing.F) {
	load := sumOf(2)
	f.Add(load.pack())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, packed []byte) {
		l, err := unpackLoad(packed)
		if err == nil && len(l.InFlight) > len(packed) {
			t.Fatalf("decoded %d engines from %d bytes", len(l.InFlight), len(packed))
		}
	})
}

// sumOf returns a load with the given number of engines.
func sumOf(engines int) Load {
	load := NewLoad()
	for e := range engines {
		load.InFlight[ident.UpstreamID(fmt.Sprintf("i-%010d", e))] = InFlight{Requests: 12, Memory: []int{51234, 51900, 52333, 50120, 41234, 33333, 25000, 12345, 4321, 999}}
	}
	load.Demand["m"] = Demand{PrefillRate: 123456.789, MemoryRate: 98765.4321, StreamRate: 123.456, Throughputs: schedule.ThroughputHistogram{0, 0, 1, 5, 12, 40, 7}}
	return load
}

// BenchmarkPackedLoad encodes a sum of 64 engines in an answer and decodes it. As JSON it took
// 0.27 ms and 5.6 KB; it takes 0.075 ms and 3.6 KB now.
func BenchmarkPackedLoad(b *testing.B) {
	load := sumOf(64)
	for b.Loop() {
		body, err := json.Marshal(LoadAnswer{Sum: load.pack()})
		assert.NilError(b, err)
		var a LoadAnswer
		assert.NilError(b, json.Unmarshal(body, &a))
		_, err = unpackLoad(a.Sum)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(body)), "bytes")
	}
}

// FuzzUnpackParts checks that no input makes the decoder panic.
func FuzzUnpackParts(f *testing.F) {
	f.Add(packParts([]quarantine.Crash{{Parts: []quarantine.PartEvidence{{Part: 1, Acquitted: true}, {Part: 2}}, RanFor: time.Second}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, packed []byte) {
		crashes := make([]quarantine.Crash, 3)
		if unpackParts(packed, crashes) == nil && len(crashes[0].Parts) > len(packed) {
			t.Errorf("decoded %d parts from %d bytes", len(crashes[0].Parts), len(packed))
		}
	})
}

// FuzzUnpackCrashes checks that no input makes the decoder panic.
func FuzzUnpackCrashes(f *testing.F) {
	f.Add(packCrashes([]quarantine.Crash{{Content: 1, Upstream: "i-1", Events: 3, Age: time.Second}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, packed []byte) {
		if crashes, err := unpackCrashes(packed); err == nil && len(crashes) > len(packed) {
			t.Errorf("decoded %d crash records from %d bytes", len(crashes), len(packed))
		}
	})
}
