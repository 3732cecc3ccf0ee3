package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// setVersions sets the software versions of engines in the views of all nodes.
func (b *testBed) setVersions(versions map[ident.UpstreamID]string) {
	for _, n := range b.nodes {
		for id, version := range versions {
			n.Upstream(id).SoftwareVersion = version
		}
	}
}

// TestStreamGoesOnAtItsSoftwareVersion guards against a decode engine of another software version than the one that
// began the stream.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	tests := []struct {
		name    string
		version string
		avoid   []ident.UpstreamID
		decode  ident.UpstreamID
	}{
		{"first version", "v1", nil, "d1"},
		{"second version", "v2", nil, "d2"},
		{"its only engine has failed before", "v2", []ident.UpstreamID{"d2"}, "d2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := settledTestBed(1, 3, 20, 200)
			b.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v2"})
			h := b.holderNode()
			id := h.placeVersion(5*time.Second, &tt.version, tt.avoid...)
			b.run(10 * time.Millisecond)
			assert.Equal(t, h.last(id).kind, "placed")
			h.policy.Computed(id)
			b.run(10 * time.Millisecond)
			assert.Equal(t, h.last(id), answer{kind: "decode", decode: tt.decode})
		})
	}
}

// TestStreamTakesNoPrefillWhileItsSoftwareVersionIsFull guards against prefills whose KV cache is lost unused, since
// only engines of another software version have free slots.
func TestStreamTakesNoPrefillWhileItsSoftwareVersionIsFull(t *testing.T) {
	b := settledTestBed(1, 3, 1, 200)
	b.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v2"})
	h := b.holderNode()
	first := h.place(5 * time.Second)
	b.run(10 * time.Millisecond)
	h.policy.Computed(first)
	b.run(10 * time.Millisecond)
	h.policy.Started(first)
	version := h.Upstream(h.last(first).decode).SoftwareVersion
	stream := h.placeVersion(time.Second, &version)
	b.run(500 * time.Millisecond)
	assert.Equal(t, h.last(stream), answer{})
	h.policy.Release(first)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(stream).kind, "placed")
}

// TestStreamWithoutItsSoftwareVersionTakesNoPrefill guards against prefills for a stream that no decode engine may
// take, and against requests that wait for it.
func TestStreamWithoutItsSoftwareVersionTakesNoPrefill(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	b.setVersions(map[ident.UpstreamID]string{"d1": "v1", "d2": "v2"})
	for _, n := range b.nodes {
		n.Upstream("d1").Liveness = kernel.Unreachable
	}
	h := b.holderNode()
	version := "v1"
	stream := h.placeVersion(time.Second, &version)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(stream), answer{}, "no decode engine of the version can be used")
	for range 2 {
		id := h.place(5 * time.Second)
		b.run(10 * time.Millisecond)
		assert.Equal(t, h.last(id).kind, "placed")
	}
	for _, n := range b.nodes {
		n.Upstream("d1").Liveness = kernel.Live
	}
	b.run(time.Second)
	assert.Equal(t, h.last(stream).kind, "placed")
}
