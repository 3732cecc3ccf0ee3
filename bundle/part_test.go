package bundle

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
)

func TestAssembleGivesBackTheContent(t *testing.T) {
	for _, deployment := range []string{"coastline", "lagos"} {
		content := readExample(t, deployment)
		h, parts := testBuild(t, Draft{Content: content, Approvers: oldSet})
		got, err := Assemble(&h.Manifest, parts)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, content)
	}
	content := largeContent(t)
	h, parts := testBuild(t, Draft{Content: content, Approvers: oldSet})
	got, err := Assemble(&h.Manifest, parts)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, content)
}

func TestBuildIsDeterministic(t *testing.T) {
	a, _ := testBuild(t, Draft{Approvers: oldSet})
	b, _ := testBuild(t, Draft{Approvers: oldSet})
	assert.DeepEqual(t, a.Encode(), b.Encode())
}

// newBytes returns the number and total size of the parts in after that are not in
// before.
func newBytes(before, after *PartSet) (parts, bytes int) {
	for _, d := range after.Digests() {
		if _, have := before.Part(d); !have {
			b, _ := after.Part(d)
			parts++
			bytes += len(b)
		}
	}
	return parts, bytes
}

// A small change to a bundle of about one megabyte must change only a few KB of
// parts, because instances transfer every changed part. This fails if chunk
// boundaries move with the content of entries.
func TestSmallChangeMovesLittle(t *testing.T) {
	const maxChangedBytes = 32 << 10
	before := largeContent(t)
	h, parts := testBuild(t, Draft{Content: before, Approvers: oldSet})
	t.Logf("first version: %d parts, %d bytes, head %d bytes", parts.Len(), parts.Bytes(), len(h.Encode()))
	changes := []struct {
		name   string
		change func(*config.Content)
	}{
		{"weight of one workspace", func(c *config.Content) { c.Workspaces[1700].Weight = 2 }},
		{"one workspace more, in the middle", func(c *config.Content) {
			w := c.Workspaces[1700]
			w.Name = "franchise-1696b"
			c.Workspaces = append(c.Workspaces[:1700], append([]config.Workspace{w}, c.Workspaces[1700:]...)...)
		}},
		{"one upstream less, first of all", func(c *config.Content) { c.Upstreams = c.Upstreams[1:] }},
		{"a policy weight", func(c *config.Content) { c.Policy.Scorers[0].Weight = 2 }},
	}
	for _, tc := range changes {
		t.Run(tc.name, func(t *testing.T) {
			c := largeContent(t)
			tc.change(c)
			next, after := testBuild(t, Draft{Previous: h, Content: c, Approvers: oldSet}, "ada", "ben")
			count, bytes := newBytes(parts, after)
			total := bytes + len(next.Encode())
			t.Logf("%d new parts, %d bytes; %d bytes including the head", count, bytes, total)
			assert.Assert(t, total <= maxChangedBytes)
		})
	}
}

func TestMissingPartsAreFoundLevelByLevel(t *testing.T) {
	h, all := testBuild(t, Draft{Content: largeContent(t), Approvers: oldSet})
	have := &PartSet{}
	rounds := 0
	for ; rounds < 10; rounds++ {
		missing, err := MissingParts(&h.Manifest, have)
		assert.NilError(t, err)
		if len(missing) == 0 {
			break
		}
		for _, d := range missing {
			b, ok := all.Part(d)
			assert.Assert(t, ok)
			assert.NilError(t, have.Add(Part{Digest: d, Bytes: b}))
		}
	}
	assert.DeepEqual(t, have.Digests(), all.Digests())
	assert.Assert(t, rounds <= 4, "found all parts after %d rounds, want at most 4", rounds)
}

func TestAssembleRefuses(t *testing.T) {
	h, parts := testBuild(t, Draft{Approvers: oldSet})
	root := h.Manifest.Sections[0].Root

	t.Run("missing part", func(t *testing.T) {
		have := parts.Clone()
		have.Retain(func(d Digest) bool { return d != root })
		_, err := Assemble(&h.Manifest, have)
		var missing *MissingPartsError
		assert.Assert(t, errors.As(err, &missing))
		assert.DeepEqual(t, missing.Digests, []Digest{root})
	})
	t.Run("truncated part", func(t *testing.T) {
		b, _ := parts.Part(root)
		var bad *PartDigestError
		assert.Assert(t, errors.As((&PartSet{}).Add(Part{Digest: root, Bytes: b[:len(b)-1]}), &bad))
	})
	t.Run("part of another form", func(t *testing.T) {
		have := parts.Clone()
		m := h.Manifest
		m.Sections = append([]Section{{Name: SectionDeployment, Root: have.put([]byte("[]"))}}, m.Sections[1:]...)
		_, err := Assemble(&m, have)
		var bad *PartError
		assert.Assert(t, errors.As(err, &bad))
	})
	t.Run("few parts that describe very much", func(t *testing.T) {
		have := parts.Clone()
		d := have.put(encode(node{Level: 0}))
		for level := 1; level <= maxLevel; level++ {
			n := node{Level: level}
			for range 100 {
				n.Children = append(n.Children, d)
			}
			d = have.put(encode(n))
		}
		m := h.Manifest
		m.Sections = append([]Section{{Name: SectionDeployment, Root: d}}, m.Sections[1:]...)
		_, err := MissingParts(&m, have)
		var size *SizeError
		assert.Assert(t, errors.As(err, &size))
	})
	t.Run("content that fails its checks", func(t *testing.T) {
		have := parts.Clone()
		m := h.Manifest
		m.Sections = append([]Section{{Name: SectionDeployment, Root: have.put(encode(node{}))}}, m.Sections[1:]...)
		_, err := Assemble(&m, have)
		var bad *FindingsError
		assert.Assert(t, errors.As(err, &bad))
	})
}
