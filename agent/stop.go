package agent

import "time"

// stopPoll is how often a stopping agent looks at its entry.
const stopPoll = 100 * time.Millisecond

// leave ends the agent's part in the fleet. An instance that is stopped stops
// both its processes: the entry says so, which the agent tells its peers; it goes
// on until the entry has finished what is in flight, and tells that it has ended. An agent that
// is stopped alone, to be restarted, says nothing: leaving is for ever for an
// incarnation of the entry, and the entry goes on with its last view.
func (a *Agent) leave() {
	a.log.Info("stopping")
	if !a.wait(a.settings.Stop.Grace, a.entryStops) {
		a.log.Info("entry goes on without its agent")
		return
	}
	if !a.wait(a.settings.Stop.Timeout, a.entrySettled) {
		a.log.Warn("entry still has requests in flight")
	}
	if goesOn, _ := ask(a.callCtx, a, a.entryAnswersOn); goesOn {
		a.log.Info("entry goes on without its agent")
		return
	}
	// The machine has it told to all partners, those called just before a moment
	// later than the others.
	a.wait(shutdownTimeout, a.partnersTold)
}

// wait looks at a condition on the loop until it holds or the time is over.
func (a *Agent) wait(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		held, err := ask(a.callCtx, a, holds)
		if held || err != nil {
			return held
		}
		time.Sleep(stopPoll)
	}
	return false
}

// entryStops reports whether the entry stops too, or has ended.
func (a *Agent) entryStops() bool {
	return a.feed.reply.Incarnation != 0 && (a.feed.reply.Stopping || !a.feed.answers)
}

// entrySettled reports whether the entry's process is gone, or goes on after all.
func (a *Agent) entrySettled() bool { return a.feed.gone || a.entryAnswersOn() }

// entryAnswersOn reports whether the entry answers and does not stop: it was only
// silent for a while.
func (a *Agent) entryAnswersOn() bool { return a.feed.answers && !a.feed.reply.Stopping }

// partnersTold reports whether all partners were told the newest and no exchange
// is in progress.
func (a *Agent) partnersTold() bool {
	if !a.machine.Told(a.now) {
		return false
	}
	for _, p := range a.partners {
		if p.busy {
			return false
		}
	}
	return true
}
