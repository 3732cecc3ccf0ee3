package carry

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
)

const (
	// decideWithin is how long to wait for evidence that an upstream that does not answer had
	// crashed. A crashed upstream is back after some seconds, as a newer incarnation.
	decideWithin = 15 * time.Second
	// mostUndecided limits the number of attempts that are kept. A network cut of a zone
	// interrupts several hundred.
	mostUndecided = 512
)

// undecided holds attempts that were interrupted at upstreams that then did not answer, and that
// may either have crashed or be unreachable.
type undecided struct {
	mu    sync.Mutex
	items []undecidedAttempt
}

// undecidedAttempt is an attempt for which it is not known whether its upstream crashed.
type undecidedAttempt struct {
	at       time.Time
	content  quarantine.Content
	upstream dialect.Upstream
	made     int
}

// add stores an attempt and drops the oldest one if there are too many.
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

// decide removes and returns the attempts whose upstreams have been replaced according to the
// current list. Attempts for which no evidence arrived within decideWithin are dropped.
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

// replacedIn reports whether a list contains a newer incarnation of an upstream, or another
// upstream at its address.
func replacedIn(list []dialect.Upstream, u dialect.Upstream) bool {
	for _, o := range list {
		if o.ID == u.ID && u.Restarted(o.Incarnation) || o.ID != u.ID && o.Address == u.Address {
			return true
		}
	}
	return false
}
