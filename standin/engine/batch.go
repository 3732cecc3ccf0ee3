package engine

import "time"

// maxStepLag is the maximum lag behind schedule that the step loop makes up
// for. After a longer pause, it reschedules from the current time.
const maxStepLag = 50 * time.Millisecond

// step is one step of the engine: a token for each generation in batch, and
// chunks of prefills.
type step struct {
	batch    []*attempt
	prefills []prefillChunk
	duration time.Duration
}

// prefillChunk is the part of one prefill that is computed in a step.
type prefillChunk struct {
	attempt *attempt
	tokens  int
}

// runSteps plans and applies steps until the engine is closed.
func (e *Engine) runSteps() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := time.Now()
	for {
		s, ok := e.plan()
		if !ok {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
			}
			due = time.Now()
			continue
		}
		// Scheduling from the planned end of the last step prevents timer
		// delays from accumulating.
		if now := time.Now(); now.Sub(due) > maxStepLag {
			due = now
		}
		due = due.Add(s.duration)
		timer.Reset(time.Until(due))
		select {
		case <-e.ctx.Done():
			return
		case <-timer.C:
		}
		e.apply(s)
	}
}

// plan returns the next step, or false if there is no work.
func (e *Engine) plan() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.batch = keepRunning(append(state.batch, state.joining...))
	state.joining = state.joining[:0]
	s := step{batch: state.batch, prefills: e.planPrefills(len(state.batch) > 0)}
	if len(s.batch) == 0 && len(s.prefills) == 0 {
		return step{}, false
	}
	s.duration = e.cfg.Perf.StepTime(len(s.batch))
	for _, c := range s.prefills {
		s.duration += e.cfg.Perf.PrefillDuration(c.tokens)
	}
	if e.faults.SlowFactor > 0 {
		s.duration = time.Duration(float64(s.duration) * e.faults.SlowFactor)
	}
	return s, true
}

// keepRunning removes the ended attempts from batch in place.
func keepRunning(batch []*attempt) []*attempt {
	kept := batch[:0]
	for _, a := range batch {
		if a.running() {
			kept = append(kept, a)
		}
	}
	clear(batch[len(kept):])
	return kept
}

// planPrefills returns the prefill chunks of the next step, up to PrefillChunk
// tokens in total. If the step also runs generations, which make it long,
// several short prompts share it. Otherwise a step computes only one prompt, so
// that each prompt is ready as soon as it is computed.
func (e *Engine) planPrefills(shared bool) []prefillChunk {
	var out []prefillChunk
	for budget := e.cfg.Perf.PrefillChunk; budget > 0; {
		a := e.nextPrefill()
		if a == nil {
			break
		}
		n := min(a.remaining, budget)
		budget -= n
		out = append(out, prefillChunk{attempt: a, tokens: n})
		if n == a.remaining {
			e.state.currentPrefill = nil
		}
		if !shared {
			break
		}
	}
	return out
}

// nextPrefill returns the current prefill. If there is none, it starts the head
// of the queue if enough memory is free. Prefills of equal priority start in
// order of arrival, and no prefill overtakes one that waits for memory.
func (e *Engine) nextPrefill() *attempt {
	state := e.state
	if state.currentPrefill != nil {
		return state.currentPrefill
	}
	a := state.queue.head()
	if a == nil {
		return nil
	}
	need := e.cfg.Perf.PiecesFor(a.promptTokens)
	if a.prefillOnly && state.piecesUsed+need > e.cfg.Perf.Pieces {
		return nil
	}
	state.queue.remove(a)
	if a.prefillOnly {
		e.reservePieces(a, need)
	}
	e.startPrefill(a)
	return a
}

// startPrefill makes a the current prefill.
func (e *Engine) startPrefill(a *attempt) {
	matched := e.state.cache.Match(a.hashes)
	a.remaining = e.cfg.Perf.Uncached(a.promptTokens, matched)
	a.cached = a.promptTokens - a.remaining
	a.stage = StagePrefill
	e.state.currentPrefill = a
	e.state.prefilling++
	e.ledger.prefillStarted(a)
}

// reservePieces reserves KV memory for an attempt, in pieces.
func (e *Engine) reservePieces(a *attempt, pieces int) {
	a.pieces = pieces
	e.state.piecesUsed += pieces
}

// apply applies the results of a step at its end.
func (e *Engine) apply(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range s.batch {
		if a.running() {
			e.addToken(a)
		}
	}
	for _, c := range s.prefills {
		e.finishChunk(c.attempt, c.tokens)
	}
}

// addToken adds a token to a running generation.
func (e *Engine) addToken(a *attempt) {
	a.next++
	e.ledger.generated(a)
	if limit := e.faults.FailAfterTokens; limit > 0 && a.next-a.from >= limit && !a.finished() {
		e.end(a, &failureInjected)
		return
	}
	if a.finished() {
		e.end(a, nil)
		return
	}
	if a.reader != nil {
		a.reader.notify()
	}
}

// finishChunk adds computed tokens to a prefill. If the attempt has ended in
// the meantime, the ledger counts them as waste.
func (e *Engine) finishChunk(a *attempt, n int) {
	e.ledger.computed(a, n)
	if !a.running() {
		return
	}
	a.computed += n
	a.remaining -= n
	if a.remaining > 0 {
		return
	}
	e.state.prefilling--
	e.storeBlocks(a)
	if a.prefillOnly {
		e.holdResult(a)
		return
	}
	e.startDecode(a)
}

// startDecode adds an attempt to the running generations, from the next step on.
func (e *Engine) startDecode(a *attempt) {
	a.stage = StageDecode
	e.state.joining = append(e.state.joining, a)
	e.ledger.decodeStarted(a)
	close(a.ready)
	e.wakeLoop()
}
