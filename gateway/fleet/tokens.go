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

// MethodTokens asks a peer for tokens of a workspace's limit.
const MethodTokens = "gateway.tokens"

const (
	// dutyLimit, with a workspace, names the duty of keeping its account in a zone.
	dutyLimit = "limit/"
	// keeperTimeout bounds a question to a keeper, which takes a ms or two, and within it
	// borrowTimeout the keeper's own ones to other zones.
	keeperTimeout = 200 * time.Millisecond
	borrowTimeout = 80 * time.Millisecond
	// keeperTries is how many keepers are asked for a request.
	keeperTries = 3
	// silentKeepers is how many questions in a row a keeper may leave unanswered before it is
	// passed over: with another one beside it, the zone would use more than its part.
	silentKeepers = 2
	// borrowAgain is how long a zone that had nothing to lend, or didn't answer, is not asked
	// for the same workspace again.
	borrowAgain = 250 * time.Millisecond
	// retryAlone is when the caller of an instance that reaches no keeper may come back, most
	// likely to another one.
	retryAlone = 100 * time.Millisecond
	// shortestWait is the least time after which a caller over its limit may come back.
	shortestWait = 50 * time.Millisecond
	// flushInterval is how often idle tokens are given back.
	flushInterval = 250 * time.Millisecond
)

// TokenRequest asks for tokens for a request, or for another zone.
type TokenRequest struct {
	Workspace string     `json:"w"`
	Part      limit.Part `json:"p"`
	Version   int64      `json:"v"`
	Cost      float64    `json:"c,omitempty"`
	Back      float64    `json:"b,omitempty"`
	// ToldLevel and ToldAgeMS are as in limit.Told, if Told is set.
	Told      bool    `json:"t,omitempty"`
	ToldLevel float64 `json:"tl,omitempty"`
	ToldAgeMS int64   `json:"ta,omitempty"`
	// Lend asks for a loan to the account of another zone, which holds Level.
	Lend  bool    `json:"l,omitempty"`
	Level float64 `json:"ll,omitempty"`
}

// ask is the request as the accounts take it.
func (q *TokenRequest) ask() limit.Ask {
	a := limit.Ask{Workspace: q.Workspace, Part: q.Part, Version: q.Version, Cost: q.Cost, Back: q.Back}
	if q.Told {
		a.Told = &limit.Told{Level: q.ToldLevel, Age: time.Duration(q.ToldAgeMS) * time.Millisecond}
	}
	return a
}

// TokenAnswer is a keeper's answer.
type TokenAnswer struct {
	Granted bool    `json:"g,omitempty"`
	Level   float64 `json:"l"`
	// WaitMS is when a refused caller may come back.
	WaitMS int64 `json:"w,omitempty"`
	// Lent are the tokens that were lent.
	Lent float64 `json:"n,omitempty"`
	// Incarnation is the keeper's.
	Incarnation ident.Incarnation `json:"i"`
}

// tokens is what a node keeps for limits.
type tokens struct {
	client   *limit.Client
	accounts *limit.Accounts
	borrows  singleflight.Group

	mu sync.Mutex
	// unanswered counts the questions in a row that a keeper left unanswered.
	unanswered map[ident.InstanceID]int
	// dry is until when a zone is not asked for a workspace's tokens.
	dry map[dryKey]time.Time
}

func newTokens() *tokens {
	return &tokens{
		client: limit.NewClient(), accounts: limit.NewAccounts(clock.Now()),
		unanswered: map[ident.InstanceID]int{}, dry: map[dryKey]time.Time{},
	}
}

// Verdict is the decision on a request of a workspace with a limit.
type Verdict struct {
	Granted bool
	// Unknown means that the instance reaches no keeper, and its own part holds too little.
	Unknown bool
	// Wait is when a refused caller may come back; 0 if its request can never be paid.
	Wait time.Duration
	// Keeper is who decided, "" for this instance by itself; Level what the account holds.
	Keeper ident.InstanceID
	Level  float64
}

// Take takes the tokens of a request out of its workspace's limit. An instance that has just
// started waits until it knows whom to ask.
func (n *Node) Take(ctx context.Context, w *routing.Workspace, version int64, cost float64) Verdict {
	if !limit.Payable(w.Limit, cost) {
		return Verdict{}
	}
	n.AwaitInformed(ctx, true)
	c := n.tokens.client
	if granted, wait, ok := c.Decide(clock.Now(), w.Name, cost); ok {
		return Verdict{Granted: granted, Wait: bounded(wait)}
	}
	for range keeperTries {
		keeper, ok := n.keeper(w.Name, n.o.Self.Zone)
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
	part := limit.PartOf(w.Limit, n.zoneCount()*n.zoneSize())
	if c.Alone(clock.Now(), w.Name, cost, part) {
		return Verdict{Granted: true}
	}
	return Verdict{Unknown: true, Wait: spread(retryAlone)}
}

// Return gives back the tokens of a request that did not run.
func (n *Node) Return(w *routing.Workspace, cost float64) {
	n.tokens.client.Return(clock.Now(), w.Name, cost)
}

// Limits returns what this instance knows of each workspace's limit.
func (n *Node) Limits() []limit.Status {
	s := n.Snapshot()
	out := []limit.Status{}
	if s.Table == nil {
		return out
	}
	for _, w := range s.Table.Config().Workspaces {
		if !w.Limit.Bounds() {
			continue
		}
		level, keeps := n.tokens.accounts.Level(clock.Now(), w.Name)
		out = append(out, limit.Status{
			Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst, Unit: w.Limit.Unit,
			Use: n.tokens.client.Use(w.Name), Keeps: keeps, Level: math.Round(level),
		})
	}
	return out
}

// bounded keeps the time after which a caller comes back within bounds.
func bounded(wait time.Duration) time.Duration {
	return min(max(wait, shortestWait), limit.LongestWait)
}

// spread prolongs a time at random by up to its half, so that callers don't return together.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// askKeeper asks a keeper, which may be this instance; false if it doesn't answer.
func (n *Node) askKeeper(ctx context.Context, k duty, w *routing.Workspace, version int64, cost float64) (Verdict, bool) {
	now := clock.Now()
	q := n.tokens.client.Ask(now, w.Name, cost, limit.Keeper{ID: k.id, Incarnation: k.incarnation})
	request := TokenRequest{Workspace: w.Name, Part: limit.PartOf(w.Limit, n.zoneCount()), Version: version, Cost: cost, Back: q.Back}
	if q.Told != nil {
		request.Told, request.ToldLevel, request.ToldAgeMS = true, q.Told.Level, q.Told.Age.Milliseconds()
	}
	answer, err := n.callKeeper(ctx, k, request)
	if err != nil {
		return Verdict{}, false
	}
	wait := time.Duration(answer.WaitMS) * time.Millisecond
	from := limit.Keeper{ID: k.id, Incarnation: answer.Incarnation}
	n.tokens.client.Answered(clock.Now(), w.Name, cost, from, limit.Answer{Granted: answer.Granted, Level: answer.Level}, wait)
	return Verdict{Granted: answer.Granted, Wait: bounded(wait), Keeper: k.id, Level: answer.Level}, true
}

// callKeeper makes one call to a keeper.
func (n *Node) callKeeper(ctx context.Context, k duty, q TokenRequest) (TokenAnswer, error) {
	if k.self {
		return n.onTokens(ctx, peer.Identity{}, q)
	}
	limited, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	answer, err := peer.Call[TokenAnswer](limited, n.o.Pool, k.address, MethodTokens, q)
	if ctx.Err() == nil {
		n.noteKeeper(k, err)
	}
	return answer, err
}

// noteKeeper takes in whether a keeper answered. One that refuses the connection has ended;
// one that is silent may only be busy.
func (n *Node) noteKeeper(k duty, err error) {
	t := n.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		delete(t.unanswered, k.id)
		return
	}
	t.unanswered[k.id]++
	if t.unanswered[k.id] < silentKeepers && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	delete(t.unanswered, k.id)
	n.o.Log.Info("keeper of limits passed over", "peer", k.id, "error", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Called(clock.Now(), k.address, false)
}

// keeper returns the instance that keeps a workspace's account in a zone; false if this
// instance is out of touch with all others, or none of the zone lives.
func (n *Node) keeper(workspace string, zone ident.Zone) (duty, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	if n.roster.Isolated(now) {
		return duty{}, false
	}
	return n.roster.Duty(now, dutyLimit+workspace, zone)
}

// zoneCount is into how many zones limits are divided: those that the operators name, and
// those that are known.
func (n *Node) zoneCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.o.Zones), n.roster.knownZones())
}

// zoneSize is how many instances of the own zone are known, whether they live or not.
func (n *Node) zoneSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.knownIn(n.o.Self.Zone)
}
