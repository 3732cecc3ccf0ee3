package carry

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
)

const (
	// decideWithin is how long it is waited for what shows whether a silent upstream had
	// crashed: one that did is back after some seconds, as another incarnation.
	decideWithin = 15 * time.Second
	// mostUndecided bounds the attempts that are remembered; a cut zone breaks some
	// hundred off.
	mostUndecided = 512
)

// undecided holds the attempts that broke off at upstreams that fell silent, which may have
// crashed or be cut off.
type undecided struct {
	mu    sync.Mutex
	items []undecidedAttempt
}

// undecidedAttempt is one of them.
type undecidedAttempt struct {
	at       time.Time
	content  quarantine.Content
	upstream dialect.Upstream
	made     int
}

// add remembers an attempt; the oldest is dropped if there are too many.
func (l *undecided) add(now time.Time, c quarantine.Content, u dialect.Upstream, made int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) >= mostUndecided {
		l.items = l.items[1:]
	}
	l.items = append(l.items, undecidedAttempt{at: now, content: c, upstream: u, made: made})
}

// nonEmpty reports whether any attempts are undecided.
func (l *undecided) nonEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items) > 0
}

// decide takes out the attempts whose upstreams are seen to have ended, by a list of those
// that are known now, and forgets those for which nothing showed in time.
func (l *undecided) decide(now time.Time, list []dialect.Upstream) []undecidedAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ended, open []undecidedAttempt
	for _, a := range l.items {
		switch {
		case now.Sub(a.at) >= decideWithin:
		case replacedIn(list, a.upstream):
			ended = append(ended, a)
		default:
			open = append(open, a)
		}
	}
	l.items = open
	return ended
}

// replacedIn reports whether a list names another incarnation of an upstream, or another
// upstream at its address.
func replacedIn(list []dialect.Upstream, u dialect.Upstream) bool {
	for _, o := range list {
		if o.ID == u.ID && u.Restarted(o.Incarnation) || o.ID != u.ID && o.Address == u.Address {
			return true
		}
	}
	return false
}
