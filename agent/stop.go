package agent

import "time"

// stopPoll is the interval at which a stopping agent polls its state.
const stopPoll = 100 * time.Millisecond

// leave ends the agent's participation in the fleet. If the whole instance is
// stopped, the entry reports that it is stopping and the agent announces that to
// its peers. The agent continues until the entry has finished its requests in
// flight, and then announces that the entry has ended.
//
// If only the agent is stopped, to be restarted, it announces nothing: leaving is
// final for an incarnation of the entry, and the entry continues with its last
// view.
func (a *Agent) leave() {
	a.log.Info("stopping")
	if !a.waitFor(a.settings.Stop.Grace, a.entryStops) {
		a.log.Info("entry goes on without its agent")
		return
	}
	if !a.waitFor(a.settings.Stop.Timeout, a.entryEndedOrResumed) {
		a.log.Warn("entry still has requests in flight")
	}
	if continues, _ := callLoop(a.callCtx, a, a.entryContinues); continues {
		a.log.Info("entry goes on without its agent")
		return
	}
	// The membership machine schedules heartbeats that announce this to all
	// partners. Partners that were contacted just before get theirs a moment
	// later than the others.
	a.waitFor(shutdownTimeout, a.partnersNotified)
}

// waitFor polls a condition on the loop until it holds or the time limit is
// reached.
func (a *Agent) waitFor(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		held, err := callLoop(a.callCtx, a, holds)
		if held || err != nil {
			return held
		}
		time.Sleep(stopPoll)
	}
	return false
}

// entryStops reports whether the entry is stopping too, or does not respond.
func (a *Agent) entryStops() bool {
	return a.feed.reply.Incarnation != 0 && (a.feed.reply.Stopping || !a.feed.responding)
}

// entryEndedOrResumed reports whether the entry's process has ended, or responds
// and is not stopping.
func (a *Agent) entryEndedOrResumed() bool { return a.feed.ended || a.entryContinues() }

// entryContinues reports whether the entry responds and is not stopping. An
// earlier lack of responses was then temporary.
func (a *Agent) entryContinues() bool { return a.feed.responding && !a.feed.reply.Stopping }

// partnersNotified reports whether all partners got the newest state and no
// exchange is in progress.
func (a *Agent) partnersNotified() bool {
	if !a.machine.AllPartnersNotified(a.now) {
		return false
	}
	for _, p := range a.partners {
		if p.busy {
			return false
		}
	}
	return true
}
