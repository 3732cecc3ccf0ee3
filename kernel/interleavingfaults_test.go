package kernel_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// cancel delivers or loses a random pending cancel, and reports a result for it
// that need not be true.
func (w *simulation) cancel(t *rapid.T) {
	f, ok := take(t, &w.cancels, "cancel")
	if !ok {
		return
	}
	switch rapid.SampledFrom([]string{"acked", "acked", "unheard", "lost"}).Draw(t, "cancel end") {
	case "acked":
		w.released(f.id)
		w.step(kernel.CancelAcked{Attempt: f.id})
	case "unheard":
		w.released(f.id)
		w.step(kernel.CancelFailed{Attempt: f.id})
	case "lost":
		w.step(kernel.CancelFailed{Attempt: f.id})
	}
}

// released simulates an upstream that receives a cancel, possibly before the
// attempt itself.
func (w *simulation) released(id ident.AttemptID) {
	delete(w.held, id)
	w.cancelled[id] = true
}

// abandon ends an attempt whose upstream has ended, as the driver does.
func (w *simulation) abandon(id ident.AttemptID) {
	delete(w.held, id)
	for _, list := range []*[]sentAttempt{&w.inFlight, &w.reattaches} {
		for i, f := range *list {
			if f.id == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				break
			}
		}
	}
	w.step(kernel.AttemptFailed{Attempt: id, Evidence: kernel.Ambiguous, Code: kernel.FailureBroken})
}

func (w *simulation) callerGone(t *rapid.T) {
	if w.next == 0 {
		return
	}
	n := rapid.IntRange(1, w.next).Draw(t, "gone")
	w.step(kernel.CallerGone{Request: ident.RequestID(fmt.Sprintf("r%d", n))})
}

func (w *simulation) upstream(id ident.UpstreamID) *kernel.Upstream {
	for i := range w.view.Upstreams {
		if w.view.Upstreams[i].ID == id {
			return &w.view.Upstreams[i]
		}
	}
	w.t.Fatalf("the view has no upstream %s", id)
	return nil
}

// changeView changes a random upstream in a new view and passes the view to the
// kernel.
func (w *simulation) changeView(t *rapid.T, change func(u *kernel.Upstream)) {
	v := *w.view
	v.Version++
	v.Upstreams = append([]kernel.Upstream(nil), v.Upstreams...)
	i := rapid.IntRange(0, len(v.Upstreams)-1).Draw(t, "upstream")
	change(&v.Upstreams[i])
	w.olderViews = append(w.olderViews, w.view)
	w.view = &v
	w.setView(w.view)
}

// setView passes a view to the kernel.
func (w *simulation) setView(v *kernel.View) {
	w.kernelView = v
	for _, u := range v.Upstreams {
		if u.Liveness == kernel.Leaving {
			w.left[u.ID] = max(w.left[u.ID], u.Incarnation)
		}
	}
	w.step(kernel.ViewChanged{View: v})
}

// staleView passes a view to the kernel that is older than the newest one.
func (w *simulation) staleView(t *rapid.T) {
	if len(w.olderViews) == 0 {
		return
	}
	w.setView(w.olderViews[rapid.IntRange(0, len(w.olderViews)-1).Draw(t, "stale view")])
}

// markLeaving reports a random upstream as leaving.
func (w *simulation) markLeaving(t *rapid.T) {
	w.changeView(t, func(u *kernel.Upstream) { u.Liveness = max(u.Liveness, kernel.Leaving) })
}

// endUpstream ends a random upstream, which loses all resources that it holds.
func (w *simulation) endUpstream(t *rapid.T) {
	w.changeView(t, func(u *kernel.Upstream) {
		u.Liveness = kernel.Dead
		w.dropHeld(u.ID)
	})
}

// restart replaces a random upstream's process by a new incarnation.
func (w *simulation) restart(t *rapid.T) {
	w.changeView(t, func(u *kernel.Upstream) {
		w.dropHeld(u.ID)
		u.Liveness = kernel.Live
		u.Incarnation++
	})
}

// dropHeld drops everything that an upstream holds and marks its attempts as
// dead.
func (w *simulation) dropHeld(id ident.UpstreamID) {
	for attempt, at := range w.held {
		if at == id {
			delete(w.held, attempt)
		}
	}
	for i := range w.inFlight {
		w.inFlight[i].dead = w.inFlight[i].dead || w.inFlight[i].upstream == id
	}
}

// pause lets a random time pass in which the kernel does not run.
func (w *simulation) pause(t *rapid.T) {
	gap := time.Duration(rapid.IntRange(1, 15).Draw(t, "gap")) * time.Second
	w.now = w.now.Add(gap)
	w.step(kernel.Paused{Gap: gap})
}
