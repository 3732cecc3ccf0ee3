package schedule

import (
	"sync"
	"time"
)

// BudgetOptions bound how often requests are sent again.
type BudgetOptions struct {
	// Ratio is how many extra sends are allowed for each request of a service.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Slack is how many more extra sends all instances together may make in a
	// window.
	Slack float64
}

// budgetMargin is the share of the budget that is used: windows slide, and
// instances that restart forget what they spent.
const budgetMargin = 0.6

// underWayMargin is the same for streams under way: without another send their answers are
// lost, where other requests can be refused.
const underWayMargin = 0.8

const (
	// quietShare is the share of the slack under which all instances together spend little:
	// each may then use the whole of its part. In a large fleet the part is some two sends,
	// and a stream that starts anew takes two.
	quietShare = 0.3
	// spentFresh is how long it is believed what the others spent: loads of large fleets
	// come by two hubs, each 0.3 s.
	spentFresh = 1500 * time.Millisecond
)

// budgetSteps is into how many steps a window is divided; one more is counted, so that
// what is counted is never shorter than a window.
const (
	budgetSteps  = 20
	countedSteps = budgetSteps + 1
)

// Budget bounds extra sends to each service. Every instance spends its own part, so that
// the sum stays in bounds without a word between them; what the others are heard to spend
// only says how much of its part an instance may use. It is safe for concurrent use.
type Budget struct {
	options   BudgetOptions
	instances func() int
	// origin is what steps are counted from: the time of day may jump.
	origin time.Time

	mu       sync.Mutex
	services map[string]*spending
	// others is what the others spent by service, as of heard.
	others map[string]int
	heard  time.Time
}

// spending counts a service's requests and extra sends, by step of time.
type spending struct {
	step     int64
	requests [countedSteps]int
	extra    [countedSteps]int
}

// counted returns the requests and extra sends of the last window.
func (s *spending) counted() (requests, extra int) {
	for i := range countedSteps {
		requests += s.requests[i]
		extra += s.extra[i]
	}
	return requests, extra
}

// spend counts extra sends.
func (s *spending) spend(sends int) { s.extra[s.step%countedSteps] += sends }

// NewBudget returns a budget; instances returns how many share it.
func NewBudget(now time.Time, o BudgetOptions, instances func() int) *Budget {
	return &Budget{options: o, instances: instances, origin: now, services: map[string]*spending{}}
}

// of returns a service's spending, moved on to now. The caller holds mu.
func (b *Budget) of(now time.Time, service string) *spending {
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

// Request counts a caller's request.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	s.requests[s.step%countedSteps]++
}

// Spent returns the extra sends of this instance in the last window, by service.
func (b *Budget) Spent(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := map[string]int{}
	for service := range b.services {
		if _, extra := b.of(now, service).counted(); extra > 0 {
			spent[service] = extra
		}
	}
	return spent
}

// SetOthers takes in what the other instances spent.
func (b *Budget) SetOthers(now time.Time, spent map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.heard = spent, now
}

// quiet reports whether all instances together spend little, as far as is known. One that
// has just started is not sure: it forgot what it spent before. The caller holds mu.
func (b *Budget) quiet(now time.Time, service string, extra int) bool {
	if now.Sub(b.heard) > spentFresh || now.Sub(b.origin) < b.options.Window {
		return false
	}
	return float64(b.others[service]+extra) <= quietShare*b.options.Slack
}

// Extra reports whether so many more sends beyond the first are allowed, and counts
// them.
func (b *Budget) Extra(now time.Time, service string, sends int) bool {
	return b.take(now, service, sends, budgetMargin, 1)
}

// Continue is Extra for a stream that is under way.
func (b *Budget) Continue(now time.Time, service string, sends int) bool {
	return b.take(now, service, sends, underWayMargin, 1)
}

// Spare is Extra for sends without which nothing is lost: they leave half of the
// budget to the others.
func (b *Budget) Spare(now time.Time, service string, sends int) bool {
	return b.take(now, service, sends, budgetMargin/2, budgetMargin/2)
}

// Owed counts sends that Spare sends have made necessary. At most as many can follow, so that
// both stay within the budget.
func (b *Budget) Owed(now time.Time, service string, sends int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(now, service).spend(sends)
}

// take counts sends if with them a share of the instance's part is not exceeded: share, or
// whileQuiet while all instances spend little.
func (b *Budget) take(now time.Time, service string, sends int, share, whileQuiet float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	requests, extra := s.counted()
	if b.quiet(now, service, extra) {
		share = whileQuiet
	}
	allowed := b.options.Ratio*float64(requests) + b.options.Slack/float64(max(1, b.instances()))
	if float64(extra+sends) > share*allowed {
		return false
	}
	s.spend(sends)
	return true
}
