package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// refusalTTL is how long after an owner's refusal a client refuses requests without
	// asking again. Otherwise each request of a workspace far above its limit would cost a message
	// to the owner.
	refusalTTL = 150 * time.Millisecond
	// idleBalanceTTL is how long returned tokens stay with the client, for its next request, before
	// they go back to the owner.
	idleBalanceTTL = 500 * time.Millisecond
	// localResetAfter is the time without local decisions after which a client starts its next one with
	// no tokens. In this time it was in touch with an owner, and must not accrue tokens.
	localResetAfter = 2 * time.Second
	// maxCostSeconds bounds the cost of a single request to the burst of a limit and this many
	// seconds of its rate. A request that costs more would block its workspace for longer.
	maxCostSeconds = 5
	// balanceReportTTL is how long a balance that an owner reported is passed on to its successor.
	balanceReportTTL = time.Minute
)

// CostOf returns the cost of a request in the unit of a limit: 1 if the limit counts requests,
// otherwise its prompt and output tokens. stated reports whether the request states its token
// counts; if not, the cost is the limit's DefaultCost.
func CostOf(l routing.Limit, stated bool, prompt, output int) float64 {
	switch {
	case l.Unit != routing.Tokens:
		return 1
	case !stated:
		return float64(l.DefaultCost)
	default:
		return max(0, float64(prompt)) + max(0, float64(output))
	}
}

// Grantable reports whether a request of the given cost may be granted at all.
func Grantable(l routing.Limit, cost float64) bool { return cost <= l.Burst+maxCostSeconds*l.Rate }

// ShareOf returns the share of a limit that each of the given number of zones has.
func ShareOf(l routing.Limit, zones int) Share {
	n := float64(max(1, zones))
	return Share{Rate: l.Rate / n, Burst: l.Burst / n}
}

// Owner identifies the instance that owns an account, and which run of that instance.
type Owner struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
}

// workspaceState is the state that a client holds for a workspace.
type workspaceState struct {
	// balance is the number of tokens that were returned and not used again. returnedAt is when
	// tokens were last returned.
	balance    float64
	returnedAt time.Time
	// reportedBalance is the account's balance as its owner reported it at reportedAt.
	owner           Owner
	reportedBalance float64
	reportedAt      time.Time
	// refusedCost is the cost of the request that an owner refused last. Until refusedUntil,
	// requests of that cost or more are refused without asking the owner; localRefusals counts
	// them.
	refusedCost   float64
	refusedUntil  time.Time
	localRefusals int
	// localBucket is the token bucket that the client uses while it reaches no owner.
	localBucket tokenbucket.Bucket
	use         Use
}

// Use is the use of a workspace's limit by the callers of one instance since its start, in the
// limit's unit.
type Use struct {
	Granted  float64 `json:"granted"`
	Refused  float64 `json:"refused"`
	Returned float64 `json:"returned"`
}

// Client requests tokens from owners on behalf of an instance. It is safe for concurrent use.
type Client struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceState
	// firstUse is closed when the first workspace is added to workspaces.
	firstUse chan struct{}
}

// NewClient returns a client that holds no tokens.
func NewClient() *Client {
	return &Client{workspaces: map[string]*workspaceState{}, firstUse: make(chan struct{})}
}

// AwaitFirstUse blocks until the client has been used for any workspace. It returns false if
// ctx ends.
func (c *Client) AwaitFirstUse(ctx context.Context) bool {
	select {
	case <-c.firstUse:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// workspace returns the state of a workspace, creating it if needed. The caller holds mu.
func (c *Client) workspace(name string) *workspaceState {
	s := c.workspaces[name]
	if s == nil {
		if len(c.workspaces) == 0 {
			close(c.firstUse)
		}
		s = &workspaceState{}
		c.workspaces[name] = s
	}
	return s
}

// Decide tries to decide a request without asking an owner. It grants the request from returned
// tokens, or refuses it if an owner just refused one that cost no more; wait is then the time
// after which the caller should retry. decided is false if the owner must be asked.
func (c *Client) Decide(now time.Time, name string, cost float64) (granted bool, wait time.Duration, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.workspace(name)
	switch {
	case s.balance >= cost:
		s.balance -= cost
		s.use.Granted += cost
		return true, 0, true
	case now.Before(s.refusedUntil) && cost >= s.refusedCost:
		s.use.Refused += cost
		s.localRefusals++
		// Each refused caller is told to retry later than the previous one.
		return false, s.refusedUntil.Sub(now) + refusalTTL*time.Duration(s.localRefusals), true
	default:
		return false, 0, false
	}
}

// NewRequest returns the request for tokens to send to an owner. It contains the returned tokens,
// which the client no longer holds afterwards. The caller sets Share and Version.
func (c *Client) NewRequest(now time.Time, name string, cost float64, to Owner) Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.workspace(name)
	q := Request{Workspace: name, Cost: cost, Returned: s.balance}
	s.balance = 0
	if !s.reportedAt.IsZero() && s.owner != to && now.Sub(s.reportedAt) < balanceReportTTL {
		q.LastReport = &BalanceReport{Balance: s.reportedBalance, Age: now.Sub(s.reportedAt)}
	}
	return q
}

// RecordResponse records an owner's response. wait is the time after which a refused caller should
// retry.
func (c *Client) RecordResponse(now time.Time, name string, cost float64, from Owner, a Response, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.workspace(name)
	s.owner, s.reportedBalance, s.reportedAt = from, a.Balance, now
	if a.Granted {
		s.use.Granted += cost
		return
	}
	s.use.Refused += cost
	s.refusedCost, s.refusedUntil, s.localRefusals = cost, now.Add(min(wait, refusalTTL)), 0
}

// DecideLocally reports whether a request is granted while the client reaches no owner; share is
// then the client's own share of the limit. The client starts with no tokens and accrues them up
// to the cost of the request, so that many instances that are isolated at the same time together
// grant no more than their shares.
func (c *Client) DecideLocally(now time.Time, name string, cost float64, share Share) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.workspace(name)
	if s.localBucket.Filled() && now.Sub(s.localBucket.FilledAt()) > localResetAfter {
		s.localBucket = tokenbucket.Bucket{}
	}
	s.localBucket.Fill(now, share.Rate, max(share.Burst, cost), 0)
	if s.localBucket.Tokens < cost {
		s.use.Refused += cost
		return false
	}
	s.localBucket.Tokens -= cost
	s.use.Granted += cost
	return true
}

// Return gives the client the tokens of a request that was granted and did not run.
func (c *Client) Return(now time.Time, name string, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.workspace(name)
	s.balance += cost
	s.returnedAt = now
	s.use.Returned += cost
}

// TakeIdle removes and returns, by workspace, the returned tokens that were not used for
// idleBalanceTTL. The caller gives them back to the owners. The map is nil if there are none.
func (c *Client) TakeIdle(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]float64
	for name, s := range c.workspaces {
		if s.balance <= 0 || now.Sub(s.returnedAt) < idleBalanceTTL {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[name] = s.balance
		s.balance = 0
	}
	return out
}

// Use returns the use of a workspace's limit, rounded to whole units.
func (c *Client) Use(name string) Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.workspace(name).use
	u.Granted, u.Refused, u.Returned = math.Round(u.Granted), math.Round(u.Refused), math.Round(u.Returned)
	return u
}
