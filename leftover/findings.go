package leftover

import (
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Held takes an engine's list of held attempts and returns the releases to
// order at once.
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

// note judges one held attempt.
func (p *Planner) note(g *engine, text string) {
	a, ours := parse(text)
	if _, known := g.finds[text]; known || !ours {
		return // each reason stays true
	}
	if reason := p.evidence.Judge(a); reason != "" {
		g.finds[text] = &find{attempt: a, reason: reason, since: p.evidence.Now, wait: p.settings.Retry}
		return
	}
	if !p.evidence.cares(a) {
		g.readBy(p.evidence.expiry(a).Add(time.Millisecond))
	}
}

// first orders the releases that have not been ordered and whose turn it is.
func (p *Planner) first(now time.Time, g *engine) []Release {
	turn := time.Duration(g.rank) * p.settings.TakeOver
	return p.order(now, g, func(f *find) bool {
		return f.nextTry.IsZero() && now.Sub(f.since) >= turn
	})
}

// retries orders the releases that were not acknowledged in time.
func (p *Planner) retries(now time.Time, g *engine) []Release {
	return p.order(now, g, func(f *find) bool {
		return !f.nextTry.IsZero() && !now.Before(f.nextTry)
	})
}

// order orders the release of the finds that are due, in a certain order.
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

// Released reports that an engine holds nothing more for the attempt.
func (p *Planner) Released(id ident.UpstreamID, a ident.AttemptID) {
	if g := p.engines[id]; g != nil {
		delete(g.finds, a.String())
	}
}

// ReadFailed reports that an engine's list could not be read. The next read is
// put off, the longer the more reads have failed.
func (p *Planner) ReadFailed(now time.Time, id ident.UpstreamID) {
	g := p.engines[id]
	if g == nil {
		return
	}
	g.interval = min(2*g.interval, p.settings.QuietBackup)
	g.nextRead = now.Add(g.interval)
}
