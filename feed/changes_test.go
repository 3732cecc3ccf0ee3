package feed

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

// drawContent draws a content with short lists of few distinct entries, so that
// common prefixes and suffixes are frequent.
func drawContent(t *rapid.T) *config.Content {
	c := &config.Content{Deployment: rapid.SampledFrom([]string{"coastline", "lagos"}).Draw(t, "deployment")}
	for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 6).Draw(t, "workspaces") {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(name), Models: []string{name}})
	}
	for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 1, 6).Draw(t, "upstreams") {
		c.Upstreams = append(c.Upstreams, config.Upstream{ID: ident.UpstreamID(name), Models: []string{name}})
	}
	return c
}

// TestChangesMakeTheContent checks that the changes between any two contents, after
// they are encoded and decoded as JSON, produce the second content from the first
// and do not modify the first.
func TestChangesMakeTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawContent(t), drawContent(t)
		original := &config.Content{Deployment: before.Deployment, Workspaces: slices.Clone(before.Workspaces), Upstreams: slices.Clone(before.Upstreams)}
		doc, err := json.Marshal(NewChanges("base", before, after))
		assert.NilError(t, err)
		var c Changes
		assert.NilError(t, json.Unmarshal(doc, &c))
		got, err := c.Apply(before)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, after)
		assert.DeepEqual(t, before, original)
	})
}

func TestChangesAreSmall(t *testing.T) {
	before := &config.Content{Workspaces: make([]config.Workspace, 100), Upstreams: make([]config.Upstream, 10)}
	after := &config.Content{Workspaces: slices.Clone(before.Workspaces), Upstreams: before.Upstreams}
	after.Workspaces[40].Weight = 2
	c := NewChanges("base", before, after)
	assert.DeepEqual(t, c.Workspaces, Splice[config.Workspace]{Keep: 40, Insert: after.Workspaces[40:41], Tail: 59})
	assert.Equal(t, len(c.Upstreams.Insert), 0)
}

func TestSplicesOfOtherListsAreRefused(t *testing.T) {
	for _, s := range []Splice[config.Workspace]{{Keep: 3}, {Tail: 3}, {Keep: 2, Tail: 1}, {Keep: -1}, {Tail: -1}} {
		_, err := (&Changes{Workspaces: s}).Apply(&config.Content{Workspaces: make([]config.Workspace, 2)})
		var bad *SpliceError
		assert.Assert(t, errors.As(err, &bad), "%+v", s)
	}
}
