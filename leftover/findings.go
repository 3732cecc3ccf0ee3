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
	g.interval = p.quiet(g.rank)
	held := make(map[string]struct{}, len(attempts))
	for _, text := range attempts {
		held[text] = struct{}{}
		p.note(g, text)
	}
	for text := range g.finds {
		if _, still := held[text]; !still {
			delete(g.finds, text)
		}
	}
	if len(g.finds) > 0 || now.Before(p.alertUntil) {
		g.interval = p.settings.Alert
	}
	g.readBy(now.Add(g.interval))
	return p.first(now, g)
}

// note evaluates one held attempt and records it if it is a leftover.
func (p *Planner) note(g *engine, text string) {
	a, ours := parse(text)
	if _, known := g.finds[text]; known || !ours {
		return // a reason, once true, stays true
	}
	if reason := p.evidence.Judge(a); reason != "" {
		g.finds[text] = &find{attempt: a, reason: reason, since: p.evidence.Now, wait: p.settings.Retry}
		return
	}
	if !p.evidence.cares(a) {
		g.readBy(p.evidence.expiry(a).Add(time.Millisecond))
	}
}

// first returns the first release orders of leftovers that this watcher may
// release by now. A watcher of rank n waits n times TakeOver, so that usually
// only the first one orders a release.
func (p *Planner) first(now time.Time, g *engine) []Release {
	turn := time.Duration(g.rank) * p.settings.TakeOver
	return p.order(now, g, func(f *find) bool {
		return f.nextTry.IsZero() && now.Sub(f.since) >= turn
	})
}

// retries returns repeated orders for releases that were not acknowledged in
// time.
func (p *Planner) retries(now time.Time, g *engine) []Release {
	return p.order(now, g, func(f *find) bool {
		return !f.nextTry.IsZero() && !now.Before(f.nextTry)
	})
}

// order returns release orders for the finds that are due, sorted by attempt ID
// to make the result deterministic.
func (p *Planner) order(now time.Time, g *engine, due func(*find) bool) []Release {
	var out []Release
	for _, f := range g.finds {
		if !due(f) {
			continue
		}
		f.nextTry = now.Add(f.wait)
		f.wait = min(2*f.wait, p.settings.RetryMax)
		out = append(out, Release{Upstream: g.id, Attempt: f.attempt, Reason: f.reason, Held: now.Sub(f.since)})
	}
	slices.SortFunc(out, func(a, b Release) int {
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
	return out
}

// Released reports that the engine no longer holds anything for the attempt.
func (p *Planner) Released(id ident.UpstreamID, a ident.AttemptID) {
	if g := p.engines[id]; g != nil {
		delete(g.finds, a.String())
	}
}

// ReadFailed reports that an engine's list could not be read. The time to the
// next read doubles with each failure, up to QuietBackup.
func (p *Planner) ReadFailed(now time.Time, id ident.UpstreamID) {
	g := p.engines[id]
	if g == nil {
		return
	}
	g.interval = min(2*g.interval, p.settings.QuietBackup)
	g.nextRead = now.Add(g.interval)
}
