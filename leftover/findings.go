package leftover

import (
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Held processes an engine's list of held attempts and returns the releases to
// order now.
func (p *Planner) Held(now time.Time, id ident.UpstreamID, attempts []string) []Release {
	g := p.engines[id]
	if g == nil || !p.evidence.usable() {
		return nil
	}
	p.evidence.Now = now
	g.interval = p.idleInterval(g.rank)
	held := make(map[string]struct{}, len(attempts))
	for _, text := range attempts {
		held[text] = struct{}{}
		p.judgeHeld(g, text)
	}
	for text := range g.leftovers {
		if _, stillHeld := held[text]; !stillHeld {
			delete(g.leftovers, text)
		}
	}
	if len(g.leftovers) > 0 || now.Before(p.activeUntil) {
		g.interval = p.settings.ActiveInterval
	}
	g.readNoLaterThan(now.Add(g.interval))
	return p.firstReleases(now, g)
}

// judgeHeld evaluates one held attempt and records it if it is a leftover.
func (p *Planner) judgeHeld(g *engine, text string) {
	a, ok := parse(text)
	if _, known := g.leftovers[text]; known || !ok {
		return // a reason, once true, stays true
	}
	if reason := p.evidence.Judge(a); reason != "" {
		g.leftovers[text] = &leftover{attempt: a, reason: reason, firstSeen: p.evidence.Now, retryDelay: p.settings.RetryInterval}
		return
	}
	if !p.evidence.ownerRunning(a) {
		g.readNoLaterThan(p.evidence.expiry(a).Add(time.Millisecond))
	}
}

// firstReleases returns the first release orders for leftovers that this watcher
// may release by now. A watcher of rank n waits n times TakeOver, so that usually
// only the first watcher orders a release.
func (p *Planner) firstReleases(now time.Time, g *engine) []Release {
	delay := time.Duration(g.rank) * p.settings.TakeOver
	return p.dueReleases(now, g, func(f *leftover) bool {
		return f.nextOrder.IsZero() && now.Sub(f.firstSeen) >= delay
	})
}

// repeatedReleases returns repeated orders for releases that were not
// acknowledged in time.
func (p *Planner) repeatedReleases(now time.Time, g *engine) []Release {
	return p.dueReleases(now, g, func(f *leftover) bool {
		return !f.nextOrder.IsZero() && !now.Before(f.nextOrder)
	})
}

// dueReleases returns release orders for the leftovers that are due, sorted by
// attempt ID to make the result deterministic.
func (p *Planner) dueReleases(now time.Time, g *engine, due func(*leftover) bool) []Release {
	var out []Release
	for _, f := range g.leftovers {
		if !due(f) {
			continue
		}
		f.nextOrder = now.Add(f.retryDelay)
		f.retryDelay = min(2*f.retryDelay, p.settings.RetryMax)
		out = append(out, Release{Upstream: g.id, Attempt: f.attempt, Reason: f.reason, Held: now.Sub(f.firstSeen)})
	}
	slices.SortFunc(out, func(a, b Release) int {
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
	return out
}

// Released reports that the engine no longer holds anything for the attempt.
func (p *Planner) Released(id ident.UpstreamID, a ident.AttemptID) {
	if g := p.engines[id]; g != nil {
		delete(g.leftovers, a.String())
	}
}

// ReadFailed reports that an engine's list could not be read. The time to the
// next read doubles with each failure, up to BackupIdleInterval.
func (p *Planner) ReadFailed(now time.Time, id ident.UpstreamID) {
	g := p.engines[id]
	if g == nil {
		return
	}
	g.interval = min(2*g.interval, p.settings.BackupIdleInterval)
	g.nextRead = now.Add(g.interval)
}
