package carry

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
)

const (
	// undecidedTTL is how long to wait for proof that an upstream that does not answer had
	// crashed. A crashed upstream is back after some seconds, as a newer incarnation.
	undecidedTTL = 15 * time.Second
	// maxUndecided limits the number of attempts that are kept. A network partition of a zone
	// interrupts several hundred.
	maxUndecided = 512
)

// undecidedAttempts holds attempts that were interrupted at upstreams that then did not answer,
// and that may either have crashed or be unreachable.
type undecidedAttempts struct {
	mu    sync.Mutex
	items []quarantine.Attempt
}

// add stores an attempt and drops the oldest one if there are too many.
func (ua *undecidedAttempts) add(a quarantine.Attempt) {
	ua.mu.Lock()
	defer ua.mu.Unlock()
	if len(ua.items) >= maxUndecided {
		ua.items = ua.items[1:]
	}
	ua.items = append(ua.items, a)
}

// nonEmpty reports whether any attempts are undecided.
func (ua *undecidedAttempts) nonEmpty() bool {
	ua.mu.Lock()
	defer ua.mu.Unlock()
	return len(ua.items) > 0
}

// takeCrashed removes and returns the attempts whose upstreams have been replaced according to
// the current list. Attempts for which no proof arrived within undecidedTTL are dropped.
func (ua *undecidedAttempts) takeCrashed(now time.Time, list []dialect.Upstream) []quarantine.Attempt {
	ua.mu.Lock()
	defer ua.mu.Unlock()
	var replaced, remaining []quarantine.Attempt
	for _, a := range ua.items {
		switch {
		case now.Sub(a.BrokenAt) >= undecidedTTL:
		case replacedIn(list, a.Upstream):
			replaced = append(replaced, a)
		default:
			remaining = append(remaining, a)
		}
	}
	ua.items = remaining
	return replaced
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
