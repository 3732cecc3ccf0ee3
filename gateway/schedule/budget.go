package schedule

import (
	"sync"
	"time"
)

// BudgetOptions limits how often requests are sent again.
type BudgetOptions struct {
	// Ratio is the number of extra sends allowed for each request to a service.
	Ratio float64
	// Window is the sliding time window over which requests and extra sends are counted.
	Window time.Duration
	// Slack is the number of further extra sends that all instances together may make in one
	// window.
	Slack float64
}

// budgetMargin is the share of the budget that is used. The rest covers the counting in steps
// of the sliding window, and restarted instances, which lose their count of extra sends.
const budgetMargin = 0.6

// startedStreamMargin is the same for streams that have already started. Without another send
// their output is lost, whereas other requests can be refused.
const startedStreamMargin = 0.8

const (
	// lowSpendingShare is the share of the slack up to which the spending of all instances
	// together counts as low. Each instance may then use its whole share. In a large fleet that
	// share is about two sends, and restarting a stream takes two.
	lowSpendingShare = 0.3
	// spendingTTL is how long the reported spending of the other instances stays valid. In
	// large fleets load reports pass through two hubs, each of which adds 0.3 s.
	spendingTTL = 1500 * time.Millisecond
)

// budgetSteps is the number of steps into which a window is divided. One more step is counted,
// so that the counted time is never shorter than a window.
const (
	budgetSteps  = 20
	countedSteps = budgetSteps + 1
)

// Budget limits the extra sends to each service. Every instance spends only its own share of the
// budget, so that the total stays within the limit without coordination. The spending reported
// by other instances only determines how much of its share an instance may use. Budget is safe
// for concurrent use.
type Budget struct {
	options   BudgetOptions
	instances func() int
	// origin is the time from which steps are counted by elapsed time. The time of day is not
	// used since it may jump.
	origin time.Time

	mu       sync.Mutex
	services map[string]*spending
	// othersSpent is the number of extra sends of the other instances by service, as reported
	// at othersSpentAt.
	othersSpent   map[string]int
	othersSpentAt time.Time
}

// spending counts a service's requests and extra sends in a ring of time steps.
type spending struct {
	step     int64
	requests [countedSteps]int
	extra    [countedSteps]int
}

// windowTotals returns the requests and extra sends of the last window.
func (s *spending) windowTotals() (requests, extra int) {
	for i := range countedSteps {
		requests += s.requests[i]
		extra += s.extra[i]
	}
	return requests, extra
}

// spend adds extra sends to the current step.
func (s *spending) spend(sends int) { s.extra[s.step%countedSteps] += sends }

// NewBudget returns a budget. instances returns the number of instances that share it.
func NewBudget(now time.Time, o BudgetOptions, instances func() int) *Budget {
	return &Budget{options: o, instances: instances, origin: now, services: map[string]*spending{}}
}

// spendingOf returns a service's spending, advanced to the current step. The caller holds mu.
func (b *Budget) spendingOf(now time.Time, service string) *spending {
	s := b.services[service]
	if s == nil {
		s = &spending{}
		b.services[service] = s
	}
	length := int64(b.options.Window) / budgetSteps
	step := int64(now.Sub(b.origin)) / max(1, length)
	for i := s.step + 1; i <= step && i <= s.step+countedSteps; i++ {
		s.requests[i%countedSteps] = 0
		s.extra[i%countedSteps] = 0
	}
	s.step = max(s.step, step)
	return s
}

// Request counts a request from a caller.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spendingOf(now, service)
	s.requests[s.step%countedSteps]++
}

// Spent returns the extra sends of this instance in the last window, by service.
func (b *Budget) Spent(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := map[string]int{}
	for service := range b.services {
		if _, extra := b.spendingOf(now, service).windowTotals(); extra > 0 {
			spent[service] = extra
		}
	}
	return spent
}

// SetOthersSpent records the extra sends of the other instances, by service.
func (b *Budget) SetOthersSpent(now time.Time, spent map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.othersSpent, b.othersSpentAt = spent, now
}

// lowSpending reports whether the known spending of all instances together is low. It is false
// without a recent report of the others, and during the first window after a start, since an
// instance that restarted does not know what it spent before. The caller holds mu.
func (b *Budget) lowSpending(now time.Time, service string, extra int) bool {
	if now.Sub(b.othersSpentAt) > spendingTTL || now.Sub(b.origin) < b.options.Window {
		return false
	}
	return float64(b.othersSpent[service]+extra) <= lowSpendingShare*b.options.Slack
}

// Extra reports whether the given number of extra sends is within the budget, and counts them
// if so.
func (b *Budget) Extra(now time.Time, service string, sends int) bool {
	return b.trySpend(now, service, sends, budgetMargin, 1)
}

// ExtraForStream is like Extra for a stream that has already started.
func (b *Budget) ExtraForStream(now time.Time, service string, sends int) bool {
	return b.trySpend(now, service, sends, startedStreamMargin, 1)
}

// Return takes back sends that were counted and not made.
func (b *Budget) Return(now time.Time, service string, sends int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spendingOf(now, service)
	for i := range countedSteps {
		returned := min(sends, s.extra[i])
		s.extra[i] -= returned
		sends -= returned
	}
}

// ExtraOptional is like Extra for optional sends, such as those of a migration. They use at most
// half of the budget, which leaves the rest to necessary ones.
func (b *Budget) ExtraOptional(now time.Time, service string, sends int) bool {
	return b.trySpend(now, service, sends, budgetMargin/2, budgetMargin/2)
}

// CountRequired counts sends that became necessary because of ExtraOptional sends, without checking
// the budget. At most as many can follow as were granted by ExtraOptional, so that both together
// stay within the budget.
func (b *Budget) CountRequired(now time.Time, service string, sends int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spendingOf(now, service).spend(sends)
}

// trySpend counts sends and returns true if this instance then stays within a fraction of its
// share of the budget. The fraction is lowShare while all instances together spend little, and
// share otherwise.
func (b *Budget) trySpend(now time.Time, service string, sends int, share, lowShare float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.spendingOf(now, service)
	requests, extra := s.windowTotals()
	if b.lowSpending(now, service, extra) {
		share = lowShare
	}
	allowed := b.options.Ratio*float64(requests) + b.options.Slack/float64(max(1, b.instances()))
	if float64(extra+sends) > share*allowed {
		return false
	}
	s.spend(sends)
	return true
}
