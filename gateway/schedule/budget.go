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

// budgetSteps is into how many steps a window is divided.
const budgetSteps = 20

// Budget bounds extra sends to each service. Every instance spends its own share,
// so that the sum stays in bounds without a word between them. It is safe for
// concurrent use.
type Budget struct {
	options   BudgetOptions
	instances func() int
	// origin is what steps are counted from: the time of day may jump.
	origin time.Time

	mu       sync.Mutex
	services map[string]*spending
}

// spending counts a service's requests and extra sends, by step of time.
type spending struct {
	step     int64
	requests [budgetSteps]int
	extra    [budgetSteps]int
}

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
	for i := s.step + 1; i <= step && i <= s.step+budgetSteps; i++ {
		s.requests[i%budgetSteps] = 0
		s.extra[i%budgetSteps] = 0
	}
	s.step = max(s.step, step)
	return s
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	s.requests[s.step%budgetSteps]++
}

// Extra reports whether so many more sends beyond the first are allowed, and counts
// them.
func (b *Budget) Extra(now time.Time, service string, sends int) bool {
	return b.take(now, service, sends, budgetMargin)
}

// Spare is Extra for sends without which nothing is lost: they leave half of the
// budget to the others.
func (b *Budget) Spare(now time.Time, service string, sends int) bool {
	return b.take(now, service, sends, budgetMargin/2)
}

// take counts sends if with them a share of the budget is not exceeded.
func (b *Budget) take(now time.Time, service string, sends int, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	requests, extra := 0, 0
	for i := range budgetSteps {
		requests += s.requests[i]
		extra += s.extra[i]
	}
	allowed := b.options.Ratio*float64(requests) + b.options.Slack/float64(max(1, b.instances()))
	if float64(extra+sends) > share*allowed {
		return false
	}
	s.extra[s.step%budgetSteps] += sends
	return true
}
