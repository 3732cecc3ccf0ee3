package kernel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestStallTracker checks which engine is considered at fault after a sequence of
// stalled and successful transfers. Engines are named by zone and role: "a-p1" is
// a prefill engine in zone a.
func TestStallTracker(t *testing.T) {
	type event struct {
		prefill, decode ident.UpstreamID
		// began is the start of the transfer, in seconds.
		began int
		// succeeded means that the transfer succeeded.
		succeeded bool
		// faulty is the engine that must be at fault after the event, if any.
		faulty ident.UpstreamID
	}
	tests := map[string][]event{
		"the link of a prefill engine": {
			{prefill: "a-p1", decode: "a-d1"},
			{prefill: "a-p1", decode: "a-d1"},
			{prefill: "a-p1", decode: "a-d2", faulty: "a-p1"},
			{prefill: "a-p2", decode: "a-d1"},
			{prefill: "a-p1", decode: "a-d1", began: 1, faulty: "a-p1"},
			{prefill: "a-p1", decode: "a-d1", began: 2, succeeded: true},
			{prefill: "a-p1", decode: "a-d1", began: 3},
		},
		"a decode engine": {
			{prefill: "a-p1", decode: "a-d1"},
			{prefill: "b-p1", decode: "a-d1", faulty: "a-d1"},
			{prefill: "a-p1", decode: "a-d2"},
		},
		"stalls between zones only": {
			{prefill: "a-p1", decode: "b-d1"},
			{prefill: "a-p1", decode: "b-d2"},
			{prefill: "a-p1", decode: "c-d1"},
			{prefill: "a-p2", decode: "b-d1"},
		},
		"a success between the stalls": {
			{prefill: "a-p1", decode: "a-d1", began: 1},
			{prefill: "a-p1", decode: "a-d2", began: 2, succeeded: true},
			{prefill: "a-p1", decode: "a-d2", began: 3},
		},
		"a success that began before the stall": {
			{prefill: "a-p1", decode: "a-d1", began: 2},
			{prefill: "a-p1", decode: "a-d2", began: 1, succeeded: true},
			{prefill: "a-p1", decode: "a-d2", began: 3, faulty: "a-p1"},
		},
		"the partner succeeds with another engine": {
			{prefill: "a-p1", decode: "a-d1", began: 1},
			{prefill: "a-p2", decode: "a-d1", began: 2, succeeded: true},
			{prefill: "a-p1", decode: "a-d1", began: 3, faulty: "a-p1"},
		},
		"a partner in another zone succeeds with another engine": {
			{prefill: "a-p1", decode: "b-d1", began: 1},
			{prefill: "b-p2", decode: "b-d1", began: 2, succeeded: true},
			{prefill: "a-p1", decode: "b-d1", began: 3},
		},
		"one stall per prefill engine": {
			{prefill: "a-p1", decode: "a-d1", began: 1},
			{prefill: "a-p2", decode: "a-d1", began: 2, succeeded: true},
			{prefill: "a-p2", decode: "a-d2", began: 3},
		},
	}
	for name, events := range tests {
		t.Run(name, func(t *testing.T) {
			b := stallTracker{engines: map[ident.UpstreamID]*engineStalls{}}
			for i, e := range events {
				began := time.Unix(int64(e.began), 0)
				if e.succeeded {
					b.recordSuccess(e.prefill, e.decode, began)
					continue
				}
				got := ident.UpstreamID("")
				if u := b.recordStall(engineInZone(e.prefill), engineInZone(e.decode), began); u != nil {
					got = u.ID
				}
				assert.Equal(t, got, e.faulty, "event %d", i)
			}
		})
	}
}

// engineInZone returns an engine whose zone is the first letter of its ID.
func engineInZone(id ident.UpstreamID) *Upstream { return &Upstream{ID: id, Zone: ident.Zone(id[:1])} }

// TestEndOfSilenceEndsOnlyItsEjection checks that an engine that goes on stays
// ejected if its transfers were the reason.
func TestEndOfSilenceEndsOnlyItsEjection(t *testing.T) {
	k, err := New(Options{})
	assert.NilError(t, err)
	k.now = time.Unix(1000, 0)
	k.fleet.replace(&View{Upstreams: []Upstream{{ID: "d"}}}, k.now)
	u := k.fleet.upstream("d")
	for _, silent := range []bool{true, false} {
		u.Health = Health{}
		a := &attempt{upstream: "d", stage: stageDecode, stalled: true}
		if silent {
			for range ejectAfter {
				k.recordSilence(u)
			}
		} else {
			k.eject(u)
		}
		assert.Assert(t, k.ejected(u))
		k.silenceEnded(a)
		assert.Equal(t, k.ejected(u), !silent)
		assert.Assert(t, !a.stalled)
	}
}
