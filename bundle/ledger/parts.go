package ledger

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/bundle"
)

const (
	// MaxFetchParts bounds the parts requested by one FetchParts.
	MaxFetchParts = 64
	// maxBackoffDoublings is how many times the interval between fetches may double.
	maxBackoffDoublings = 3
	// maxHolders bounds the sources that are recorded as having the parts.
	maxHolders = 8
)

// partState holds the available parts and tracks those that the required bundles
// still lack.
type partState struct {
	have *bundle.PartSet
	// holders are sources that may have the parts, the most likely last;
	// completePeers are the peers among them that announced that they have all
	// parts.
	holders       []Source
	completePeers []Source
	// stale is set if missing and incomplete must be computed again.
	stale bool
	// missing lists the parts to fetch, and incomplete the bundles that need
	// them.
	missing    []bundle.Digest
	incomplete []bundle.Ref
	// since is when the wait for missing parts began or last made progress;
	// PartsTimeout counts from it.
	since time.Time
	// fetchedAt is the time of the last fetch, and fetches the number of fetches
	// since the last progress.
	fetchedAt time.Time
	fetches   int
}

// isIncomplete reports whether any part of a bundle is missing.
func (p *partState) isIncomplete(ref bundle.Ref) bool { return slices.Contains(p.incomplete, ref) }

// addCompletePeer records a peer that announced that it has all parts of the newest
// roll's target. It reports whether the peer was added.
func (p *partState) addCompletePeer(s Source) bool {
	if slices.Contains(p.completePeers, s) || len(p.completePeers) == maxHolders {
		return false
	}
	p.completePeers = append(slices.Clip(p.completePeers), s)
	p.holders = slices.DeleteFunc(slices.Clone(p.holders), func(h Source) bool { return h == s })
	p.addHolder(s)
	return true
}

// addHolder records a source that may have the parts. Upstreams and the preload
// cannot be asked for parts.
func (p *partState) addHolder(s Source) {
	if s.Kind == SourceUpstream || s.Kind == SourcePreload || slices.Contains(p.holders, s) {
		return
	}
	if len(p.holders) == maxHolders {
		p.holders = p.holders[1:]
	}
	p.holders = append(slices.Clip(p.holders), s)
}

// reset resets the fetch state for a new roll, which came from the given
// source.
func (p *partState) reset(now time.Time, from Source) {
	p.holders, p.completePeers = nil, nil
	p.addHolder(from)
	p.stale = true
	p.since = now
	p.fetchedAt = time.Time{}
	p.fetches = 0
}

// requiredHeads lists the bundles whose parts the instance fetches: first the one
// assigned to it, then those that it may need next or that peers may request.
func (l *Ledger) requiredHeads() []*bundle.Head {
	var heads []*bundle.Head
	if l.roll != nil {
		if head, ok := l.roll.Head(l.assigned()); ok {
			heads = append(heads, head)
		}
		heads = append(heads, &l.roll.Target)
	}
	if l.next != nil {
		heads = append(heads, l.next)
	}
	if l.roll != nil && l.roll.Base != nil && l.floor.status == StatusStarting {
		// The base may have to replace an incomplete target.
		heads = append(heads, l.roll.Base)
	}
	return heads
}

// targetComplete reports whether the instance has every part of the newest roll's
// target.
func (l *Ledger) targetComplete() bool {
	return l.roll != nil && !l.parts.stale && !l.parts.isIncomplete(l.roll.Roll.Target)
}

// updateMissing updates the list of missing parts, and announces to peers when all
// parts of the newest roll's target have become present.
func (l *Ledger) updateMissing() {
	if !l.parts.stale {
		return
	}
	before := l.targetComplete()
	l.parts.stale = false
	l.parts.missing, l.parts.incomplete = nil, nil
	for _, head := range l.requiredHeads() {
		l.addMissing(head)
	}
	if len(l.parts.missing) == 0 {
		l.clearAlarms(func(a Alarm) bool { return a.Type == AlarmIncompletelyPublished })
	}
	if !before && l.targetComplete() {
		l.emit(Announce{Summary: l.Summary()})
	}
}

// addMissing adds the missing parts of one bundle to the list.
func (l *Ledger) addMissing(head *bundle.Head) {
	missing, err := l.checker.missing(&head.Manifest, l.parts.have)
	if err != nil {
		l.invalidRef = head.Ref()
		l.alarm(Alarm{Type: AlarmInvalidContent, Ref: l.invalidRef, Err: err})
		return
	}
	if len(missing) > 0 {
		l.parts.incomplete = append(l.parts.incomplete, head.Ref())
	}
	for _, d := range missing {
		if !slices.Contains(l.parts.missing, d) {
			l.parts.missing = append(l.parts.missing, d)
		}
	}
}

// fetchSources lists the sources to fetch parts from, the preferred one last. The
// platform comes first unless it is a holder itself, so that it is tried last:
// all instances together share its limited rate of reads.
func (l *Ledger) fetchSources() []Source {
	platform := Source{Kind: SourcePlatform}
	if l.floor.find(platform) == nil || slices.Contains(l.parts.holders, platform) {
		return l.parts.holders
	}
	return append([]Source{platform}, l.parts.holders...)
}

// fetch requests missing parts: immediately after progress, and otherwise at
// exponentially growing intervals, from the holders in turn.
func (l *Ledger) fetch() {
	p := &l.parts
	holders := l.fetchSources()
	if len(p.missing) == 0 || len(holders) == 0 {
		return
	}
	interval := l.settings.RetryInterval << min(p.fetches, maxBackoffDoublings)
	if !p.fetchedAt.IsZero() && l.now.Sub(p.fetchedAt) < interval {
		return
	}
	n := min(len(p.missing), MaxFetchParts)
	// Start with the most likely holder.
	from := holders[len(holders)-1-p.fetches%len(holders)]
	l.emit(FetchParts{From: from, Digests: slices.Clone(p.missing[:n])})
	p.fetchedAt = l.now
	p.fetches++
}

// apply implements Event. Parts that are not missing are discarded, so that a
// peer cannot exhaust the instance's memory.
func (e PartsReceived) apply(l *Ledger) {
	progress := false
	for added := true; added; {
		added = false
		l.updateMissing()
		for _, part := range e.Parts {
			if !slices.Contains(l.parts.missing, part.Digest) {
				continue
			}
			if err := l.parts.have.Add(part); err != nil {
				l.refuse(e.From, err)
				l.alarm(Alarm{Type: AlarmUndecodable, From: e.From, Document: DocumentPart, Err: err})
				return
			}
			added, progress = true, true
			l.parts.stale = true
		}
	}
	if progress {
		l.clearUndecodable(e.From, DocumentPart)
		l.parts.fetchedAt, l.parts.fetches = time.Time{}, 0
		l.parts.since = l.now
	}
}

// prune removes the parts that are needed neither by the bundle in force nor by a
// required bundle nor by the roll's base.
func (l *Ledger) prune() {
	heads := append(l.requiredHeads(), l.inForce)
	if l.roll.Base != nil {
		heads = append(heads, l.roll.Base)
	}
	keep := map[bundle.Digest]bool{}
	for _, head := range heads {
		// updateMissing has already reported malformed parts; keep the digests found
		// before the error.
		referenced, _ := l.checker.partCache.ReferencedParts(&head.Manifest, l.parts.have)
		for _, d := range referenced {
			keep[d] = true
		}
	}
	needed := func(d bundle.Digest) bool { return keep[d] }
	l.parts.have.Retain(needed)
	l.checker.partCache.Retain(needed)
}
