package kernel

import "time"

const (
	// ejectAfter is the number of consecutive failures after which an upstream
	// is ejected.
	ejectAfter = 3
	// ejectBase is the duration of the first ejection. It doubles with each
	// further ejection that follows without a success in between.
	ejectBase = 2 * time.Second
	// maxEjectDoublings limits the duration of ejections to
	// ejectBase << maxEjectDoublings (32 s).
	maxEjectDoublings = 4
)

// recordSuccess records that an attempt on u succeeded and resets u's counts of
// failures and ejections. It does nothing if u is nil.
func (k *Kernel) recordSuccess(u *Upstream) {
	if u == nil {
		return
	}
	u.Health.Failures = 0
	u.Health.Ejections = 0
	u.Health.LastSuccess = k.now
}

// minUnansweredTime is the minimum time that a service attempt must have run
// without an answer for its end by the caller's deadline to count as the
// upstream's failure.
const minUnansweredTime = 2 * time.Second

// recordUnanswered handles a service attempt that is ended by its caller's
// deadline. It counts as a failure of the upstream if the attempt ran for at
// least minUnansweredTime and no other attempt on the upstream succeeded in
// that time. This detects a service that is cut off from the network. A service
// that is only slower than some callers' deadlines still answers others and is
// not counted as failing.
func (k *Kernel) recordUnanswered(a *attempt) {
	if a == nil || a.stage != stageService || k.now.Sub(a.sentAt) < minUnansweredTime {
		return
	}
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameIncarnation(u.Incarnation, a.incarnation) || u.Health.LastSuccess.After(a.sentAt) {
		return
	}
	k.recordFailure(u)
}

// recordFailure records a failure caused by the upstream itself and ejects the
// upstream after ejectAfter consecutive ones. It does nothing if u is nil.
func (k *Kernel) recordFailure(u *Upstream) {
	if u == nil {
		return
	}
	u.Health.Failures++
	if u.Health.Failures < ejectAfter || k.ejected(u) {
		return
	}
	k.eject(u)
}

func (k *Kernel) ejected(u *Upstream) bool { return k.now.Before(u.Health.EjectedUntil) }

// eject excludes an upstream from new work for a time that doubles with each
// consecutive ejection.
func (k *Kernel) eject(u *Upstream) {
	length := ejectBase << min(u.Health.Ejections, maxEjectDoublings)
	u.Health.Ejections++
	u.Health.Failures = 0
	u.Health.EjectedUntil = k.now.Add(length)
	u.Health.EjectedForSilence = false
	u.Health.AvailableSince = u.Health.EjectedUntil
	k.scheduleAt(u.Health.EjectedUntil)
}

// recordSilence records that an attempt on u is silent, which counts as a failure
// until the silence ends.
func (k *Kernel) recordSilence(u *Upstream) {
	ejected := k.ejected(u)
	k.recordFailure(u)
	u.Health.EjectedForSilence = u.Health.EjectedForSilence || !ejected && k.ejected(u)
}

// silenceEnded records progress of an attempt. If the attempt was silent, its
// upstream is not ejected for silence any more.
func (k *Kernel) silenceEnded(a *attempt) {
	if !a.stalled {
		return
	}
	a.stalled = false
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameIncarnation(u.Incarnation, a.incarnation) {
		return
	}
	k.recordSuccess(u)
	if !u.Health.EjectedForSilence || !k.ejected(u) {
		return
	}
	u.Health.EjectedUntil = k.now
	u.Health.AvailableSince = k.now
	k.dirty = true
}

// recordRest excludes an upstream from new work for the time that it asked for
// when it turned an attempt away, up to maxRetryAfter. A later response does not
// shorten the rest.
func (k *Kernel) recordRest(u *Upstream, lasts time.Duration) {
	until := k.now.Add(min(lasts, maxRetryAfter))
	if lasts <= 0 || !until.After(u.Health.RestUntil) {
		return
	}
	u.Health.RestUntil = until
	k.scheduleAt(until)
}

// asksForRest reports whether the retry-after hint of a failure is about the
// upstream and not about the request.
func asksForRest(code FailureCode) bool {
	return code == FailureCapacity || code == FailureUpstream
}

// upstreamFault reports whether a failure counts against the upstream's health.
func upstreamFault(code FailureCode) bool {
	switch code {
	case FailureConnect, FailureBroken, FailureStalled, FailureUpstream, FailureTimeout:
		return true
	default:
		return false
	}
}
