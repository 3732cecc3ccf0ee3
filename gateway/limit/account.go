// Package limit holds workspaces to their limits over all instances, without a coordinator
// and without a store. It does no I/O and reads no clock.
//
// Each availability zone has an equal part of a workspace's limit, kept as a token bucket by
// one instance of the zone, the workspace's keeper there (Accounts). The other instances of
// the zone ask the keeper for a request's tokens before they send the request (Client). A
// keeper that has too few borrows from those of other zones: tokens that are moved are taken
// from one bucket before they are put into the other, so that lost messages lose tokens and
// never make any. A zone that is cut off goes on with its own part. An instance that reaches
// no keeper uses an equal part of its zone's part.
package limit

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// LongestWait bounds the time that callers are told to wait.
	LongestWait = 20 * time.Second
	// settle is how long after its start a keeper asks for a request's tokens in advance:
	// instances that start together take several for the keeper until all know each other.
	settle = 3 * time.Second
	// forgetAfter is how long an account is kept that nobody asks.
	forgetAfter = 10 * time.Minute
)

// Part is a zone's part of a limit: tokens a second, and how many may be taken after a rest.
type Part struct {
	Rate  float64 `json:"r"`
	Burst float64 `json:"b"`
}

// Told is what a client heard of an account from its keeper.
type Told struct {
	Level float64
	// Age is how long ago that was.
	Age time.Duration
}

// Ask asks a keeper for tokens.
type Ask struct {
	Workspace string
	Part      Part
	// Version is that of the configuration which sets the part; the newest counts.
	Version int64
	Cost    float64
	// Back are tokens that the client got before and did not use.
	Back float64
	// Told is what another keeper of the account said, nil if none did: what it gave away
	// counts here too.
	Told *Told
}

// Answer is what a keeper says.
type Answer struct {
	Granted bool
	// Short is how many tokens the account lacks for the cost.
	Short float64
	// Level is what the account holds.
	Level float64
}

// account is a workspace's tokens in a zone.
type account struct {
	part    Part
	version int64
	bucket  tokenbucket.Bucket
	// loan are borrowed tokens: they are spent first, and may be more than a zone saves up.
	loan float64
	// promised are the tokens of refused callers that were told to come back for them.
	promised float64
	asked    time.Time
}

// Accounts are those that an instance keeps. They are safe for concurrent use.
type Accounts struct {
	// born is when the instance started. What was taken before, nobody knows: an account is
	// as one that held nothing then.
	born time.Time

	mu   sync.Mutex
	kept map[string]*account
}

// NewAccounts returns those of an instance that starts now.
func NewAccounts(now time.Time) *Accounts {
	return &Accounts{born: now, kept: map[string]*account{}}
}

// Take takes the tokens of a request out of an account that holds any. What it takes beyond
// them is paid for before the next request: were all of it asked for in advance, small
// requests would leave too little for large ones whenever a workspace is at its limit. So it
// is only at a keeper that has just started.
func (s *Accounts) Take(now time.Time, q Ask) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, q.Workspace, q.Part, q.Version)
	a.asked = now
	a.add(q.Back)
	if q.Told != nil {
		a.spend(a.level() - q.Told.Level - a.part.Rate*q.Told.Age.Seconds())
	}
	need := 0.0
	if now.Sub(s.born) < settle {
		need = min(q.Cost, a.part.Burst)
	}
	if a.level() <= 0 || a.level() < need {
		return Answer{Short: q.Cost - a.level(), Level: a.level()}
	}
	a.spend(q.Cost)
	return Answer{Granted: true, Level: a.level()}
}

// Refuse returns when the caller of a refused request may come back: when the account will
// hold tokens, after those of the callers that were refused before it, so that they don't all
// come back for the same ones.
func (s *Accounts) Refuse(now time.Time, workspace string, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.kept[workspace]
	if a == nil || a.part.Rate <= 0 {
		return LongestWait
	}
	a.fill(now)
	before := a.promised
	a.promised += cost
	return seconds(min((before-a.level())/a.part.Rate, LongestWait.Seconds()))
}

// Borrowed puts borrowed tokens into an account.
func (s *Accounts) Borrowed(workspace string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.kept[workspace]; a != nil {
		a.loan += max(0, tokens)
	}
}

// Lend takes tokens out of an account for that of another zone, which has a level and wants
// some: as many, or half of the difference. A full account saves nothing up, so that tokens
// are of most use where the level is lowest.
func (s *Accounts) Lend(now time.Time, q Ask, level float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, q.Workspace, q.Part, q.Version)
	lent := max(0, min(a.level(), max(q.Cost, (a.level()-level)/2)))
	a.spend(lent)
	return lent
}

// Level returns what an account holds, false if this instance keeps none.
func (s *Accounts) Level(now time.Time, workspace string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.kept[workspace]
	if a == nil {
		return 0, false
	}
	a.fill(now)
	return a.level(), true
}

// Forget drops the accounts that nobody has asked for long.
func (s *Accounts) Forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range s.kept {
		if now.Sub(a.asked) > forgetAfter {
			delete(s.kept, name)
		}
	}
}

// account returns an account as of now, with the part of the newest configuration. The caller
// holds mu.
func (s *Accounts) account(now time.Time, name string, part Part, version int64) *account {
	a := s.kept[name]
	if a == nil {
		a = &account{part: part, version: version, asked: now}
		a.bucket.Fill(now, part.Rate, part.Burst, part.Rate*now.Sub(s.born).Seconds())
		s.kept[name] = a
	}
	a.fill(now)
	if version >= a.version && (version > a.version || part != a.part) {
		a.part, a.version = part, version
		a.loan = min(a.loan, part.Burst)
		a.fill(now)
	}
	return a
}

// level is what the account holds.
func (a *account) level() float64 { return a.bucket.Tokens + a.loan }

// spend takes tokens out of the account; fewer than none takes none.
func (a *account) spend(tokens float64) {
	tokens = max(0, tokens)
	fromLoan := min(tokens, a.loan)
	a.loan -= fromLoan
	a.bucket.Tokens -= tokens - fromLoan
}

// fill lets time pass.
func (a *account) fill(now time.Time) {
	a.promised = max(0, a.promised-a.part.Rate*max(0, now.Sub(a.bucket.FilledAt()).Seconds()))
	a.bucket.Fill(now, a.part.Rate, a.part.Burst, 0)
}

// add puts tokens into the account that were taken out before.
func (a *account) add(tokens float64) {
	a.bucket.Tokens = min(a.bucket.Tokens+max(0, tokens), max(a.part.Burst, a.bucket.Tokens))
}

// seconds is a time of at least 0.
func seconds(s float64) time.Duration { return time.Duration(max(0, s) * float64(time.Second)) }
