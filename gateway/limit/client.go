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
	// believeRefusal is how long a client refuses by itself what a keeper has just refused: a
	// workspace that asks for many times its limit would have each request ask.
	believeRefusal = 150 * time.Millisecond
	// idleBalance is how long tokens that came back stay with the client, for its next
	// request, before they go back to the keeper.
	idleBalance = 500 * time.Millisecond
	// aloneAgain is after how long in touch with keepers a client that is alone begins with no
	// tokens again.
	aloneAgain = 2 * time.Second
	// mostSeconds is how many seconds of a limit's rate, beside its burst, a single request
	// may cost: one that costs more would lock its workspace out for longer.
	mostSeconds = 5
	// knownFor is how long what a keeper said is told to the next one.
	knownFor = time.Minute
)

// CostOf returns what a request counts under a limit: one, or its tokens; stated means that
// it states them.
func CostOf(l routing.Limit, stated bool, prompt, output int) float64 {
	switch {
	case l.Unit != routing.Tokens:
		return 1
	case !stated:
		return float64(l.Plain)
	default:
		return max(0, float64(prompt)) + max(0, float64(output))
	}
}

// Payable reports whether a request of a cost can ever be let through.
func Payable(l routing.Limit, cost float64) bool { return cost <= l.Burst+mostSeconds*l.Rate }

// PartOf returns a zone's part of a limit, of so many zones.
func PartOf(l routing.Limit, zones int) Part {
	n := float64(max(1, zones))
	return Part{Rate: l.Rate / n, Burst: l.Burst / n}
}

// Keeper names the instance that keeps an account, in one of its lives.
type Keeper struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
}

// space is what a client keeps of a workspace.
type space struct {
	// balance are tokens that came back, since backAt.
	balance float64
	backAt  time.Time
	// keeper said at heard that the account holds level.
	keeper Keeper
	level  float64
	heard  time.Time
	// refused is the least cost that a keeper has refused; until then callers of as much or
	// more are refused without asking. turned counts them.
	refused float64
	until   time.Time
	turned  int
	// alone is the client's own part while it reaches no keeper.
	alone tokenbucket.Bucket
	use   Use
}

// Use is what an instance's callers took of a workspace's limit since its start, in the
// limit's unit.
type Use struct {
	Granted  float64 `json:"granted"`
	Refused  float64 `json:"refused"`
	Returned float64 `json:"returned"`
}

// Client is the part of an instance that asks keepers for tokens. It is safe for concurrent
// use.
type Client struct {
	mu     sync.Mutex
	spaces map[string]*space
	// firstUse is closed when the first workspace is added to spaces.
	firstUse chan struct{}
}

// NewClient returns a client.
func NewClient() *Client { return &Client{spaces: map[string]*space{}, firstUse: make(chan struct{})} }

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

// space returns what is kept of a workspace. The caller holds mu.
func (c *Client) space(name string) *space {
	s := c.spaces[name]
	if s == nil {
		if len(c.spaces) == 0 {
			close(c.firstUse)
		}
		s = &space{}
		c.spaces[name] = s
	}
	return s
}

// Decide reports whether a request can be decided without a keeper: it is granted by tokens
// that came back, or refused as others just were, until a time.
func (c *Client) Decide(now time.Time, name string, cost float64) (granted bool, wait time.Duration, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.space(name)
	switch {
	case s.balance >= cost:
		s.balance -= cost
		s.use.Granted += cost
		return true, 0, true
	case now.Before(s.until) && cost >= s.refused:
		s.use.Refused += cost
		s.turned++
		// Each later one comes back later than the one before it.
		return false, s.until.Sub(now) + believeRefusal*time.Duration(s.turned), true
	default:
		return false, 0, false
	}
}

// Ask makes the question to a keeper. Tokens that came back go with it.
func (c *Client) Ask(now time.Time, name string, cost float64, to Keeper) Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.space(name)
	q := Ask{Workspace: name, Cost: cost, Back: s.balance}
	s.balance = 0
	if !s.heard.IsZero() && s.keeper != to && now.Sub(s.heard) < knownFor {
		q.Told = &Told{Level: s.level, Age: now.Sub(s.heard)}
	}
	return q
}

// Answered takes in a keeper's answer; wait is when a refused caller may come back.
func (c *Client) Answered(now time.Time, name string, cost float64, from Keeper, a Answer, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.space(name)
	s.keeper, s.level, s.heard = from, a.Level, now
	if a.Granted {
		s.use.Granted += cost
		return
	}
	s.use.Refused += cost
	s.refused, s.until, s.turned = cost, now.Add(min(wait, believeRefusal)), 0
}

// Alone decides a request by the client's own part of a limit, while it reaches no keeper. It
// begins with no tokens and saves up for what is asked: many instances that are cut off at
// once take no more together than their parts.
func (c *Client) Alone(now time.Time, name string, cost float64, part Part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.space(name)
	if s.alone.Filled() && now.Sub(s.alone.FilledAt()) > aloneAgain {
		s.alone = tokenbucket.Bucket{}
	}
	s.alone.Fill(now, part.Rate, max(part.Burst, cost), 0)
	if s.alone.Tokens < cost {
		s.use.Refused += cost
		return false
	}
	s.alone.Tokens -= cost
	s.use.Granted += cost
	return true
}

// Return takes back the tokens of a request that did not run.
func (c *Client) Return(now time.Time, name string, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.space(name)
	s.balance += cost
	s.backAt = now
	s.use.Returned += cost
}

// Idle takes out the balances that have been of no use for a while, to be given back.
func (c *Client) Idle(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]float64
	for name, s := range c.spaces {
		if s.balance <= 0 || now.Sub(s.backAt) < idleBalance {
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

// Use returns what was taken of a workspace's limit.
func (c *Client) Use(name string) Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.space(name).use
	u.Granted, u.Refused, u.Returned = math.Round(u.Granted), math.Round(u.Refused), math.Round(u.Returned)
	return u
}
