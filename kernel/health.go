package kernel

import "time"

const (
	// ejectAfter is how many consecutive failures eject an upstream.
	ejectAfter = 3
	// ejectBase is the length of the first ejection; each further one in a row
	// doubles it.
	ejectBase = 2 * time.Second
	// maxEjectDoublings bounds the ejections' length.
	maxEjectDoublings = 4
)

// succeeded notes a success of an attempt on u.
func (k *Kernel) succeeded(u *Upstream) {
	if u == nil {
		return
	}
	u.Health.Failures = 0
	u.Health.Ejections = 0
	u.Health.LastSuccess = k.now
}

// silentTime is the least time without an answer that speaks against an
// upstream when a caller's deadline ends the attempt.
const silentTime = 2 * time.Second

// silent notes a service attempt that is ended by its caller's deadline. It is
// the upstream's failure if it had time to answer and answered nobody meanwhile:
// a service that is cut off is found by this, one that is merely slower than
// some callers are patient is not.
func (k *Kernel) silent(a *attempt) {
	if a == nil || a.stage != stageService || k.now.Sub(a.sentAt) < silentTime {
		return
	}
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameLife(u.Incarnation, a.incarnation) || u.Health.LastSuccess.After(a.sentAt) {
		return
	}
	k.failed(u)
}

// failed notes a failure that is the upstream's own fault, and ejects the
// upstream after several in a row.
func (k *Kernel) failed(u *Upstream) {
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

// eject has an upstream get no new work for a while, longer each time in a row.
func (k *Kernel) eject(u *Upstream) {
	length := ejectBase << min(u.Health.Ejections, maxEjectDoublings)
	u.Health.Ejections++
	u.Health.Failures = 0
	u.Health.EjectedUntil = k.now.Add(length)
	u.Health.BackSince = u.Health.EjectedUntil
	k.kick(u.Health.EjectedUntil)
}

// upstreamFault reports whether a failure speaks against the upstream's health.
func upstreamFault(code FailureCode) bool {
	switch code {
	case FailureConnect, FailureBroken, FailureStalled, FailureUpstream, FailureTimeout:
		return true
	default:
		return false
	}
}
