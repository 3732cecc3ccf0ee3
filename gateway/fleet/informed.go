package fleet

import (
	"context"
	"sync"
	"time"

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
	// lookInterval is how often an instance looks whether it stood still.
	lookInterval = 100 * time.Millisecond
)

// informed follows whether an instance knows what its peers knew when it began to serve:
// after a start, or after it stood still, it would send what all others keep from upstreams.
type informed struct {
	mu sync.Mutex
	// since is when it last started or went on, looked when it last looked.
	since, looked time.Time
	told          bool
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
		i.since, i.told = now, false
	}
	i.looked = now
}

// tell takes in that a peer told what it knows.
func (i *informed) tell(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	i.told = true
}

// ok reports whether the instance knows enough.
func (i *informed) ok(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lookLocked(now)
	return i.told || now.Sub(i.since) >= informWithin
}

// Informed reports whether this instance may send requests: it has heard what its peers
// know since it started or stood still.
func (n *Node) Informed() bool { return n.informed.ok(time.Now()) }

// AwaitInformed waits until Informed, or until ctx ends. It is short: half a second at the
// most, after a start or a pause.
func (n *Node) AwaitInformed(ctx context.Context) {
	for !n.Informed() && pause.For(ctx, informedTick) {
	}
}

// lookAround notes the times at which this instance runs until ctx ends.
func (n *Node) lookAround(ctx context.Context) {
	for pause.For(ctx, lookInterval) {
		n.informed.look(time.Now())
	}
}
