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
	// leastComeBack and mostComeBack bound the Retry-After time, before jitter,
	// of requests refused for exceeding a rate limit.
	leastComeBack = 100 * time.Millisecond
	mostComeBack  = 20 * time.Second
	// comeBackActive is the Retry-After time, before jitter, of requests refused
	// for exceeding a concurrency limit. It is fixed because the time at which
	// other requests end is not known.
	comeBackActive = time.Second
)

// Check implements kernel.Admission, kernel.PeerHandler and kernel.Waker. It
// takes a token from the workspace's bucket when it admits a request, so it
// should be the last check: a token is not returned if a later check refuses the
// request.
type Check struct {
	host    kernel.Host
	members members
	spaces  map[ident.Workspace]*space
	// names lists the keys of spaces, sorted.
	names []ident.Workspace
	// longest is the longest time for which a request may be in flight.
	longest time.Duration
	// number is the number of the last Demand that was sent.
	number uint64
	// restless is set while there is something to ask of peers.
	restless bool
	// asked is the time of the last call of Wake.
	asked time.Time
}

// Attach implements kernel.Attacher.
func (c *Check) Attach(h kernel.Host) {
	c.host = h
	c.spaces = map[ident.Workspace]*space{}
	c.members.start(h.Now())
}

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) {
	old := c.spaces
	c.spaces = map[ident.Workspace]*space{}
	c.names = c.names[:0]
	for i := range content.Workspaces {
		w := &content.Workspaces[i]
		if w.RatePerSecond <= 0 && w.Concurrency <= 0 {
			continue
		}
		s := old[w.Name]
		if s == nil {
			s = &space{name: w.Name}
		}
		s.limit = Amount{Rate: max(w.RatePerSecond, 0), Slots: max(w.Concurrency, 0)}
		s.burst = float64(max(w.Burst, 1))
		s.baseVersion = 0
		c.spaces[w.Name] = s
		c.names = append(c.names, w.Name)
	}
	slices.Sort(c.names)
	c.longest = longest(content.Kinds)
	c.restless = len(c.names) > 0
}

// longest returns the longest time for which a request may be in flight: the
// largest deadline of the kinds, and at least api.DefaultDeadline.
func longest(kinds []config.Kind) time.Duration {
	most := api.DefaultDeadline
	for i := range kinds {
		most = max(most, kinds[i].Deadline)
	}
	return most
}

// base returns this instance's equal share of the workspace's limits. It is
// recomputed when the set of zones or instances has changed.
func (c *Check) base(s *space) Amount {
	c.members.update(c.host)
	if s.baseVersion != c.members.version {
		s.base = c.members.base(c.host.Self(), s.name, s.limit)
		s.baseVersion = c.members.version
	}
	return s.base
}

// own returns the amount that this instance may use without borrowing: its equal
// share less what it has lent, or only the reserve during warm-up.
func (c *Check) own(s *space, now time.Time) Amount {
	base := c.base(s)
	if c.members.warm {
		return kept(base)
	}
	return base.less(s.lent("", now))
}

// right returns the amount that this instance may use at time now, including
// loans from peers.
func (c *Check) right(s *space, now time.Time) Amount {
	return c.own(s, now).add(s.borrowed(now))
}

// fill refills the workspace's token bucket at the rate that this instance may
// use now. The burst is scaled by this instance's share of the rate limit.
func (c *Check) fill(s *space, now time.Time) {
	if s.limit.Rate <= 0 {
		return
	}
	rate := c.right(s, now).Rate
	s.bucket.Fill(now, rate, max(s.burst*rate/s.limit.Rate, 1), newBucket)
}

// Admit implements kernel.Admission.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	s := c.spaces[r.Workspace]
	if s == nil {
		return nil
	}
	now := c.host.Now()
	s.demand.arrival(s.active, now)
	right := c.right(s, now)
	if !s.needs(now).less(right).isZero() {
		c.restless = true
	}
	if s.limit.Slots > 0 && s.active >= right.Slots {
		s.demand.refuse()
		return c.tooMany(r, s, right)
	}
	c.fill(s, now)
	if s.limit.Rate > 0 && s.bucket.Tokens < 1 {
		return c.tooFast(r, s, right)
	}
	if s.limit.Rate > 0 {
		s.bucket.Tokens--
	}
	s.active++
	return nil
}

// tooMany returns the refusal of a request that exceeds the concurrency limit.
func (c *Check) tooMany(r *kernel.Request, s *space, right Amount) *kernel.Refusal {
	return &kernel.Refusal{
		Reason:  kernel.ReasonWorkspaceActive,
		Problem: api.ProblemLimit,
		Detail: fmt.Sprintf("%d requests of workspace %q are in flight at this instance; its share of the workspace's limit of %d is %d",
			s.active, s.name, s.limit.Slots, right.Slots),
		RetryAfter: jitter.Prolong(comeBackActive, r.ID),
	}
}

// tooFast returns the refusal of a request that exceeds the rate limit. The
// caller is told to retry when the bucket has a token again.
func (c *Check) tooFast(r *kernel.Request, s *space, right Amount) *kernel.Refusal {
	wait := mostComeBack
	if right.Rate > 0 {
		wait = time.Duration((1 - s.bucket.Tokens) / right.Rate * float64(time.Second))
	}
	wait = min(max(wait, leastComeBack), mostComeBack)
	return &kernel.Refusal{
		Reason:  kernel.ReasonWorkspaceRate,
		Problem: api.ProblemLimit,
		Detail: fmt.Sprintf("this instance's share of workspace %q's limit of %.4g requests per second is exhausted; the share is %.4g requests per second",
			s.name, s.limit.Rate, right.Rate),
		RetryAfter: jitter.Prolong(wait, r.ID),
	}
}

// Finished implements kernel.Admission.
func (c *Check) Finished(r *kernel.Request, _ api.Outcome) {
	if s := c.spaces[r.Workspace]; s != nil && s.active > 0 {
		s.active--
	}
}
