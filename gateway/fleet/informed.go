package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

const (
	// informWithin is how long an instance that has just started, or stood still, waits for
	// the word of a peer that had not; one that hears of none is alone, cut off, or all have
	// started. Peers of a small fleet call each 300 ms.
	informWithin = 500 * time.Millisecond
	// informedTick is how often a waiting request looks whether its instance is informed;
	// the word of a peer comes within some ms of a start.
	informedTick = 10 * time.Millisecond
	// maintenanceInterval is how often an instance checks whether it was paused, drops expired
	// state and sends delayed evidence of crashes.
	maintenanceInterval = 250 * time.Millisecond
)

// informed follows whether an instance knows what its peers know: after a start, or after it
// stood still, it would send what all others keep from upstreams.
type informed struct {
	mu sync.Mutex
	// since is when it last started or went on, looked when it last looked.
	since, looked time.Time
	// paused means that it stood still, told that an informed peer told what it knows since.
	paused, told bool
	// refreshed is when it was last asked to look for what is newer.
	refreshed time.Time
	// woke has those who wait for their next turn to read or to call begin at once.
	woke []chan struct{}
}

// waking returns a channel that gets a value when the instance goes on after it stood still.
func (i *informed) waking() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := make(chan struct{}, 1)
	i.woke = append(i.woke, c)
	return c
}

// wake has all who wait begin at once. The caller holds mu.
func (i *informed) wake() {
	for _, c := range i.woke {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// waitTurn waits for a time, or until the instance goes on after it stood still, and returns
// true; or returns false as soon as ctx has ended.
func waitTurn(ctx context.Context, d time.Duration, woke <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woke:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// look takes in that the instance runs at a time; after a gap it knows too little.
func (i *informed) look(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
}

// lookLocked is look. The caller holds mu.
func (i *informed) lookLocked(now time.Time) {
	if now.Sub(i.looked) > stoodStill {
		i.paused = !i.looked.IsZero()
		i.since, i.told = now, false
		i.wake()
	}
	i.looked = now
}

// tell takes in that an informed peer told what it knows.
func (i *informed) tell(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	i.told = true
}

// ok reports whether the instance knows enough: what a peer knows, and after a pause the
// upstreams as of a reading of the store that began later.
func (i *informed) ok(now, view time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	return i.told && (!i.paused || view.After(i.since)) || now.Sub(i.since) >= informWithin
}

// stoodStillLately reports whether the instance went on after a pause and knows too little
// yet.
func (i *informed) stoodStillLately(now, view time.Time) bool {
	if i.ok(now, view) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.paused
}

// Informed reports whether this instance knows what its peers know.
func (n *Node) Informed() bool { return n.informed.ok(clock.Now(), n.Snapshot().AsOf) }

// AwaitInformed waits until Informed, or until ctx ends: half a second at the most, after a
// start or a pause. After a start only requests to engines wait: a process of a plain service
// has few neighbours, and its callers wait 300 ms.
func (n *Node) AwaitInformed(ctx context.Context, engines bool) {
	clock.Check()
	for !n.Informed() && (engines || n.informed.stoodStillLately(clock.Now(), n.Snapshot().AsOf)) {
		if !pause.For(ctx, informedTick) {
			return
		}
	}
}

// Refresh has this instance read the store, or ask its peers, at once; not more often than
// it does so while it knows nothing.
func (n *Node) Refresh() {
	n.informed.mu.Lock()
	defer n.informed.mu.Unlock()
	now := clock.Now()
	if now.Sub(n.informed.refreshed) < startInterval {
		return
	}
	n.informed.refreshed = now
	n.informed.wake()
}

// maintain detects pauses of this instance, drops expired state and sends delayed evidence of
// crashes until ctx ends. These tasks share a loop because each wakeup of an idle instance
// costs processor time.
func (n *Node) maintain(ctx context.Context) {
	asleep := clock.Suspended()
	for pause.For(ctx, maintenanceInterval) {
		now := clock.Now()
		n.informed.look(now)
		n.tokens.accounts.Forget(now)
		n.o.Register.Expire(now)
		if n.o.Register.HasUntold() {
			n.news.tell()
		}
		if now := clock.Suspended(); now != asleep {
			n.o.Log.Warn("machine was suspended", "for_ms", (now - asleep).Milliseconds())
			asleep = now
		}
	}
}
