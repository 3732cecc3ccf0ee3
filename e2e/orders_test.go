package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/engine"
)

// engineIDs lists the model engines of the test deployment. decodeB ignores
// fencing numbers.
var engineIDs = []ident.UpstreamID{prefillA, decodeA, prefillB, decodeB}

// orders reads the orders that an engine received.
func (b *bed) orders(id ident.UpstreamID) engine.OrdersResponse {
	b.t.Helper()
	req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+b.Addresses[id]+"/v1/orders", nil)
	assert.NilError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	var got engine.OrdersResponse
	assert.NilError(b.t, json.NewDecoder(resp.Body).Decode(&got))
	return got
}

// withWeights returns a copy of the content in which all engines run the given
// version of the models.
func withWeights(c *config.Content, version string) *config.Content {
	next := *c
	next.Upstreams = slices.Clone(c.Upstreams)
	for i := range next.Upstreams {
		if next.Upstreams[i].Role != config.RoleService {
			next.Upstreams[i].Version = version
		}
	}
	return &next
}

// awaitWeights waits until all engines run the given version of the models.
func (b *bed) awaitWeights(version string) {
	b.t.Helper()
	b.eventually("all engines to run "+version, func() (bool, string) {
		for _, id := range engineIDs {
			if o := b.orders(id); o.Version != version {
				return false, fmt.Sprintf("%s runs %s", id, o.Version)
			}
		}
		return true, ""
	})
}

// TestFrozenInstanceOrdersNothingOld freezes an instance while a version with
// other model weights is rolled. The instance's peers apply the version, also to
// the engines that the frozen instance has the duty to order. Then the instance
// resumes with its old bundle. No engine may ever be ordered back to the old
// version, whether it checks fencing numbers or not.
func TestFrozenInstanceOrdersNothingOld(t *testing.T) {
	b := newBed(t)
	w := b.watchBundles()
	b.awaitVersion(1, b.Instances...)
	victim := b.instancesIn(hallB)[0]
	assert.NilError(t, victim.Entry.Freeze())
	assert.NilError(t, victim.Agent.Freeze())
	assert.NilError(t, b.Operators.Publish(b.ctx, withWeights(b.Deployment.Content, "v2")))
	assert.NilError(t, b.Operators.RollAll(b.ctx))
	b.awaitVersion(2, b.others(victim)...)
	began := time.Now()
	b.awaitWeights("v2")
	t.Logf("all engines run the new weights after %v", time.Since(began).Round(100*time.Millisecond))
	assert.NilError(t, victim.Entry.Thaw())
	assert.NilError(t, victim.Agent.Thaw())
	b.awaitVersion(2, b.Instances...)
	// Leaves time for the resumed agent to send a stale order.
	b.wait(2 * time.Second)

	for _, id := range engineIDs {
		highest := uint64(0)
		for _, o := range b.orders(id).History {
			assert.Assert(t, o.Fence >= highest, "%s: %+v", id, b.orders(id).History)
			highest = o.Fence
		}
		assert.Equal(t, highest, uint64(2), id)
	}
	b.awaitWeights("v2")
	w.requireNoRevert()
	b.requireAnswers(2, b.Instances...)
}
