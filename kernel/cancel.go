package kernel

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// cancel is an order to an upstream to release an attempt, repeated until the
// upstream acknowledges it or is known to be gone.
type cancel struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
	tries       int
}

const (
	// cancelBackoff is the wait before the first repetition.
	cancelBackoff = 100 * time.Millisecond
	// maxCancelBackoff bounds the waits between repetitions.
	maxCancelBackoff = 5 * time.Second
	// maxTriesAbsent is how often a cancel is tried at an upstream that the
	// view no longer has, before the upstream is taken for gone.
	maxTriesAbsent = 20
	// cancelAnswerBy is how long the driver may take to report on a cancel
	// before it is repeated anyway.
	cancelAnswerBy = 10 * time.Second
)

// release ends an attempt and has its upstream let go of what it holds.
func (k *Kernel) release(a *attempt) {
	if a == nil || k.attempts[a.id] != a {
		return
	}
	k.untrack(a)
	if k.gone(a.upstream, a.incarnation) {
		return
	}
	k.cancels[a.id] = &cancel{upstream: a.upstream, incarnation: a.incarnation}
	k.sendCancel(a.id)
}

func (k *Kernel) sendCancel(id ident.AttemptID) {
	c := k.cancels[id]
	c.tries++
	k.emit(CancelAttempt{Attempt: id, Upstream: c.upstream})
	k.timers.addCancel(k.now.Add(cancelAnswerBy), id)
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

// cancelDue repeats a cancel that was not acknowledged.
func (k *Kernel) cancelDue(id ident.AttemptID) {
	c, ok := k.cancels[id]
	if !ok {
		return
	}
	absent := k.fleet.upstream(c.upstream) == nil && c.tries >= maxTriesAbsent
	if absent || k.gone(c.upstream, c.incarnation) {
		delete(k.cancels, id)
		return
	}
	k.sendCancel(id)
}

// attemptsInOrder lists the attempts in flight by sequence, for loops whose
// effects must not depend on map order.
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
