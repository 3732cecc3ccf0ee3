package experiment

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/perf"
)

// transfer is a KV cache in transfer to a decode engine.
type transfer struct {
	a *attempt
	// to is the receiving decode attempt; done tells it whether the transfer
	// completed.
	to   *attempt
	done func(sent bool)
}

// pull starts the transfer of a held result to a decode engine and calls done at
// its end. It returns false if the engine doesn't hold the result.
func (e *prefillEngine) pull(a, to *attempt, done func(sent bool)) bool {
	if !e.alive || e.held[a.id] != a {
		return false
	}
	delete(e.held, a.id)
	e.nextFlow++
	id := e.nextFlow
	t := &transfer{a: a, to: to, done: done}
	e.flows[id] = t
	if !e.w.net.connected(e.zone, to.upstream.base().zone) {
		e.watchStall(id)
		return true
	}
	e.link.Add(e.w.clock.now, id, e.params.TransferBytes(a.promptTokens()))
	if e.stalled {
		e.watchStall(id)
	}
	e.settle()
	return true
}

// settle completes the transfers that have finished and schedules itself for the
// end of the next one.
func (e *prefillEngine) settle() {
	for _, id := range e.link.Finished(e.w.clock.now) {
		t := e.flows[id]
		delete(e.flows, id)
		t.a.over = true
		t.a.used = true
		e.w.judge.used(t.a)
		t.done(true)
	}
	next, ok := e.link.Next()
	if !ok {
		return
	}
	link := e.link
	e.w.clock.at(next, func() {
		if e.link == link {
			e.settle()
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
			e.watchStall(id)
		}
	}
	e.settle()
}

// stallCut stalls the transfers into zones that are now partitioned.
func (e *prefillEngine) stallCut() {
	for _, id := range sortedKeys(e.flows) {
		if e.w.net.connected(e.zone, e.flows[id].to.upstream.base().zone) {
			continue
		}
		e.link.Remove(e.w.clock.now, id)
		e.watchStall(id)
	}
	e.settle()
}

// watchStall reports a transfer that has made no progress for the policy's
// TransferStall to the owner of the receiving attempt. Both engines keep holding
// it.
func (e *prefillEngine) watchStall(id perf.FlowID) {
	t := e.flows[id]
	e.w.clock.after(e.w.content.Policy.TransferStall, func() {
		cut := !e.w.net.connected(e.zone, t.to.upstream.base().zone)
		if e.flows[id] != t || t.to.over || !(e.stalled || cut) {
			return
		}
		e.w.report(t.to, kernel.AttemptFailed{
			Attempt:  t.to.id,
			Evidence: kernel.Ambiguous,
			Code:     kernel.FailureStalled,
			Offset:   t.to.offset(),
		})
	})
}

// giveUp ends a transfer whose receiver is gone. The result is held again until
// its lifetime ends.
func (e *prefillEngine) giveUp(to *attempt) {
	for _, id := range sortedKeys(e.flows) {
		t := e.flows[id]
		if t.to != to {
			continue
		}
		e.removeFlow(id)
		if e.w.clock.now-t.a.prefilled >= e.params.KVLifetime {
			e.drop(t.a, wasteEvicted)
			continue
		}
		e.held[t.a.id] = t.a
		life := e.incarnation
		left := t.a.prefilled + e.params.KVLifetime - e.w.clock.now
		e.w.clock.after(left, func() {
			if e.incarnation == life && e.held[t.a.id] == t.a {
				e.drop(t.a, wasteEvicted)
			}
		})
	}
	e.settle()
}

func (e *prefillEngine) removeFlow(id perf.FlowID) {
	e.link.Remove(e.w.clock.now, id)
	delete(e.flows, id)
}
