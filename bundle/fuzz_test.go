package bundle

import (
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// FuzzParseSource checks that every source gives either content or findings, and
// that a bundle can be built and assembled from accepted content.
func FuzzParseSource(f *testing.F) {
	for _, name := range []string{"../examples/coastline/bundle.yaml", "../examples/lagos/bundle.yaml", "testdata/faulty.yaml"} {
		b, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("? - {"))
	f.Add([]byte("kinds: [{name: a, pace: 1e400}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		content, findings := ParseSource("fuzz", b)
		assert.Equal(t, content == nil, len(findings) > 0)
		if content == nil {
			return
		}
		h, parts, err := Build(Draft{Content: content, Approvers: oldSet})
		assert.NilError(t, err)
		_, err = Assemble(&h.Manifest, parts)
		assert.NilError(t, err)
	})
}

// FuzzDecodeHead checks that a decoded head encodes to the same bytes, and that
// only a manifest signed by the genuine approvers verifies.
func FuzzDecodeHead(f *testing.F) {
	v1, _ := testBuild(f, Draft{Approvers: oldSet}, "ada", "ben")
	v2, _ := testBuild(f, Draft{Previous: v1, Approvers: newSet, Note: "rotation"}, "ada", "ben", "dan", "eve")
	v3, _ := testBuild(f, Draft{Previous: v2, Approvers: newSet}, "dan", "eve")
	genuine := map[Digest]bool{}
	for _, h := range []*Head{v1, v2, v3} {
		f.Add(h.Encode())
		genuine[h.Manifest.Digest()] = true
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := DecodeHead(b)
		if err != nil {
			var bad *DecodeError
			assert.Assert(t, errors.As(err, &bad))
			return
		}
		assert.DeepEqual(t, h.Encode(), b)
		if Verify(h, oldSet) == nil {
			assert.Assert(t, genuine[h.Manifest.Digest()], "a forged manifest was accepted")
		}
	})
}

// FuzzDecodeRoll checks that a decoded roll encodes to the same bytes, and that
// only a roll signed by the genuine approvers verifies.
func FuzzDecodeRoll(f *testing.F) {
	v1, _ := testBuild(f, Draft{Approvers: oldSet}, "ada", "ben")
	v2, _ := testBuild(f, Draft{Previous: v1, Approvers: oldSet}, "ada", "ben")
	genuine := map[Digest]bool{}
	for _, s := range []*SignedRoll{
		testRoll(f, Roll{Sequence: 1, Stage: StageAll}, v1, nil, "ada", "cyd"),
		testRoll(f, Roll{Sequence: 2, Stage: StageCanary, Share: 10, Zones: []ident.Zone{"hall-a"}}, v2, v1, "ada", "cyd"),
	} {
		f.Add(s.Encode())
		genuine[s.Roll.Digest()] = true
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeRoll(b)
		if err != nil {
			var bad *DecodeError
			assert.Assert(t, errors.As(err, &bad))
			return
		}
		assert.DeepEqual(t, s.Encode(), b)
		if VerifyRoll(s, oldSet) == nil {
			assert.Assert(t, genuine[s.Roll.Digest()], "a forged roll was accepted")
		}
	})
}

// FuzzPart checks that arbitrary bytes in place of the root of every section are
// rejected with a bounded amount of work.
func FuzzPart(f *testing.F) {
	h, parts := testBuild(f, Draft{Approvers: oldSet})
	for _, d := range parts.Digests() {
		b, _ := parts.Part(d)
		f.Add(b)
	}
	f.Add(encode(node{Level: 1, Children: parts.Digests()}))
	f.Fuzz(func(t *testing.T, b []byte) {
		have := parts.Clone()
		m := h.Manifest
		m.Sections = append([]Section(nil), m.Sections...)
		for i := range m.Sections {
			m.Sections[i].Root = have.put(b)
		}
		if _, err := Assemble(&m, have); err == nil {
			t.Fatal("Assemble accepted the same part as the root of every section")
		}
	})
}
