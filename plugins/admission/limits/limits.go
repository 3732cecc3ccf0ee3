// Package limits enforces the rate and concurrency limits of workspaces across
// all instances without a coordinator.
//
// Each zone has an equal share of a limit, which it keeps while it is
// partitioned from the others. Within a zone each instance has an equal share of
// the zone's share, and lends unused capacity for a short time to peers that
// need more. docs/design/limits.md states by how much a limit can be exceeded,
// and why that bound holds.
package limits

import (
	"fmt"
	"slices"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/admission/internal/jitter"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time, before jitter,
	// of requests refused for exceeding a rate limit.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// concurrencyRetryAfter is the Retry-After time, before jitter, of requests
	// refused for exceeding a concurrency limit. It is fixed because the time at
	// which other requests end is not known.
	concurrencyRetryAfter = time.Second
)

// Check implements kernel.Admission, kernel.PeerHandler and kernel.Waker. It
// takes a token from the workspace's bucket when it admits a request, so it
// should be the last check: a token is not returned if a later check refuses the
// request.
type Check struct {
	host       kernel.Host
	members    members
	workspaces map[ident.Workspace]*workspaceState
	// names lists the keys of workspaces, sorted.
	names []ident.Workspace
	// maxRequestTime is the longest time for which a request may be in flight.
	maxRequestTime time.Duration
	// number is the number of the last Demand that was sent.
	number uint64
	// wakeNeeded is set while there is something to ask of peers.
	wakeNeeded bool
	// lastWake is the time of the last call of Wake.
	lastWake time.Time
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) {
	c.host = h
	c.workspaces = map[ident.Workspace]*workspaceState{}
	c.members.start(h.Now())
}

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) {
	old := c.workspaces
	c.workspaces = map[ident.Workspace]*workspaceState{}
	c.names = c.names[:0]
	for i := range content.Workspaces {
		w := &content.Workspaces[i]
		if w.RatePerSecond <= 0 && w.Concurrency <= 0 {
			continue
		}
		s := old[w.Name]
		if s == nil {
			s = &workspaceState{name: w.Name}
		}
		s.limit = Amount{Rate: max(w.RatePerSecond, 0), Slots: max(w.Concurrency, 0)}
		s.burst = float64(max(w.Burst, 1))
		s.baseVersion = 0
		c.workspaces[w.Name] = s
		c.names = append(c.names, w.Name)
	}
	slices.Sort(c.names)
	c.maxRequestTime = maxRequestTime(content.Kinds)
	c.wakeNeeded = len(c.names) > 0
}

// maxRequestTime returns the longest time for which a request may be in flight:
// the largest deadline of the kinds, and at least api.DefaultDeadline.
func maxRequestTime(kinds []config.Kind) time.Duration {
	longest := api.DefaultDeadline
	for i := range kinds {
		longest = max(longest, kinds[i].Deadline)
	}
	return longest
}

// base returns this instance's equal share of the workspace's limits. It is
// recomputed when the set of zones or instances has changed.
func (c *Check) base(s *workspaceState) Amount {
	c.members.update(c.host)
	if s.baseVersion != c.members.version {
		s.base = c.members.base(c.host.Self(), s.name, s.limit)
		s.baseVersion = c.members.version
	}
	return s.base
}

// ownAmount returns the amount that this instance may use without borrowing: its
// equal share less what it has lent, or only the reserve during warm-up.
func (c *Check) ownAmount(s *workspaceState, now time.Time) Amount {
	base := c.base(s)
	if c.members.warmingUp {
		return reservedPart(base)
	}
	return base.minus(s.lent("", now))
}

// usableAmount returns the amount that this instance may use at time now,
// including loans from peers.
func (c *Check) usableAmount(s *workspaceState, now time.Time) Amount {
	return c.ownAmount(s, now).add(s.borrowed(now))
}

// refillBucket refills the workspace's token bucket at the rate that this
// instance may use now. The burst is scaled by this instance's share of the rate
// limit.
func (c *Check) refillBucket(s *workspaceState, now time.Time) {
	if s.limit.Rate <= 0 {
		return
	}
	rate := c.usableAmount(s, now).Rate
	s.bucket.Fill(now, rate, max(s.burst*rate/s.limit.Rate, 1), initialTokens)
}

// Admit implements kernel.Admission.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	s := c.workspaces[r.Workspace]
	if s == nil {
		return nil
	}
	now := c.host.Now()
	s.demand.recordArrival(s.active, now)
	usable := c.usableAmount(s, now)
	if !s.needs(now).minus(usable).isZero() {
		c.wakeNeeded = true
	}
	if s.limit.Slots > 0 && s.active >= usable.Slots {
		s.demand.recordRefusal()
		return c.refuseConcurrency(r, s, usable)
	}
	c.refillBucket(s, now)
	if s.limit.Rate > 0 && s.bucket.Tokens < 1 {
		return c.refuseRate(r, s, usable)
	}
	if s.limit.Rate > 0 {
		s.bucket.Tokens--
	}
	s.active++
	return nil
}

// refuseConcurrency returns the refusal of a request that exceeds the concurrency
// limit.
func (c *Check) refuseConcurrency(r *kernel.Request, s *workspaceState, usable Amount) *kernel.Refusal {
	return &kernel.Refusal{
		Reason:  kernel.ReasonWorkspaceActive,
		Problem: api.ProblemLimit,
		Detail: fmt.Sprintf("%d requests of workspace %q are in flight here; this instance's share of its %d is %d",
			s.active, s.name, s.limit.Slots, usable.Slots),
		RetryAfter: jitter.Prolong(concurrencyRetryAfter, r.ID),
	}
}

// refuseRate returns the refusal of a request that exceeds the rate limit. The
// caller is told to retry when the bucket has a token again.
func (c *Check) refuseRate(r *kernel.Request, s *workspaceState, usable Amount) *kernel.Refusal {
	wait := maxRetryAfter
	if usable.Rate > 0 {
		wait = time.Duration((1 - s.bucket.Tokens) / usable.Rate * float64(time.Second))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &kernel.Refusal{
		Reason:  kernel.ReasonWorkspaceRate,
		Problem: api.ProblemLimit,
		Detail: fmt.Sprintf("this instance's share of workspace %q's %.4g requests a second is %.4g",
			s.name, s.limit.Rate, usable.Rate),
		RetryAfter: jitter.Prolong(wait, r.ID),
	}
}

// Finished implements kernel.Admission.
func (c *Check) Finished(r *kernel.Request, _ api.Outcome) {
	if s := c.workspaces[r.Workspace]; s != nil && s.active > 0 {
		s.active--
	}
}
