package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

const (
	// informTimeout is how long an instance that has started or was paused waits for an informed
	// peer. If it hears of none in that time, it is alone, it is isolated, or all instances have
	// just started. Peers of a small fleet call every 300 ms.
	informTimeout = 500 * time.Millisecond
	// informedPollInterval is how often a waiting request checks whether its instance is
	// informed. Peers usually answer within some milliseconds of a start.
	informedPollInterval = 10 * time.Millisecond
	// maintenanceInterval is how often an instance checks whether it was paused, drops expired
	// state and sends delayed crash records.
	maintenanceInterval = 250 * time.Millisecond
)

// informed tracks whether an instance has received what its peers know. An instance that has just
// started or was paused would otherwise send requests to upstreams that its peers have learned
// must not get them.
type informed struct {
	mu sync.Mutex
	// since is when the instance last started or resumed, lastRunning when its running was last
	// recorded.
	since, lastRunning time.Time
	// paused is set if the instance was paused at since. peerInformed is set once an informed
	// peer has shared its crash records after that.
	paused, peerInformed bool
	// lastReadRequest is when RequestRead last had the view read again.
	lastReadRequest time.Time
	// wakeChans holds the channels that end the waits of the read and heartbeat loops.
	wakeChans []chan struct{}
}

// subscribeWake returns a channel that receives a value when the instance resumes after a pause,
// or on RequestRead.
func (i *informed) subscribeWake() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := make(chan struct{}, 1)
	i.wakeChans = append(i.wakeChans, c)
	return c
}

// wake ends all waits on the channels of subscribeWake. The caller holds mu.
func (i *informed) wake() {
	for _, c := range i.wakeChans {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// waitOrWake waits for a duration or until a value arrives on wake, and returns true. It returns
// false as soon as ctx has ended.
func waitOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// recordRunning records that the instance is running at now. A gap of more than pauseThreshold
// since the last record means that the process was paused, and the instance counts as uninformed.
func (i *informed) recordRunning(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordRunningLocked(now)
}

// recordRunningLocked implements recordRunning. The caller holds mu.
func (i *informed) recordRunningLocked(now time.Time) {
	if now.Sub(i.lastRunning) > pauseThreshold {
		i.paused = !i.lastRunning.IsZero()
		i.since, i.peerInformed = now, false
		i.wake()
	}
	i.lastRunning = now
}

// markInformed records that an informed peer has shared what it knows.
func (i *informed) markInformed(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordRunningLocked(now)
	i.peerInformed = true
}

// isInformed reports whether the instance is informed: a peer has shared its crash records and,
// after a pause, the list of upstreams comes from a read that began after it; or informTimeout
// has passed. view is the time of that list.
func (i *informed) isInformed(now, view time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordRunningLocked(now)
	return i.peerInformed && (!i.paused || view.After(i.since)) || now.Sub(i.since) >= informTimeout
}

// resumedUninformed reports whether the instance has resumed after a pause and is not yet
// informed.
func (i *informed) resumedUninformed(now, view time.Time) bool {
	if i.isInformed(now, view) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.paused
}

// Informed reports whether this instance has received what its peers know since it started or
// resumed.
func (n *Node) Informed() bool { return n.informed.isInformed(clock.Now(), n.Snapshot().AsOf) }

// AwaitInformed waits until Informed returns true or ctx ends: at most informTimeout after a start
// or a pause. After a start only requests to engines wait, since an instance that serves only
// plain services has few peers and its callers would wait 300 ms.
func (n *Node) AwaitInformed(ctx context.Context, engines bool) {
	clock.Check()
	for !n.Informed() && (engines || n.informed.resumedUninformed(clock.Now(), n.Snapshot().AsOf)) {
		if !pause.For(ctx, informedPollInterval) {
			return
		}
	}
}

// RequestRead makes this instance read the store, or ask its peers, at once. Calls within
// startInterval of the previous one have no effect.
func (n *Node) RequestRead() {
	n.informed.mu.Lock()
	defer n.informed.mu.Unlock()
	now := clock.Now()
	if now.Sub(n.informed.lastReadRequest) < startInterval {
		return
	}
	n.informed.lastReadRequest = now
	n.informed.wake()
}

// maintain detects pauses of this instance, drops expired state and sends delayed crash
// records until ctx ends. These tasks share a loop because each wakeup of an idle instance
// costs processor time.
func (n *Node) maintain(ctx context.Context) {
	asleep, share := clock.Suspended(), 1.0
	for pause.For(ctx, maintenanceInterval) {
		now := clock.Now()
		n.informed.recordRunning(now)
		share = n.logShareChange(share)
		n.tokens.accounts.RemoveIdle(now)
		n.rates.owned.RemoveIdle(now)
		n.opts.Register.Expire(now)
		n.finder.Expire(now)
		if n.opts.Register.HasUnsent() {
			n.crashSpreader.requestSend()
		}
		if now := clock.Suspended(); now != asleep {
			n.opts.Log.Warn("machine was suspended", "for_ms", (now - asleep).Milliseconds())
			asleep = now
		}
	}
}
