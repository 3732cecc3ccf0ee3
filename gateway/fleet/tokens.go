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

// MethodTokens asks the owner of a workspace's account for tokens of the workspace's limit, or
// returns tokens to it. The owner is the instance that holds the account of a workspace in a zone.
const MethodTokens = "gateway.tokens"

const (
	// dutyLimit is the prefix of the name of the duty to own a workspace's account in a zone.
	// The workspace follows.
	dutyLimit = "limit/"
	// ownerTimeout bounds a call to an owner, which takes one or two milliseconds. borrowTimeout
	// bounds the owner's own calls to other zones within it.
	ownerTimeout  = 200 * time.Millisecond
	borrowTimeout = 80 * time.Millisecond
	// maxOwnerCalls is the number of calls to owners that are attempted for a request.
	maxOwnerCalls = 3
	// maxUnansweredCalls is the number of consecutive calls that an owner may leave unanswered
	// before the next candidate replaces it. While two instances act as owners of the same
	// account, the zone uses more than its share of the limit.
	maxUnansweredCalls = 2
	// lenderRetryInterval is how long a zone that had nothing to lend, or did not answer, is not
	// asked again for tokens of the same workspace.
	lenderRetryInterval = 250 * time.Millisecond
	// noOwnerRetry is the retry time given to callers of an instance that cannot reach an owner.
	// The retry will most likely reach another instance.
	noOwnerRetry = 100 * time.Millisecond
	// minRetryWait is the minimum retry time given to a caller over its limit.
	minRetryWait = 50 * time.Millisecond
	// flushInterval is the time between two returns of unused tokens.
	flushInterval = 250 * time.Millisecond
)

// TokenRequest asks an owner for the tokens of a request, or for a loan to another zone's
// account. It also returns unused tokens.
type TokenRequest struct {
	Workspace string `json:"w"`
	// Share is the zone's share of the workspace's limit, as of configuration Version.
	Share   limit.Share `json:"p"`
	Version int64       `json:"v"`
	// Cost is the number of tokens asked for, Returned the number of unused tokens returned.
	Cost     float64 `json:"c,omitempty"`
	Returned float64 `json:"b,omitempty"`
	// ReportedBalance and ReportAgeMS are the fields of limit.BalanceReport. They are valid if
	// HasReport is set.
	HasReport       bool    `json:"t,omitempty"`
	ReportedBalance float64 `json:"tl,omitempty"`
	ReportAgeMS     int64   `json:"ta,omitempty"`
	// Lend asks for a loan to the account of another zone, whose balance is Balance.
	Lend    bool    `json:"l,omitempty"`
	Balance float64 `json:"ll,omitempty"`
}

// limitRequest converts the request to a limit.Request for an owner that may use the given part of its zone's share.
func (r *TokenRequest) limitRequest(part float64) limit.Request {
	q := limit.Request{Workspace: r.Workspace, Share: r.Share.Part(part), Version: r.Version, Cost: r.Cost, Returned: r.Returned}
	if r.HasReport {
		q.LastReport = &limit.BalanceReport{Balance: r.ReportedBalance, Age: time.Duration(r.ReportAgeMS) * time.Millisecond}
	}
	return q
}

// TokenAnswer is an owner's answer to a TokenRequest.
type TokenAnswer struct {
	Granted bool    `json:"g,omitempty"`
	Balance float64 `json:"l"`
	// WaitMS is the time, in milliseconds, after which a refused caller may retry.
	WaitMS int64 `json:"w,omitempty"`
	// Lent is the number of tokens that were lent.
	Lent float64 `json:"n,omitempty"`
	// Incarnation is the owner's incarnation.
	Incarnation ident.Incarnation `json:"i"`
}

// tokens is a node's state for workspace limits: as a client of owners and as an owner.
type tokens struct {
	client   *limit.Client
	accounts *limit.Accounts
	borrows  singleflight.Group

	mu sync.Mutex
	// unanswered counts the consecutive calls that each owner left unanswered.
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
	// NoOwner is set if the instance reaches no owner and its own share of the limit does not
	// suffice, or if it has no share since it has found no seed.
	NoOwner bool
	// Wait is the time after which a refused caller may retry; 0 if its request exceeds what the
	// limit can ever allow.
	Wait time.Duration
	// Owner is the instance that decided, empty if this instance decided by itself. Balance is the
	// number of tokens left in the account.
	Owner   ident.InstanceID
	Balance float64
}

// TakeTokens takes the tokens of a request from its workspace's limit. On an instance that has
// just started, it first waits until the instance knows its peers.
func (n *Node) TakeTokens(ctx context.Context, w *routing.Workspace, version int64, cost float64) TokenDecision {
	if !limit.Grantable(w.Limit, cost) {
		return TokenDecision{}
	}
	n.AwaitInformed(ctx, true)
	c := n.tokens.client
	if granted, wait, ok := c.Decide(clock.Now(), w.Name, cost); ok {
		return TokenDecision{Granted: granted, Wait: clampWait(wait)}
	}
	for range maxOwnerCalls {
		owner, ok := n.accountOwner(w.Name, n.opts.Self.Zone)
		if !ok {
			break
		}
		if decision, ok := n.askOwner(ctx, owner, w, version, cost); ok {
			return decision
		}
		if ctx.Err() != nil {
			break
		}
	}
	share := limit.ShareOf(w.Limit, n.zoneCount()*n.zoneSize()).Part(n.share())
	if share.Rate > 0 && c.DecideLocally(clock.Now(), w.Name, cost, share) {
		return TokenDecision{Granted: true}
	}
	return TokenDecision{NoOwner: true, Wait: addJitter(noOwnerRetry)}
}

// ReturnTokens returns the tokens of a request that did not run.
func (n *Node) ReturnTokens(w *routing.Workspace, cost float64) {
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
		balance, owns := n.tokens.accounts.Balance(clock.Now(), w.Name)
		out = append(out, limit.Status{
			Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst, Unit: w.Limit.Unit,
			Use: n.tokens.client.Use(w.Name), Owns: owns, Level: math.Round(balance),
		})
	}
	return out
}

// clampWait limits a retry time to between minRetryWait and limit.MaxRetryAfter.
func clampWait(wait time.Duration) time.Duration {
	return min(max(wait, minRetryWait), limit.MaxRetryAfter)
}

// addJitter prolongs a duration at random by up to half of it, so that callers do not all retry at
// the same time.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// askOwner asks an owner, which may be this instance, for the tokens of a request. It returns
// false if the owner does not answer.
func (n *Node) askOwner(ctx context.Context, holder dutyHolder, w *routing.Workspace, version int64, cost float64) (TokenDecision, bool) {
	now := clock.Now()
	limitRequest := n.tokens.client.NewRequest(now, w.Name, cost, limit.Owner{ID: holder.id, Incarnation: holder.incarnation})
	request := TokenRequest{Workspace: w.Name, Share: limit.ShareOf(w.Limit, n.zoneCount()), Version: version, Cost: cost, Returned: limitRequest.Returned}
	if limitRequest.LastReport != nil {
		request.HasReport, request.ReportedBalance, request.ReportAgeMS = true, limitRequest.LastReport.Balance, limitRequest.LastReport.Age.Milliseconds()
	}
	answer, err := n.callOwner(ctx, holder, request)
	if err != nil {
		return TokenDecision{}, false
	}
	wait := time.Duration(answer.WaitMS) * time.Millisecond
	owner := limit.Owner{ID: holder.id, Incarnation: answer.Incarnation}
	n.tokens.client.RecordResponse(clock.Now(), w.Name, cost, owner, limit.Response{Granted: answer.Granted, Balance: answer.Balance}, wait)
	return TokenDecision{Granted: answer.Granted, Wait: clampWait(wait), Owner: holder.id, Balance: answer.Balance}, true
}

// callOwner calls MethodTokens of an owner.
func (n *Node) callOwner(ctx context.Context, holder dutyHolder, request TokenRequest) (TokenAnswer, error) {
	if holder.self {
		return n.onTokens(ctx, peer.Identity{}, request)
	}
	limited, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := peer.Call[TokenAnswer](limited, n.opts.Pool, holder.address, MethodTokens, request)
	if ctx.Err() == nil {
		n.recordOwnerCall(holder, err)
	}
	return answer, err
}

// recordOwnerCall records whether an owner answered. An owner that refuses the connection has ended
// and is skipped at once; one that does not answer may only be busy and is skipped after
// maxUnansweredCalls calls.
func (n *Node) recordOwnerCall(holder dutyHolder, err error) {
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

// accountOwner returns the owner of a workspace's account in a zone. It returns false if this
// instance has lost contact with all others or has never found any, or if the zone has no live instance.
func (n *Node) accountOwner(workspace string, zone ident.Zone) (dutyHolder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	if n.roster.Isolated(now) || n.roster.Share(now) <= 0 {
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
