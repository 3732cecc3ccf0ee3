package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// TestWhatComesBackIsNoRequest guards against treating the return of tokens as a request. Tokens
// returned to an account with a negative balance raise it, and no wait time is reported.
func TestWhatComesBackIsNoRequest(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	n.tokens.accounts = limit.NewAccounts(clock.Now().Add(-time.Hour))
	share := limit.Share{Rate: 1e-6, Burst: 100}
	take := func(q TokenRequest) TokenAnswer {
		q.Workspace, q.Share, q.Version = "w", share, 1
		a, err := n.onTokens(t.Context(), peer.Identity{}, q)
		assert.NilError(t, err)
		return a
	}
	assert.Assert(t, take(TokenRequest{Cost: 60}).Granted, "an account with tokens grants a request that costs more")
	refused := take(TokenRequest{Cost: 50})
	assert.Assert(t, !refused.Granted && refused.WaitMS > 0)
	returned := take(TokenRequest{Returned: 20})
	assert.Assert(t, returned.Granted && returned.WaitMS == 0)
	assert.Assert(t, returned.Balance > -41 && returned.Balance < -39, "%v", returned.Balance)
	assert.Assert(t, !take(TokenRequest{Cost: 1}).Granted)
	assert.Assert(t, take(TokenRequest{Returned: 50}).Balance > 0)
}

// TestUnpayableRequestsAreRefusedForGood checks that a request that the limit can never allow is
// refused at once, without a retry time.
func TestUnpayableRequestsAreRefusedForGood(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	w := &routing.Workspace{Name: "w", Limit: routing.Limit{Rate: 1, Burst: 10, Unit: routing.Tokens}}
	assert.Equal(t, n.TakeTokens(t.Context(), w, 1, 1e18), TokenDecision{})
}
