package entry_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/console"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// operatorPool returns a connection pool with the identity of an operator's tool.
func operatorPool(t *testing.T, name ident.InstanceID) *peer.Pool {
	pool := peer.NewPool(peer.Config{
		Self:  peer.Identity{Instance: name, Incarnation: 1, Zone: "operators"},
		Allow: func(peer.Identity) bool { return true },
	})
	t.Cleanup(pool.Close)
	return pool
}

// TestExplain checks that an operator's tool gets the decision records of a request, and
// nothing for a request that the entry does not know.
func TestExplain(t *testing.T) {
	b := newTestbed(t, nil)
	_, body := b.do(http.MethodPost, "/v1/completions", completion(5, false), api.HeaderRequestID, "why-me")
	pool := operatorPool(t, "ops-1")
	e := console.Explain(t.Context(), pool, []string{b.entry.OperatorAddress()}, "why-me")
	assert.Equal(t, len(e.Found), 1, body)
	var out bytes.Buffer
	assert.NilError(t, e.Write(&out))
	for _, want := range []string{
		"request why-me on entry-1 (hall-a): kind review, workspace default, bundle version 1",
		"placed", "pf-1 > dc-", "best_score", "completed", "whole_answer", "outcome complete", "not pf-1 > dc-",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in\n%s", want, out.String())
	}

	none := console.Explain(t.Context(), pool, []string{b.entry.OperatorAddress()}, "nonesuch")
	assert.Equal(t, len(none.Found), 0)
	assert.Equal(t, len(none.Unreachable), 0)
}

// TestOperatorsMustBeNamed checks that only operators listed in the settings are
// accepted.
func TestOperatorsMustBeNamed(t *testing.T) {
	b := newTestbed(t, nil)
	e := console.Explain(t.Context(), operatorPool(t, "stranger"), []string{b.entry.OperatorAddress()}, "x")
	assert.Equal(t, len(e.Unreachable), 1)
	assert.Assert(t, strings.Contains(e.Unreachable[0].Error, "not allowed"), e.Unreachable[0].Error)
}

// TestWatch checks the counts by bundle version that operators' tools read.
func TestWatch(t *testing.T) {
	b := newTestbed(t, nil)
	for range 3 {
		b.do(http.MethodPost, "/v1/completions", completion(5, true))
	}
	b.do(http.MethodGet, "/services/desk/x", "")
	b.do(http.MethodPost, "/v1/completions", `{"model":"none","prompt":"x"}`)
	w := console.NewWatcher(operatorPool(t, "ops-1"), []string{b.entry.OperatorAddress()})
	s := w.Query(t.Context(), time.Now())
	assert.Equal(t, len(s.Versions), 1)
	v := s.Versions[0]
	assert.Equal(t, v.Version, uint64(1))
	assert.Equal(t, v.Kinds[0].Kind, "lookup")
	assert.Equal(t, v.Kinds[0].OnTime, int64(1))
	assert.Equal(t, v.Kinds[1].Offered, int64(4))
	assert.Equal(t, v.Kinds[1].OnTime, int64(3))
	assert.Equal(t, v.Kinds[1].NotRun, int64(1))
	assert.Equal(t, v.Kinds[1].Tokens, int64(15))
	assert.Equal(t, v.Refusals[0].Reason, unknownModel)
	assert.Equal(t, v.WastedTokens, int64(0))
	assert.Assert(t, v.PrefillTokens > 0)
	var out bytes.Buffer
	assert.NilError(t, s.Write(&out))
	for _, want := range []string{"bundle 1 on 1", "75.0%", "unknown_model", "0.0%"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in\n%s", want, out.String())
	}
}

// TestWatchKeepsWhatIsGone checks that totals do not fall when an instance is gone, for
// example while it is replaced.
func TestWatchKeepsWhatIsGone(t *testing.T) {
	b := newTestbed(t, nil)
	b.do(http.MethodGet, "/services/desk/x", "")
	w := console.NewWatcher(operatorPool(t, "ops-1"), []string{b.entry.OperatorAddress()})
	before := w.Query(t.Context(), time.Now())
	b.shutDown()
	after := w.Query(t.Context(), time.Now())
	assert.DeepEqual(t, after.Versions, before.Versions)
	assert.Equal(t, len(after.Unreachable), 1)
}

// TestMetrics checks the metrics of a completed request.
func TestMetrics(t *testing.T) {
	b := newTestbed(t, nil)
	b.do(http.MethodPost, "/v1/completions", completion(5, true))
	b.await("metrics", func() bool {
		_, body := b.do(http.MethodGet, "/metrics", "")
		return strings.Contains(body, `wardspool_entry_requests{kind="review",on_time="true",outcome="complete"} 1`) &&
			strings.Contains(body, `wardspool_entry_decisions{reason="whole_answer",step="completed"} 1`) &&
			strings.Contains(body, `wardspool_entry_output_tokens 5`) &&
			strings.Contains(body, `wardspool_entry_first_output_seconds_bucket{kind="review",le="+Inf"} 1`)
	})
}
