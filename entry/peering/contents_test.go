package peering

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
)

// TestContentsTake checks that changes are applied only to the content that is their base,
// and that rejected changes do not alter the content held.
func TestContentsTake(t *testing.T) {
	v1 := &config.Content{Deployment: "one", Workspaces: make([]config.Workspace, 2)}
	v2 := &config.Content{Deployment: "two", Workspaces: append(make([]config.Workspace, 2), config.Workspace{Name: "new"})}
	changes := feed.NewChanges("d1", v1, v2)
	var c ContentCache
	assert.Assert(t, c.Apply(&feed.Bundle{Version: 2, Digest: "d2", Changes: changes}) == nil, "changes were accepted without a content to apply them to")
	assert.Equal(t, c.Apply(&feed.Bundle{Version: 1, Digest: "d1", Content: v1}), v1)
	assert.Assert(t, c.Apply(&feed.Bundle{Version: 2, Digest: "d2"}) == nil, "a bundle with neither content nor changes was accepted")
	assert.Assert(t, c.Apply(&feed.Bundle{Version: 2, Digest: "d2", Changes: feed.NewChanges("d9", v1, v2)}) == nil, "changes with another base were accepted")
	wrong := *changes
	wrong.Workspaces.Keep = 7
	assert.Assert(t, c.Apply(&feed.Bundle{Version: 2, Digest: "d2", Changes: &wrong}) == nil, "changes that keep more entries than the list has were accepted")
	assert.Equal(t, c.Digest(), "d1")
	assert.DeepEqual(t, c.Apply(&feed.Bundle{Version: 2, Digest: "d2", Changes: changes}), v2)
	assert.Equal(t, c.Digest(), "d2")
}
