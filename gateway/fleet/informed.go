package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

const (
	// informWithin is how long an instance that has started or was paused waits for an informed
	// peer. If it hears of none in that time, it is alone, it is cut off, or all instances have
	// just started. Peers of a small fleet call every 300 ms.
	informWithin = 500 * time.Millisecond
	// informedTick is how often a waiting request checks whether its instance is informed. Peers
	// usually answer within some milliseconds of a start.
	informedTick = 10 * time.Millisecond
	// maintenanceInterval is how often an instance checks whether it was paused, drops expired
	// state and sends delayed evidence of crashes.
	maintenanceInterval = 250 * time.Millisecond
)

// informed tracks whether an instance has received what its peers know. An instance that has just
// started or was paused would otherwise send requests to upstreams that its peers have learned
// must not get them.
type informed struct {
	mu sync.Mutex
	// since is when the instance last started or resumed, looked when its running was last
	// recorded.
	since, looked time.Time
	// paused is set if the instance was paused at since. told is set once an informed peer has
	// shared its evidence after that.
	paused, told bool
	// refreshed is when Refresh last had the view read again.
	refreshed time.Time
	// woke holds the channels that end the waits of the read and heartbeat loops.
	woke []chan struct{}
}

// waking returns a channel that receives a value when the instance resumes after a pause, or on
// Refresh.
func (i *informed) waking() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := make(chan struct{}, 1)
	i.woke = append(i.woke, c)
	return c
}

// wake ends all waits on the channels of waking. The caller holds mu.
func (i *informed) wake() {
	for _, c := range i.woke {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// waitTurn waits for a duration or until a value arrives on woke, and returns true. It returns
// false as soon as ctx has ended.
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

// look records that the instance is running at now. A gap of more than stoodStill since the last
// record means that the process was paused, and the instance counts as uninformed.
func (i *informed) look(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
}

// lookLocked implements look. The caller holds mu.
func (i *informed) lookLocked(now time.Time) {
	if now.Sub(i.looked) > stoodStill {
		i.paused = !i.looked.IsZero()
		i.since, i.told = now, false
		i.wake()
	}
	i.looked = now
}

// tell records that an informed peer has shared what it knows.
func (i *informed) tell(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	i.told = true
}

// ok reports whether the instance is informed: a peer has shared its evidence and, after a pause,
// the list of upstreams comes from a read that began after it; or informWithin has passed. view
// is the time of that list.
func (i *informed) ok(now, view time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	return i.told && (!i.paused || view.After(i.since)) || now.Sub(i.since) >= informWithin
}

// stoodStillLately reports whether the instance has resumed after a pause and is not yet
// informed.
func (i *informed) stoodStillLately(now, view time.Time) bool {
	if i.ok(now, view) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.paused
}

// Informed reports whether this instance has received what its peers know since it started or
// resumed.
func (n *Node) Informed() bool { return n.informed.ok(clock.Now(), n.Snapshot().AsOf) }

// AwaitInformed waits until Informed returns true or ctx ends: at most informWithin after a start
// or a pause. After a start only requests to engines wait, since an instance that serves only
// plain services has few peers and its callers would wait 300 ms.
func (n *Node) AwaitInformed(ctx context.Context, engines bool) {
	clock.Check()
	for !n.Informed() && (engines || n.informed.stoodStillLately(clock.Now(), n.Snapshot().AsOf)) {
		if !pause.For(ctx, informedTick) {
			return
		}
	}
}

// Refresh makes this instance read the store, or ask its peers, at once. Calls within
// startInterval of the previous one have no effect.
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
