package agent

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/peer"
)

// Limits of the feed to the entry.
const (
	// feedFrame is the largest frame sent to the entry; it fits the content of
	// the largest bundle as JSON.
	feedFrame = 32 << 20
	// feedBackoff limits the delay between attempts to connect to the entry.
	feedBackoff = 500 * time.Millisecond
	// feedTimeout limits an update and feedBundleTimeout an update with a bundle.
	// A bundle may have megabytes, which an entry on a busy machine takes seconds
	// to read; an earlier retry would only add to its load.
	feedTimeout       = 2 * time.Second
	feedBundleTimeout = 30 * time.Second
	// minUpdateGap is the minimum time between two updates.
	minUpdateGap = 50 * time.Millisecond
	// minViewGap is the minimum time between two views if the second differs only
	// in load reports. minViewGapPerEntry is added for each instance and
	// upstream, since a view contains them all.
	minViewGap         = 200 * time.Millisecond
	minViewGapPerEntry = 3 * time.Millisecond
	// bundleRetry is the time after which a bundle that the entry has not
	// confirmed is sent again.
	bundleRetry = 3 * time.Second
)

// feedState is the loop's state of the feed to the entry.
type feedState struct {
	busy   bool
	sentAt time.Time
	// urgent is set when a change should be sent without waiting for the
	// interval.
	urgent bool
	// version is the version of the last view sent, and viewAt the time it was
	// sent. fingerprint is that of the view without ages and loads.
	version     uint64
	viewAt      time.Time
	fingerprint uint64
	// sent is the last view sent, in full, and agesAt the time to which its ages
	// refer. sent is nil before the first view.
	sent   *feed.View
	agesAt time.Time
	// number is the sequence number of the last view sent.
	number uint64
	// resend is set if the entry must be sent its full state.
	resend bool
	// bundle is the bundle in force, nil if there is none.
	bundle     *feed.Bundle
	bundleSent bool
	// sentBundle is the last bundle sent, and base the bundle held by the entry,
	// against which changes are computed. Both are nil if there is none.
	sentBundle, base *feed.Bundle
	bundleAt         time.Time
	// pause is the longest process pause that has not been reported to the entry.
	pause time.Duration
	// reply is the entry's last reply. responding is false after a failed call
	// until the next reply.
	reply      feed.Reply
	responding bool
	// ended is set if the entry's process that last replied has ended.
	ended bool
	// incarnations maps upstreams to the incarnations reported to the entry.
	incarnations map[ident.UpstreamID]*reportedIncarnation
}

// feedEntry sends the entry an update if one is due.
func (a *Agent) feedEntry() {
	f := &a.feed
	if f.busy || !a.updateDue() {
		return
	}
	u := a.composeUpdate()
	f.busy, f.sentAt = true, a.now
	started := a.now
	a.counters.FeedUpdates++
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, updateTimeout(u))
		defer cancel()
		reply, err := peer.Call[feed.Reply](ctx, a.feedPool, a.settings.Entry.Feed, feed.MethodUpdate, u)
		a.post(func() {
			f.busy = false
			if err != nil {
				a.feedFailed(u, err)
				return
			}
			a.feedAnswered(started, u, reply)
		})
	})
}

func updateTimeout(u feed.Update) time.Duration {
	if u.Bundle != nil {
		return feedBundleTimeout
	}
	return feedTimeout
}

// updateDue reports whether an update has to be sent to the entry now.
func (a *Agent) updateDue() bool {
	f := &a.feed
	since := a.now.Sub(f.sentAt)
	switch {
	case since < minUpdateGap || a.view == nil:
		return false
	case since >= a.settings.Entry.Interval:
		return true
	default:
		// Without replies, the regular interval is sufficient.
		return f.responding && (f.urgent || f.resend || a.viewDue())
	}
}

// viewDue reports whether a view has to be sent to the entry: immediately if
// anything but loads and ages changed, otherwise after the minimum gap. An
// unchanged view is repeated too, since an entry that was paused waits for one.
func (a *Agent) viewDue() bool {
	f := &a.feed
	entries := len(a.view.Instances) + len(a.view.Upstreams)
	gap := minViewGap + minViewGapPerEntry*time.Duration(entries)
	if a.view.Version == f.version {
		gap = max(gap, a.settings.Entry.Interval)
	}
	return f.urgent || f.resend || a.now.Sub(f.viewAt) >= gap
}

// composeUpdate returns the next update for the entry.
func (a *Agent) composeUpdate() feed.Update {
	f := &a.feed
	u := feed.Update{
		Agent: a.self.Instance, Incarnation: a.self.Incarnation,
		Ready: a.mayServe(), PauseMS: f.pause.Milliseconds(),
	}
	if a.viewDue() {
		u.View = a.nextView()
		f.version, f.viewAt = a.view.Version, a.now
	}
	f.urgent, f.resend, f.pause = false, false, 0
	if f.bundle != nil && (!f.bundleSent || a.bundleLost()) {
		u.Bundle = f.nextBundle()
		f.bundleSent, f.bundleAt = true, a.now
	}
	return u
}

// nextBundle returns the bundle in force in the form for the entry: as changes if
// the entry holds the content of a bundle sent before, otherwise in full.
func (f *feedState) nextBundle() *feed.Bundle {
	f.sentBundle = f.bundle
	if f.base == nil || f.base == f.bundle || f.reply.Base != f.base.Digest {
		return f.bundle
	}
	return &feed.Bundle{
		Version: f.bundle.Version, Digest: f.bundle.Digest,
		Changes: feed.NewChanges(f.base.Digest, f.base.Content, f.bundle.Content),
	}
}

// bundleLost reports whether the entry has not confirmed the bundle within the
// retry interval.
func (a *Agent) bundleLost() bool {
	f := &a.feed
	return f.reply.BundleVersion < f.bundle.Version && a.now.Sub(f.bundleAt) >= bundleRetry
}

// feedAnswered handles the entry's reply to an update.
func (a *Agent) feedAnswered(started time.Time, u feed.Update, r feed.Reply) {
	f := &a.feed
	changed := r.Incarnation != f.reply.Incarnation || r.Stopping != f.reply.Stopping || !f.responding
	if r.Incarnation != f.reply.Incarnation {
		a.log.Info("entry answers", "incarnation", uint64(r.Incarnation), "before", uint64(f.reply.Incarnation))
		f.bundleSent = u.Bundle != nil
		f.resend = true
		clear(f.incarnations)
	}
	if u.Bundle != nil {
		f.bundleAt = a.now
	}
	bundleDecided := r.Rejected != nil || r.BundleVersion != f.reply.BundleVersion
	f.reply, f.responding, f.ended = r, true, false
	if f.sentBundle != nil && r.Base == f.sentBundle.Digest {
		f.base = f.sentBundle
	}
	if bundleDecided {
		a.reportEntryDecision(r)
	}
	a.machine.SetSelf(a.now, membership.SelfState{Incarnation: r.Incarnation, Leaving: r.Stopping})
	for _, e := range r.Evidence {
		a.applyEvidence(started, e)
	}
	a.viewDirty = true
	if changed || f.urgent {
		a.refreshView()
	}
}

// reportEntryDecision passes the ledger the entry's acceptance or rejection of
// the bundle in force. An entry that lacks a plug-in continues with the previous
// version, so operators need an alarm.
func (a *Agent) reportEntryDecision(r feed.Reply) {
	e := ledger.EntryVersion{Version: r.BundleVersion}
	if r.Rejected != nil {
		e.Rejected, e.Err = r.Rejected.Version, &RejectedError{Reason: r.Rejected.Reason}
	}
	a.stepLedger(e)
}

// feedFailed handles a failed update: its contents have to be sent again.
func (a *Agent) feedFailed(u feed.Update, err error) {
	f := &a.feed
	a.counters.FeedFailures++
	if f.responding {
		a.log.Warn("entry does not answer", "error", err)
	}
	f.responding, f.resend = false, true
	f.pause = max(f.pause, time.Duration(u.PauseMS)*time.Millisecond)
	if u.Bundle != nil {
		f.bundleSent = false
	}
	if f.reply.Incarnation == 0 {
		return
	}
	var dial *peer.DialError
	s := membership.SelfState{Incarnation: f.reply.Incarnation, Leaving: f.reply.Stopping}
	if errors.As(err, &dial) && dial.Kind == peer.DialRefused {
		// The entry closes this listener last, so a refused connection means that
		// its process has ended.
		s.Ended, f.ended = true, true
	} else {
		s.Unresponsive = true
	}
	a.machine.SetSelf(a.now, s)
}

// applyEvidence applies an observation from the entry's traffic. started is when
// the update was sent whose reply carried it.
func (a *Agent) applyEvidence(started time.Time, e feed.Evidence) {
	at := started.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	if e.Peer != "" {
		a.applyPeerEvidence(at, e)
		return
	}
	switch e.Kind {
	case feed.EvidenceSucceeded, feed.EvidenceLoad:
		a.machine.UpstreamAnswered(a.now, at, e.Upstream)
	case feed.EvidenceRefused:
		a.machine.UpstreamFailed(a.now, at, e.Upstream, membership.FailRefused)
	case feed.EvidenceTimeout:
		a.machine.UpstreamFailed(a.now, at, e.Upstream, membership.FailTimeout)
	case feed.EvidenceBroken:
		a.pollNow(at, e.Upstream)
	case feed.EvidenceDraining:
		if a.sameIncarnation(at, e.Upstream) {
			a.machine.UpstreamLeaving(a.now, e.Upstream, 0)
			a.feed.urgent = true
		}
	}
}

// applyPeerEvidence applies an observation about another instance's entry.
func (a *Agent) applyPeerEvidence(at time.Time, e feed.Evidence) {
	switch e.Kind {
	case feed.EvidenceSucceeded:
		a.machine.PeerAnswered(a.now, at, e.Peer)
	case feed.EvidenceRefused:
		a.machine.PeerFailed(a.now, at, e.Peer, membership.ProcessEntry, membership.FailRefused)
	case feed.EvidenceTimeout:
		a.machine.PeerFailed(a.now, at, e.Peer, membership.ProcessEntry, membership.FailTimeout)
	}
}

// RejectedError reports that an entry rejected a bundle, with the entry's reason.
type RejectedError struct{ Reason string }

// Error implements error.
func (e *RejectedError) Error() string { return e.Reason }
