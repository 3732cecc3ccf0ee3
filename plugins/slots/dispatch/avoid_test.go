package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestEnginesThatFailedARequest checks which engines a request gets after some
// have failed it: another engine of the role if there is one, otherwise the one
// whose failure is oldest.
func TestEnginesThatFailedARequest(t *testing.T) {
	tests := []struct {
		name            string
		avoid           []ident.UpstreamID
		prefill, decode ident.UpstreamID
	}{
		{"one of each", []ident.UpstreamID{"d1", "p1"}, "p2", "d2"},
		{"both decode engines", []ident.UpstreamID{"d2", "p1", "d1"}, "p2", "d2"},
		{"all engines", []ident.UpstreamID{"d1", "p2", "d2", "p1"}, "p2", "d1"},
		{"repeated", []ident.UpstreamID{"d1", "p1", "d2", "p1", "d1"}, "p2", "d2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := settledTestBed(1, 3, 20, 200)
			h := b.holderNode()
			id := h.place(5*time.Second, tt.avoid...)
			b.run(10 * time.Millisecond)
			assert.Equal(t, h.last(id).kind, "placed")
			assert.Equal(t, h.last(id).prefill, tt.prefill)
			h.policy.Computed(id)
			b.run(10 * time.Millisecond)
			assert.Equal(t, h.last(id).kind, "decode")
			assert.Equal(t, h.last(id).decode, tt.decode)
		})
	}
}
