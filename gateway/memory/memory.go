// Package memory limits the memory that an instance uses to buffer requests and responses, and
// divides it among callers. Without a limit, slow readers can exhaust the instance's memory.
package memory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// exemptBytes is the number of bytes per request that are not charged to the budget, so
	// that small requests never wait. The file descriptor limit bounds their total.
	exemptBytes = 32 << 10
	// maxCallerShare is the fraction of the budget that one caller may hold.
	maxCallerShare = 0.5
	// maxHoldingWait is how long an account that holds bytes waits for more while what it waits for is mostly
	// held by accounts that wait as well. yieldInterval is the time between two decisions after that.
	maxHoldingWait = 100 * time.Millisecond
	yieldInterval  = 50 * time.Millisecond
	// yieldingShare is the fraction of the largest waiting account's bytes from which an account gives way with it.
	yieldingShare = 0.75
)

// YieldedError reports a reservation that was given up for others: bodies that are only partly read held the budget, and
// none of them could be read to its end.
type YieldedError struct {
	// Held is the number of bytes that the account held, Bytes the size of the reservation.
	Held, Bytes int64
}

// Error implements error.
func (e *YieldedError) Error() string {
	return fmt.Sprintf("memory budget is held by unfinished bodies: %d bytes held, %d more requested", e.Held, e.Bytes)
}

// BudgetExceededError reports a reservation that the budget cannot satisfy.
type BudgetExceededError struct {
	// Bytes is the size of the reservation, Limit the number of bytes that one request may hold.
	Bytes, Limit int64
}

// Error implements error.
func (e *BudgetExceededError) Error() string {
	return fmt.Sprintf("memory budget exceeded: %d bytes requested, limit per request is %d", e.Bytes, e.Limit)
}

// Budget is a memory limit shared by all callers. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	used  int64
	// callers maps each caller to the bytes it holds.
	callers map[string]int64
	waiting []*waiter
}

// waiter is a pending reservation.
type waiter struct {
	caller string
	bytes  int64
	// held is the number of bytes that the account holds meanwhile.
	held int64
	// granted is closed once the bytes are charged to the caller.
	granted chan struct{}
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, callers: map[string]int64{}}
}

// Used returns the number of bytes charged to the budget.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns an account for one request of the given caller.
func (b *Budget) Open(caller string) *Account {
	return &Account{budget: b, caller: caller, exempt: exemptBytes}
}

// exceedsShare reports whether the bytes would put a caller over its share. A caller that holds
// nothing is not limited by its share. b.mu must be held.
func (b *Budget) exceedsShare(caller string, bytes int64) bool {
	held := b.callers[caller]
	return held > 0 && float64(held+bytes) > maxCallerShare*float64(b.total)
}

// contended reports whether a reservation is waiting for free bytes rather than for its
// caller's share. b.mu must be held.
func (b *Budget) contended() bool {
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return !b.exceedsShare(w.caller, w.bytes) })
}

// charge adds bytes, which may be negative, to the usage of a caller. b.mu must be held.
func (b *Budget) charge(caller string, bytes int64) {
	b.used += bytes
	b.callers[caller] += bytes
	if b.callers[caller] == 0 {
		delete(b.callers, caller)
	}
}

// grant satisfies pending reservations in order of arrival. Reservations over their caller's
// share are skipped and do not block later ones. b.mu must be held.
func (b *Budget) grant() {
	var remaining []*waiter
	blocked := false
	for _, w := range b.waiting {
		switch {
		case b.exceedsShare(w.caller, w.bytes):
			remaining = append(remaining, w)
		case blocked || b.used+w.bytes > b.total:
			blocked = true
			remaining = append(remaining, w)
		default:
			b.charge(w.caller, w.bytes)
			close(w.granted)
		}
	}
	b.waiting = remaining
}

// mustYield reports whether a waiting account is to give up its bytes. If accounts that wait hold most of what it waits
// for, of its caller's share or of the whole budget, hardly any of that will be released by itself. Then those that hold
// most give way, as a body without end sooner or later does. b.mu must be held.
func (b *Budget) mustYield(w *waiter) bool {
	overShare := b.exceedsShare(w.caller, w.bytes)
	held, heldWaiting, most := b.used, int64(0), int64(0)
	if overShare {
		held = b.callers[w.caller]
	}
	for _, o := range b.waiting {
		if !overShare || o.caller == w.caller {
			heldWaiting += o.held
			most = max(most, o.held)
		}
	}
	return w.held > 0 && 2*heldWaiting > held && float64(w.held) >= yieldingShare*float64(most)
}

// stopWaiting removes a waiting reservation. It returns false if the reservation was granted. b.mu must be held.
func (b *Budget) stopWaiting(w *waiter) bool {
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.grant()
	return true
}

// Account tracks the memory held by one request. A nil account imposes no limit. Only Fork is safe for use
// beside other methods.
type Account struct {
	budget *Budget
	caller string
	// exempt is the number of bytes that are not charged. size is the number of bytes held, charged the
	// number of those charged to the budget.
	exempt, charged int64
	size            atomic.Int64
}

// Fork returns an account for a part of the request that is carried out concurrently. It must be merged
// into this one or closed.
func (a *Account) Fork() *Account {
	if a == nil {
		return nil
	}
	return &Account{budget: a.budget, caller: a.caller, exempt: max(0, a.exempt-a.size.Load())}
}

// Merge moves the bytes held by a fork to this account.
func (a *Account) Merge(fork *Account) {
	if a == nil {
		return
	}
	a.add(fork.size.Swap(0), fork.charged)
	fork.charged = 0
}

// chargeFor returns how much of a reservation has to be charged to the budget.
func (a *Account) chargeFor(bytes int64) int64 {
	return max(0, a.size.Load()+bytes-a.exempt) - a.charged
}

// TryGrow reserves more bytes without waiting. If they are not available, the error is a
// *BudgetExceededError.
func (a *Account) TryGrow(bytes int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	more := a.chargeFor(bytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if more > 0 && (b.contended() || b.used+more > b.total || b.exceedsShare(a.caller, more)) {
		return &BudgetExceededError{Bytes: bytes, Limit: b.total}
	}
	a.add(bytes, more)
	b.charge(a.caller, more)
	return nil
}

// add records a reservation.
func (a *Account) add(bytes, charged int64) {
	a.size.Add(bytes)
	a.charged += charged
}

// Grow reserves more bytes, waiting for them until ctx ends. The error is a
// *BudgetExceededError if one request may not hold that many, a *YieldedError if it gave way to others,
// otherwise ctx.Err(). The account holds its bytes until it is closed.
func (a *Account) Grow(ctx context.Context, bytes int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	more := a.chargeFor(bytes)
	if more == 0 {
		a.add(bytes, 0)
		return nil
	}
	b.mu.Lock()
	if a.charged+more > b.total {
		b.mu.Unlock()
		return &BudgetExceededError{Bytes: bytes, Limit: b.total}
	}
	w := &waiter{caller: a.caller, bytes: more, held: a.charged, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mu.Unlock()
	if err := w.wait(ctx, b); err != nil {
		return err
	}
	a.add(bytes, more)
	return nil
}

// wait waits until the reservation is granted or given up. The errors are those of Grow.
func (w *waiter) wait(ctx context.Context, b *Budget) error {
	timer := time.NewTimer(maxHoldingWait)
	defer timer.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.stopWaiting(w) {
				return ctx.Err()
			}
			return nil
		case <-timer.C:
			if b.yield(w) {
				return &YieldedError{Held: w.held, Bytes: w.bytes}
			}
			timer.Reset(yieldInterval)
		}
	}
}

// yield gives a waiting reservation up if it must give way to others.
func (b *Budget) yield(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mustYield(w) && b.stopWaiting(w)
}

// Close releases all bytes held by the account. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(a.caller, -a.charged)
	a.size.Store(0)
	a.charged = 0
	b.grant()
}
