package fleet

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// MethodTokens asks the keeper of a workspace's account for tokens of the workspace's limit, or
// returns tokens to it. A keeper is the instance that holds the account of a workspace in a zone.
const MethodTokens = "gateway.tokens"

const (
	// dutyLimit is the prefix of the name of the duty to keep a workspace's account in a zone.
	// The workspace follows.
	dutyLimit = "limit/"
	// keeperTimeout bounds a call to a keeper, which takes one or two milliseconds. borrowTimeout
	// bounds the keeper's own calls to other zones within it.
	keeperTimeout = 200 * time.Millisecond
	borrowTimeout = 80 * time.Millisecond
	// maxKeeperCalls is the number of calls to keepers that are attempted for a request.
	maxKeeperCalls = 3
	// maxUnansweredCalls is the number of consecutive calls that a keeper may leave unanswered
	// before the next candidate replaces it. While two instances act as keepers of the same
	// account, the zone uses more than its part of the limit.
	maxUnansweredCalls = 2
	// lenderRetryInterval is how long a zone that had nothing to lend, or did not answer, is not
	// asked again for tokens of the same workspace.
	lenderRetryInterval = 250 * time.Millisecond
	// noKeeperRetry is the retry time given to callers of an instance that cannot reach a keeper.
	// The retry will most likely reach another instance.
	noKeeperRetry = 100 * time.Millisecond
	// minRetryWait is the minimum retry time given to a caller over its limit.
	minRetryWait = 50 * time.Millisecond
	// flushInterval is the time between two returns of unused tokens.
	flushInterval = 250 * time.Millisecond
)

// TokenRequest asks a keeper for the tokens of a request, or for a loan to another zone's
// account. It also returns unused tokens.
type TokenRequest struct {
	Workspace string `json:"w"`
	// Part is the part of the workspace's limit that applies to the zone, as of configuration
	// Version.
	Part    limit.Share `json:"p"`
	Version int64       `json:"v"`
	// Cost is the number of tokens asked for, Returned the number of unused tokens returned.
	Cost     float64 `json:"c,omitempty"`
	Returned float64 `json:"b,omitempty"`
	// ToldLevel and ToldAgeMS are the fields of limit.Told. They are valid if Told is set.
	Told      bool    `json:"t,omitempty"`
	ToldLevel float64 `json:"tl,omitempty"`
	ToldAgeMS int64   `json:"ta,omitempty"`
	// Lend asks for a loan to the account of another zone, which holds Level tokens.
	Lend  bool    `json:"l,omitempty"`
	Level float64 `json:"ll,omitempty"`
}

// limitAsk converts the request to a limit.Ask.
func (r *TokenRequest) limitAsk() limit.Request {
	a := limit.Request{Workspace: r.Workspace, Share: r.Part, Version: r.Version, Cost: r.Cost, Returned: r.Returned}
	if r.Told {
		a.LastReport = &limit.BalanceReport{Balance: r.ToldLevel, Age: time.Duration(r.ToldAgeMS) * time.Millisecond}
	}
	return a
}

// TokenAnswer is a keeper's answer to a TokenRequest.
type TokenAnswer struct {
	Granted bool    `json:"g,omitempty"`
	Level   float64 `json:"l"`
	// WaitMS is the time, in milliseconds, after which a refused caller may retry.
	WaitMS int64 `json:"w,omitempty"`
	// Lent is the number of tokens that were lent.
	Lent float64 `json:"n,omitempty"`
	// Incarnation is the keeper's incarnation.
	Incarnation ident.Incarnation `json:"i"`
}

// tokens is a node's state for workspace limits: as a client of keepers and as a keeper.
type tokens struct {
	client   *limit.Client
	accounts *limit.Accounts
	borrows  singleflight.Group

	mu sync.Mutex
	// unanswered counts the consecutive calls that each keeper left unanswered.
	unanswered map[ident.InstanceID]int
	// emptyUntil holds the time until which a zone is not asked for a workspace's tokens.
	emptyUntil map[lenderKey]time.Time
}

func newTokens() *tokens {
	return &tokens{
		client: limit.NewClient(), accounts: limit.NewAccounts(clock.Now()),
		unanswered: map[ident.InstanceID]int{}, emptyUntil: map[lenderKey]time.Time{},
	}
}

// TokenDecision is the decision on a request of a workspace that has a limit.
type TokenDecision struct {
	Granted bool
	// NoKeeper is set if the instance reaches no keeper and its own part of the limit does not
	// suffice.
	NoKeeper bool
	// Wait is the time after which a refused caller may retry; 0 if its request exceeds what the
	// limit can ever allow.
	Wait time.Duration
	// Keeper is the instance that decided, empty if this instance decided by itself. Level is the
	// number of tokens left in the account.
	Keeper ident.InstanceID
	Level  float64
}

// Take takes the tokens of a request from its workspace's limit. On an instance that has just
// started, it first waits until the instance knows its peers.
func (n *Node) Take(ctx context.Context, w *routing.Workspace, version int64, cost float64) TokenDecision {
	if !limit.Grantable(w.Limit, cost) {
		return TokenDecision{}
	}
	n.AwaitInformed(ctx, true)
	c := n.tokens.client
	if granted, wait, ok := c.Decide(clock.Now(), w.Name, cost); ok {
		return TokenDecision{Granted: granted, Wait: clampWait(wait)}
	}
	for range maxKeeperCalls {
		keeper, ok := n.keeper(w.Name, n.opts.Self.Zone)
		if !ok {
			break
		}
		if v, ok := n.askKeeper(ctx, keeper, w, version, cost); ok {
			return v
		}
		if ctx.Err() != nil {
			break
		}
	}
	part := limit.ShareOf(w.Limit, n.zoneCount()*n.zoneSize())
	if c.DecideLocally(clock.Now(), w.Name, cost, part) {
		return TokenDecision{Granted: true}
	}
	return TokenDecision{NoKeeper: true, Wait: addJitter(noKeeperRetry)}
}

// Return returns the tokens of a request that did not run.
func (n *Node) Return(w *routing.Workspace, cost float64) {
	n.tokens.client.Return(clock.Now(), w.Name, cost)
}

// Limits returns the status of each workspace's limit as known to this instance.
func (n *Node) Limits() []limit.Status {
	s := n.Snapshot()
	out := []limit.Status{}
	if s.Table == nil {
		return out
	}
	for _, w := range s.Table.Config().Workspaces {
		if !w.Limit.Enabled() {
			continue
		}
		level, keeps := n.tokens.accounts.Balance(clock.Now(), w.Name)
		out = append(out, limit.Status{
			Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst, Unit: w.Limit.Unit,
			Use: n.tokens.client.Use(w.Name), Owns: keeps, Level: math.Round(level),
		})
	}
	return out
}

// clampWait limits a retry time to between minRetryWait and limit.LongestWait.
func clampWait(wait time.Duration) time.Duration {
	return min(max(wait, minRetryWait), limit.MaxRetryAfter)
}

// addJitter prolongs a duration at random by up to half of it, so that callers do not all retry at
// the same time.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// askKeeper asks a keeper, which may be this instance, for the tokens of a request. It returns
// false if the keeper does not answer.
func (n *Node) askKeeper(ctx context.Context, holder dutyHolder, w *routing.Workspace, version int64, cost float64) (TokenDecision, bool) {
	now := clock.Now()
	ask := n.tokens.client.NewRequest(now, w.Name, cost, limit.Owner{ID: holder.id, Incarnation: holder.incarnation})
	request := TokenRequest{Workspace: w.Name, Part: limit.ShareOf(w.Limit, n.zoneCount()), Version: version, Cost: cost, Returned: ask.Returned}
	if ask.LastReport != nil {
		request.Told, request.ToldLevel, request.ToldAgeMS = true, ask.LastReport.Balance, ask.LastReport.Age.Milliseconds()
	}
	answer, err := n.callKeeper(ctx, holder, request)
	if err != nil {
		return TokenDecision{}, false
	}
	wait := time.Duration(answer.WaitMS) * time.Millisecond
	keeper := limit.Owner{ID: holder.id, Incarnation: answer.Incarnation}
	n.tokens.client.RecordResponse(clock.Now(), w.Name, cost, keeper, limit.Response{Granted: answer.Granted, Balance: answer.Level}, wait)
	return TokenDecision{Granted: answer.Granted, Wait: clampWait(wait), Keeper: holder.id, Level: answer.Level}, true
}

// callKeeper calls MethodTokens of a keeper.
func (n *Node) callKeeper(ctx context.Context, holder dutyHolder, request TokenRequest) (TokenAnswer, error) {
	if holder.self {
		return n.onTokens(ctx, peer.Identity{}, request)
	}
	limited, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	answer, err := peer.Call[TokenAnswer](limited, n.opts.Pool, holder.address, MethodTokens, request)
	if ctx.Err() == nil {
		n.recordKeeperCall(holder, err)
	}
	return answer, err
}

// recordKeeperCall records whether a keeper answered. A keeper that refuses the connection has ended
// and is skipped at once; one that does not answer may only be busy and is skipped after
// maxUnansweredCalls calls.
func (n *Node) recordKeeperCall(holder dutyHolder, err error) {
	t := n.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		delete(t.unanswered, holder.id)
		return
	}
	t.unanswered[holder.id]++
	if t.unanswered[holder.id] < maxUnansweredCalls && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	delete(t.unanswered, holder.id)
	n.opts.Log.Info("keeper of limits passed over", "peer", holder.id, "error", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.RecordCall(clock.Now(), holder.address, false)
}

// keeper returns the keeper of a workspace's account in a zone. It returns false if this instance
// has lost contact with all others, or if the zone has no live instance.
func (n *Node) keeper(workspace string, zone ident.Zone) (dutyHolder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	if n.roster.Isolated(now) {
		return dutyHolder{}, false
	}
	return n.roster.DutyHolder(now, dutyLimit+workspace, zone)
}

// zoneCount returns the number of zones among which limits are divided: the configured ones or,
// if there are more, the known ones.
func (n *Node) zoneCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.opts.Zones), n.roster.knownZones())
}

// zoneSize returns the number of known instances of this zone, alive or not.
func (n *Node) zoneSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.knownInZone(n.opts.Self.Zone)
}
