// Package evidence collects what requests and peer calls show about the state
// of upstreams and peers, for the agent beside the entry instance.
package evidence

import (
	"context"
	"errors"
	"io"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// key identifies an item of evidence. Only the newest item of each key is kept.
type key struct {
	kind     feed.EvidenceKind
	upstream ident.UpstreamID
	peer     ident.InstanceID
}

// item is the time and, for load evidence, the load of an item of evidence.
type item struct {
	at   time.Time
	load *kernel.Load
}

// Log keeps the newest evidence of each kind until Take returns it. It is safe
// for concurrent use.
type Log struct {
	mu    sync.Mutex
	items map[key]item
}

// New returns an empty log.
func New() *Log { return &Log{items: map[key]item{}} }

func (l *Log) add(k key, i item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items[k] = i
}

// RecordAttempt records the result of an attempt at an upstream. err is nil if it
// succeeded.
func (l *Log) RecordAttempt(upstream ident.UpstreamID, err *adapter.CallError, now time.Time) {
	kind, ok := classify(err)
	if ok {
		l.add(key{kind: kind, upstream: upstream}, item{at: now})
	}
}

// classify returns the kind of evidence that the result of an attempt gives,
// and false if it gives none. A response of any status shows that the upstream
// is alive.
func classify(err *adapter.CallError) (feed.EvidenceKind, bool) {
	switch {
	case err == nil:
		return feed.EvidenceSucceeded, true
	case err.Code == kernel.FailureDraining:
		return feed.EvidenceDraining, true
	case errors.Is(err, syscall.ECONNREFUSED):
		return feed.EvidenceRefused, true
	case err.Status != 0:
		return feed.EvidenceSucceeded, true
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return feed.EvidenceTimeout, true
	case err.Code == kernel.FailureStalled, isBroken(err):
		return feed.EvidenceBroken, true
	default:
		return "", false
	}
}

// isTimeout reports whether a network operation timed out.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isBroken reports whether the remote side closed or reset the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RecordObservation records what an upstream reported about its own state.
func (l *Log) RecordObservation(upstream ident.UpstreamID, o adapter.Observation, now time.Time) {
	load := o.Load
	l.add(key{kind: feed.EvidenceLoad, upstream: upstream}, item{at: now, load: &load})
	if o.Draining {
		l.add(key{kind: feed.EvidenceDraining, upstream: upstream}, item{at: now})
	}
}

// RecordPeerFailure records that a peer could not be reached. refused means that it refused
// the connection, otherwise it did not respond.
func (l *Log) RecordPeerFailure(peer ident.InstanceID, refused bool, now time.Time) {
	kind := feed.EvidenceTimeout
	if refused {
		kind = feed.EvidenceRefused
	}
	l.add(key{kind: kind, peer: peer}, item{at: now})
}

// Take returns the evidence recorded since the last call, sorted by upstream,
// peer and kind.
func (l *Log) Take(now time.Time) []feed.Evidence {
	l.mu.Lock()
	items := l.items
	l.items = map[key]item{}
	l.mu.Unlock()
	out := make([]feed.Evidence, 0, len(items))
	for k, i := range items {
		out = append(out, feed.Evidence{
			Kind:     k.kind,
			Upstream: k.upstream,
			Peer:     k.peer,
			AgeMS:    feed.Age(now.Sub(i.at)),
			Load:     i.load,
		})
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

func less(a, b feed.Evidence) bool {
	if a.Upstream != b.Upstream {
		return a.Upstream < b.Upstream
	}
	if a.Peer != b.Peer {
		return a.Peer < b.Peer
	}
	return a.Kind < b.Kind
}
