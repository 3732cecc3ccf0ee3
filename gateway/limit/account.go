// Package limit enforces the rate limits of workspaces across all instances, without a
// coordinator and without a shared store. It does no I/O and reads no clock.
//
// Each availability zone has an equal share of a workspace's limit. One instance of the zone
// owns the token bucket of that share (Accounts). The other instances of the zone request the
// tokens of a request from this owner before they send the request (Client). An owner that has
// too few tokens borrows from the owners in other zones. Borrowed tokens are deducted from the
// lender's bucket before they are added to the borrower's, so a lost message can lose tokens but
// never create any. A zone behind a network partition continues with its own share. An
// instance that reaches no owner uses an equal share of its zone's share. Instances that may not know all others
// use a part of each share, so that those which don't know each other stay within it together.
package limit

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// MaxRetryAfter is the longest time that a refused caller is told to wait before it retries.
	MaxRetryAfter = 20 * time.Second
	// startupPeriod is how long after its start an owner grants a request only if the account
	// already holds the whole cost. Instances that start together may use several owners for the
	// same account until they all know each other.
	startupPeriod = 3 * time.Second
	// idleAccountTTL is the time without requests after which an account is removed.
	idleAccountTTL = 10 * time.Minute
)

// Share is a zone's share of a limit. Rate is in tokens per second, Burst is the most tokens
// that accumulate while none are used.
type Share struct {
	Rate  float64 `json:"r"`
	Burst float64 `json:"b"`
}

// Part returns a part, 0 to 1, of the share.
func (s Share) Part(part float64) Share { return Share{Rate: s.Rate * part, Burst: s.Burst * part} }

// BalanceReport is an account's balance as an owner last reported it to a client.
type BalanceReport struct {
	Balance float64
	// Age is the time since the report.
	Age time.Duration
}

// Request is a request for tokens, sent to the owner of an account.
type Request struct {
	Workspace string
	Share     Share
	// Version is the version of the configuration that Share comes from. The newest version that
	// an owner has seen applies.
	Version int64
	Cost    float64
	// Returned is the number of tokens that the client was granted before and did not use.
	Returned float64
	// LastReport is the balance last reported by a different owner of the account, nil if there is
	// none. The new owner lowers its own balance to it, so that tokens granted by the previous
	// owner are not granted again.
	LastReport *BalanceReport
}

// Response is an owner's response to a Request.
type Response struct {
	Granted bool
	// Missing is how many tokens the account lacks for the cost of a request that was not granted.
	Missing float64
	// Balance is the account's balance after the request.
	Balance float64
}

// account is the token balance of a workspace in a zone.
type account struct {
	share   Share
	version int64
	bucket  tokenbucket.Bucket
	// borrowed is the number of tokens borrowed from other zones. They are spent first, and are not
	// limited by the burst of the zone's share.
	borrowed float64
	// pendingRetries is the total cost of refused requests whose callers were told when to retry, less
	// the tokens that have accrued since.
	pendingRetries float64
	// lastRequest is when tokens were last requested.
	lastRequest time.Time
}

// Accounts holds the accounts that an instance owns. It is safe for concurrent use.
type Accounts struct {
	// startedAt is when the instance started. How many tokens were granted before is unknown, so each
	// account is treated as empty at that time.
	startedAt time.Time

	mu          sync.Mutex
	byWorkspace map[string]*account
}

// NewAccounts returns the accounts of an instance that starts at the given time.
func NewAccounts(now time.Time) *Accounts {
	return &Accounts{startedAt: now, byWorkspace: map[string]*account{}}
}

// Take grants a request if the account holds any tokens, and deducts the whole cost. The balance
// may become negative, and no further request is granted until it is positive again. Requiring
// the whole cost in advance would starve large requests whenever a workspace is at its limit,
// because small requests would keep the balance too low for them. Only an owner that has just
// started (see startupPeriod) requires it, up to the burst.
func (s *Accounts) Take(now time.Time, q Request) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, q.Workspace, q.Share, q.Version)
	a.lastRequest = now
	a.refund(q.Returned)
	if q.LastReport != nil {
		a.deduct(a.balance() - q.LastReport.Balance - a.share.Rate*q.LastReport.Age.Seconds())
	}
	need := 0.0
	if now.Sub(s.startedAt) < startupPeriod {
		need = min(q.Cost, a.share.Burst)
	}
	if a.balance() <= 0 || a.balance() < need {
		return Response{Missing: q.Cost - a.balance(), Balance: a.balance()}
	}
	a.deduct(q.Cost)
	return Response{Granted: true, Balance: a.balance()}
}

// RetryAfter returns how long the caller of a refused request should wait before it retries: until
// the account will hold tokens beyond those needed by callers refused earlier, so that they do
// not all retry for the same tokens. The time is at most MaxRetryAfter.
func (s *Accounts) RetryAfter(now time.Time, workspace string, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byWorkspace[workspace]
	if a == nil || a.share.Rate <= 0 {
		return MaxRetryAfter
	}
	a.fill(now)
	before := a.pendingRetries
	a.pendingRetries += cost
	return seconds(min((before-a.balance())/a.share.Rate, MaxRetryAfter.Seconds()))
}

// AddBorrowed adds tokens borrowed from another zone to an account. It has no effect if this
// instance doesn't own the account.
func (s *Accounts) AddBorrowed(workspace string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byWorkspace[workspace]; a != nil {
		a.borrowed += max(0, tokens)
	}
}

// Lend deducts tokens from an account to lend them to another zone, and returns how many. balance
// is the balance of the borrowing account. The loan is the larger of q.Cost and half of the
// difference between the balances, but no more than this account holds. Evening out the balances
// wastes the fewest tokens, because a full account accrues none.
func (s *Accounts) Lend(now time.Time, q Request, balance float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, q.Workspace, q.Share, q.Version)
	lent := max(0, min(a.balance(), max(q.Cost, (a.balance()-balance)/2)))
	a.deduct(lent)
	return lent
}

// Balance returns the balance of an account, and false if this instance doesn't own it.
func (s *Accounts) Balance(now time.Time, workspace string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byWorkspace[workspace]
	if a == nil {
		return 0, false
	}
	a.fill(now)
	return a.balance(), true
}

// RemoveIdle removes the accounts from which no tokens were requested for idleAccountTTL.
func (s *Accounts) RemoveIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range s.byWorkspace {
		if now.Sub(a.lastRequest) > idleAccountTTL {
			delete(s.byWorkspace, name)
		}
	}
}

// account returns an account with its balance as of now, creating it if needed, and applies the
// share if its version is not older than the account's. The caller holds mu.
func (s *Accounts) account(now time.Time, name string, share Share, version int64) *account {
	a := s.byWorkspace[name]
	if a == nil {
		a = &account{share: share, version: version, lastRequest: now}
		a.bucket.Fill(now, share.Rate, share.Burst, share.Rate*now.Sub(s.startedAt).Seconds())
		s.byWorkspace[name] = a
	}
	a.fill(now)
	if version >= a.version && (version > a.version || share != a.share) {
		a.share, a.version = share, version
		a.borrowed = min(a.borrowed, share.Burst)
		a.fill(now)
	}
	return a
}

// balance returns the account's balance, which may be negative.
func (a *account) balance() float64 { return a.bucket.Tokens + a.borrowed }

// deduct deducts tokens from the account, borrowed ones first. A negative number deducts none.
func (a *account) deduct(tokens float64) {
	tokens = max(0, tokens)
	fromBorrowed := min(tokens, a.borrowed)
	a.borrowed -= fromBorrowed
	a.bucket.Tokens -= tokens - fromBorrowed
}

// fill adds the tokens that accrued until now.
func (a *account) fill(now time.Time) {
	a.pendingRetries = max(0, a.pendingRetries-a.share.Rate*max(0, now.Sub(a.bucket.FilledAt()).Seconds()))
	a.bucket.Fill(now, a.share.Rate, a.share.Burst, 0)
}

// refund returns unused tokens to the account, up to the burst.
func (a *account) refund(tokens float64) {
	a.bucket.Tokens = min(a.bucket.Tokens+max(0, tokens), max(a.share.Burst, a.bucket.Tokens))
}

// seconds converts seconds to a duration. A negative number gives 0.
func seconds(s float64) time.Duration { return time.Duration(max(0, s) * float64(time.Second)) }
