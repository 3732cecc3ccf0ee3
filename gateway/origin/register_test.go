package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// never and always decide which services' origins are shared.
func never(string) bool  { return false }
func always(string) bool { return true }

// TestOriginIsForgottenAfterItsTTL guards against a register that grows, and one that forgets the origin of a
// stream that its caller keeps resuming.
func TestOriginIsForgottenAfterItsTTL(t *testing.T) {
	r, now := NewRegister(), time.Now()
	r.Add(now, "s", Origin{Attempt: "a", Version: "v1"})
	r.Add(now, "s", Origin{Attempt: "b", Version: "v1"})
	r.Add(now.Add(TTL/2), "s", Origin{Attempt: "b", Version: "v1"})
	later := now.Add(TTL + time.Second)
	_, ok := r.Find(later, "a")
	assert.Assert(t, !ok)
	version, ok := r.Find(later, "b")
	assert.Assert(t, ok)
	assert.Equal(t, version, "v1")
	assert.Assert(t, !r.Empty(later))
	assert.Assert(t, r.Empty(later.Add(TTL)))
}

// TestFirstOriginStays guards against a later event that changes the version that began a stream.
func TestFirstOriginStays(t *testing.T) {
	r, now := NewRegister(), time.Now()
	r.Add(now, "s", Origin{Attempt: "a", Version: "v1"})
	r.AddShared(now, Origin{Attempt: "a", Version: "v2"})
	version, _ := r.Find(now, "a")
	assert.Equal(t, version, "v1")
}

// TestRegisterIsBounded guards against a flood of streams that takes all memory.
func TestRegisterIsBounded(t *testing.T) {
	r, now := NewRegister(), time.Now()
	r.Add(now, "s", Origin{Attempt: strings.Repeat("x", maxAttemptBytes+1), Version: "v1"})
	assert.Assert(t, r.Empty(now))
	for i := range maxOrigins + 10 {
		r.Add(now, "s", Origin{Attempt: fmt.Sprint(i), Version: "v1"})
	}
	assert.Assert(t, len(r.origins) <= maxOrigins)
	assert.Assert(t, len(r.queue) <= maxOrigins)
	_, ok := r.Find(now, fmt.Sprint(maxOrigins+9))
	assert.Assert(t, ok)
}

// TestOriginsAreSharedOnce guards against origins that are sent again and again, that are sent while one
// version serves, or that were begun before the second one came and are never sent.
func TestOriginsAreSharedOnce(t *testing.T) {
	r, now := NewRegister(), time.Now()
	r.Add(now, "s", Origin{Attempt: "a", Version: "v1"})
	r.Add(now, "other", Origin{Attempt: "b", Version: "v1"})
	r.AddShared(now, Origin{Attempt: "c", Version: "v1"})
	assert.Equal(t, len(r.Unshared(now, never)), 0)
	assert.DeepEqual(t, r.Unshared(now, func(service string) bool { return service == "s" }), []Origin{{Attempt: "a", Version: "v1"}})
	assert.DeepEqual(t, r.Unshared(now, always), []Origin{{Attempt: "b", Version: "v1"}})
	assert.Equal(t, len(r.Unshared(now, always)), 0)
}
