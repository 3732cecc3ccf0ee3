package kernel

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// cancel is the cancellation of an attempt, repeated until the upstream
// acknowledges it or the upstream's incarnation is known to have ended.
type cancel struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
	tries       int
}

const (
	// cancelBackoff is the wait before the first repetition.
	cancelBackoff = 100 * time.Millisecond
	// maxCancelBackoff limits the wait between repetitions.
	maxCancelBackoff = 5 * time.Second
	// maxTriesAbsent is the number of times a cancel is sent to an upstream that
	// is no longer in the view before the upstream is considered ended.
	maxTriesAbsent = 20
	// cancelTimeout is the time after which a cancel is repeated if the driver
	// has not reported its result.
	cancelTimeout = 10 * time.Second
)

// release ends an attempt and cancels it on its upstream, which then releases
// the resources that it holds for it. It does nothing for nil and for attempts
// that are not tracked.
func (k *Kernel) release(a *attempt) {
	if a == nil || k.attempts[a.id] != a {
		return
	}
	k.untrack(a)
	if a.stage == stageDecode && a.call.origin == nil {
		a.call.released = append(a.call.released, a)
	}
	if k.incarnationEnded(a.upstream, a.incarnation) {
		return
	}
	k.cancels[a.id] = &cancel{upstream: a.upstream, incarnation: a.incarnation}
	k.sendCancel(a.id)
}

func (k *Kernel) sendCancel(id ident.AttemptID) {
	c := k.cancels[id]
	c.tries++
	k.emit(CancelAttempt{Attempt: id, Upstream: c.upstream})
	k.timers.addCancel(k.now.Add(cancelTimeout), id)
}

func (k *Kernel) cancelAcked(id ident.AttemptID) {
	delete(k.cancels, id)
}

func (k *Kernel) cancelFailed(id ident.AttemptID) {
	c, ok := k.cancels[id]
	if !ok {
		return
	}
	wait := min(cancelBackoff<<min(c.tries-1, maxBackoffDoublings), maxCancelBackoff)
	jitter := time.Duration(k.rand.Int64N(int64(wait)/2 + 1))
	k.timers.addCancel(k.now.Add(wait/2+jitter), id)
}

// repeatCancel repeats a cancel that has not been acknowledged, unless its
// upstream has ended.
func (k *Kernel) repeatCancel(id ident.AttemptID) {
	c, ok := k.cancels[id]
	if !ok {
		return
	}
	absent := k.fleet.upstream(c.upstream) == nil && c.tries >= maxTriesAbsent
	if absent || k.incarnationEnded(c.upstream, c.incarnation) {
		delete(k.cancels, id)
		return
	}
	k.sendCancel(id)
}

// attemptsInOrder returns the attempts in flight sorted by sequence number, for
// loops whose effects must not depend on the iteration order of the map.
func (k *Kernel) attemptsInOrder() []*attempt {
	list := make([]*attempt, 0, len(k.attempts))
	for _, a := range k.attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].id.Sequence < list[j].id.Sequence
	})
	return list
}
