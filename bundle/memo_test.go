package bundle

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

// assertSameError asserts that both errors are nil, or that they have the same text
// and both or neither are a *PartError or a *SizeError.
func assertSameError(t assert.TestingT, got, want error) {
	assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
	var part *PartError
	var size *SizeError
	assert.Equal(t, errors.As(got, &part), errors.As(want, &part))
	assert.Equal(t, errors.As(got, &size), errors.As(want, &size))
}

// assertSameResults asserts that a PartCache gives the same results as the functions
// without a cache.
func assertSameResults(t assert.TestingT, cache *PartCache, m *Manifest, have *PartSet) {
	missing, err := cache.MissingParts(m, have)
	plainMissing, plainErr := MissingParts(m, have)
	assert.DeepEqual(t, missing, plainMissing)
	assertSameError(t, err, plainErr)
	referenced, err := cache.ReferencedParts(m, have)
	plainReferenced, plainErr := ReferencedParts(m, have)
	byBytes := func(a, b Digest) int { return slices.Compare(a[:], b[:]) }
	slices.SortFunc(referenced, byBytes)
	slices.SortFunc(plainReferenced, byBytes)
	assert.DeepEqual(t, referenced, plainReferenced)
	assertSameError(t, err, plainErr)
	content, err := cache.Assemble(m, have)
	plainContent, plainErr := Assemble(m, have)
	assert.DeepEqual(t, content, plainContent)
	assertSameError(t, err, plainErr)
}

// mediumContent returns content with enough entries for sections to have several
// leaves.
func mediumContent(t testing.TB) *config.Content {
	c := largeContent(t)
	c.Workspaces = c.Workspaces[:200]
	c.Upstreams = c.Upstreams[:30]
	return c
}

// For any sequence of versions, with parts that are lost, evicted, malformed or in
// the wrong place, a PartCache must give the same results as decoding without one.
// A stale or wrongly keyed cache entry would make them differ.
func TestMemoIsThePlainWalk(t *testing.T) {
	start := mediumContent(t)
	rapid.Check(t, func(t *rapid.T) {
		cache, have := NewPartCache(), &PartSet{}
		c := *start
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			c.Workspaces = slices.Clone(c.Workspaces)
			i := rapid.IntRange(0, len(c.Workspaces)-1).Draw(t, "workspace")
			if rapid.Bool().Draw(t, "drop it") {
				c.Workspaces = slices.Delete(c.Workspaces, i, i+1)
			} else {
				c.Workspaces[i].Weight++
			}
			h, parts, err := Build(Draft{Content: &c, Approvers: oldSet})
			assert.NilError(t, err)
			m := h.Manifest
			injectFault(t, &m, parts)
			for _, d := range parts.Digests() {
				if b, _ := parts.Part(d); rapid.IntRange(0, 60).Draw(t, "lost") > 0 {
					have.put(b)
				}
			}
			assertSameResults(t, cache, &m, have)
			for _, d := range parts.Digests() {
				b, _ := parts.Part(d)
				have.put(b)
			}
			assertSameResults(t, cache, &m, have)
			some := rapid.IntRange(0, 255).Draw(t, "kept")
			keep := func(d Digest) bool { return int(d[0]) >= some }
			have.Retain(keep)
			cache.Retain(keep)
			assertSameResults(t, cache, &m, have)
		}
	})
}

// injectFault sometimes replaces the root of a section by a part that is malformed
// or belongs elsewhere.
func injectFault(t *rapid.T, m *Manifest, parts *PartSet) {
	i := rapid.IntRange(0, len(m.Sections)-1).Draw(t, "section")
	m.Sections = slices.Clone(m.Sections)
	all := parts.Digests()
	some := all[rapid.IntRange(0, len(all)-1).Draw(t, "part")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		m.Sections[i].Root = some
	case 1:
		m.Sections[i].Root = parts.put([]byte(`{"level":0,"entries":[7]}`))
	case 2:
		m.Sections[i].Root = parts.put(encode(node{Level: 2, Children: []Digest{some, some}}))
	case 3:
		n := node{Level: 1}
		for range 5000 {
			n.Children = append(n.Children, m.Sections[4].Root)
		}
		m.Sections[i].Root = parts.put(encode(n))
	}
}

// The first pass of Check, which leaves out paths, must report findings whenever
// the pass with paths does; otherwise Check would accept invalid content.
func TestQuickLookFindsWhatTheWholeFinds(t *testing.T) {
	start := mediumContent(t)
	names := rapid.SampledFrom([]string{"", "hall", "Bad Name", "franchise-0001", "manifest-reader", "nobody"})
	rapid.Check(t, func(t *rapid.T) {
		c := *start
		c.Workspaces, c.Upstreams, c.Kinds = slices.Clone(c.Workspaces), slices.Clone(c.Upstreams), slices.Clone(c.Kinds)
		w := &c.Workspaces[rapid.IntRange(0, len(c.Workspaces)-1).Draw(t, "workspace")]
		u := &c.Upstreams[rapid.IntRange(0, len(c.Upstreams)-1).Draw(t, "upstream")]
		switch rapid.IntRange(0, 7).Draw(t, "fault") {
		case 0:
			w.Name = ident.Workspace(names.Draw(t, "name"))
		case 1:
			w.Models = []string{names.Draw(t, "model"), names.Draw(t, "model")}
		case 2:
			w.Burst = rapid.IntRange(-1, 1).Draw(t, "burst")
		case 3:
			u.Models = []string{names.Draw(t, "model")}
		case 4:
			u.Role = config.Role(names.Draw(t, "role"))
		case 5:
			u.Pieces = rapid.IntRange(-1, 2).Draw(t, "pieces")
		case 6:
			c.Policy.Regions = []config.Region{{Name: "r", Zones: []ident.Zone{ident.Zone(names.Draw(t, "zone"))}}}
		}
		withPaths := &checker{content: &c}
		withPaths.checkAll()
		assert.DeepEqual(t, Check(&c), withPaths.findings)
	})
}

// benchmarkVersions measures assemble on versions of a bundle of the planned size,
// which differ from each other in one workspace.
func benchmarkVersions(b *testing.B, assemble func(*Manifest, PartSource) error) {
	const versions = 10
	have := &PartSet{}
	manifests := make([]*Manifest, versions)
	c := largeContent(b)
	for i := range manifests {
		c.Workspaces[1700].Weight++
		h, parts, err := Build(Draft{Content: c, Approvers: oldSet})
		assert.NilError(b, err)
		manifests[i] = &h.Manifest
		for _, d := range parts.Digests() {
			bytes, _ := parts.Part(d)
			have.put(bytes)
		}
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, assemble(manifests[i%versions], have))
		i++
	}
}

// BenchmarkAssemble measures assembling and validating a bundle of 3,405 workspaces
// and 612 upstreams in which one workspace changed, with and without a PartCache.
func BenchmarkAssemble(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		benchmarkVersions(b, func(m *Manifest, s PartSource) error { _, err := Assemble(m, s); return err })
	})
	b.Run("memo", func(b *testing.B) {
		cache := NewPartCache()
		benchmarkVersions(b, func(m *Manifest, s PartSource) error { _, err := cache.Assemble(m, s); return err })
	})
}

// BenchmarkMissingParts measures MissingParts when no part is missing, with and
// without a PartCache.
func BenchmarkMissingParts(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		benchmarkVersions(b, func(m *Manifest, s PartSource) error { _, err := MissingParts(m, s); return err })
	})
	b.Run("memo", func(b *testing.B) {
		cache := NewPartCache()
		benchmarkVersions(b, func(m *Manifest, s PartSource) error { _, err := cache.MissingParts(m, s); return err })
	})
}
