package experiment

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/perf"
)

// transfer is a KV cache in transfer to a decode engine.
type transfer struct {
	prefill *attempt
	// receiver is the decode attempt that gets it; done tells it whether the
	// transfer completed.
	receiver *attempt
	done     func(sent bool)
}

// startTransfer starts the transfer of a held result to a decode engine and
// calls done at its end. It returns false if the engine doesn't hold the result.
func (e *prefillEngine) startTransfer(a, to *attempt, done func(sent bool)) bool {
	if !e.alive || e.held[a.id] != a {
		return false
	}
	delete(e.held, a.id)
	e.nextFlow++
	id := e.nextFlow
	t := &transfer{prefill: a, receiver: to, done: done}
	e.flows[id] = t
	if !e.w.net.connected(e.zone, to.upstream.base().zone) {
		e.scheduleStallReport(id)
		return true
	}
	e.link.Add(e.w.clock.now, id, e.params.TransferBytes(a.promptTokens()))
	if e.stalled {
		e.scheduleStallReport(id)
	}
	e.completeTransfers()
	return true
}

// completeTransfers completes the transfers that have finished and schedules
// itself for the end of the next one.
func (e *prefillEngine) completeTransfers() {
	for _, id := range e.link.Finished(e.w.clock.now) {
		t := e.flows[id]
		delete(e.flows, id)
		t.prefill.ended = true
		t.prefill.used = true
		e.w.checker.markUsed(t.prefill)
		t.done(true)
	}
	next, ok := e.link.Next()
	if !ok {
		return
	}
	link := e.link
	e.w.clock.at(next, func() {
		if e.link == link {
			e.completeTransfers()
		}
	})
}

// setStalled stalls or resumes all transfers.
func (e *prefillEngine) setStalled(stalled bool) {
	e.stalled = stalled
	rate := e.params.LinkBytesPerSecond
	if stalled {
		rate = 0
	}
	e.link.SetRate(e.w.clock.now, rate)
	for _, id := range sortedKeys(e.flows) {
		if stalled {
			e.scheduleStallReport(id)
		}
	}
	e.completeTransfers()
}

// stallPartitioned stalls the transfers into zones that are now partitioned.
func (e *prefillEngine) stallPartitioned() {
	for _, id := range sortedKeys(e.flows) {
		if e.w.net.connected(e.zone, e.flows[id].receiver.upstream.base().zone) {
			continue
		}
		e.link.Remove(e.w.clock.now, id)
		e.scheduleStallReport(id)
	}
	e.completeTransfers()
}

// scheduleStallReport reports a transfer that has made no progress for the
// policy's TransferStall to the owner of the receiving attempt. Both engines
// keep holding it.
func (e *prefillEngine) scheduleStallReport(id perf.FlowID) {
	t := e.flows[id]
	e.w.clock.after(e.w.content.Policy.TransferStall, func() {
		cut := !e.w.net.connected(e.zone, t.receiver.upstream.base().zone)
		if e.flows[id] != t || t.receiver.ended || !(e.stalled || cut) {
			return
		}
		e.w.report(t.receiver, kernel.AttemptFailed{
			Attempt:  t.receiver.id,
			Evidence: kernel.Ambiguous,
			Code:     kernel.FailureStalled,
			Offset:   t.receiver.offset(),
		})
	})
}

// abortTransfer ends a transfer whose receiver is gone. The result is held again
// until its lifetime ends.
func (e *prefillEngine) abortTransfer(to *attempt) {
	for _, id := range sortedKeys(e.flows) {
		t := e.flows[id]
		if t.receiver != to {
			continue
		}
		e.removeFlow(id)
		if e.w.clock.now-t.prefill.prefilledAt >= e.params.KVLifetime {
			e.discard(t.prefill, wasteEvicted)
			continue
		}
		e.held[t.prefill.id] = t.prefill
		incarnation := e.incarnation
		left := t.prefill.prefilledAt + e.params.KVLifetime - e.w.clock.now
		e.w.clock.after(left, func() {
			if e.incarnation == incarnation && e.held[t.prefill.id] == t.prefill {
				e.discard(t.prefill, wasteEvicted)
			}
		})
	}
	e.completeTransfers()
}

func (e *prefillEngine) removeFlow(id perf.FlowID) {
	e.link.Remove(e.w.clock.now, id)
	delete(e.flows, id)
}
