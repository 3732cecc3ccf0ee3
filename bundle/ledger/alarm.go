package ledger

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/bundle"
)

// AlarmType says what is wrong. Each type has one step that operators take.
type AlarmType string

// The types of alarm.
const (
	// AlarmSplitVersion is two signed bundles of one version.
	AlarmSplitVersion AlarmType = "split-version"
	// AlarmSplitRoll is two signed rolls of one sequence number.
	AlarmSplitRoll AlarmType = "split-roll"
	// AlarmUnverified is a newer document that no quorum of trusted approvers
	// signed.
	AlarmUnverified AlarmType = "unverified"
	// AlarmGarbled is bytes on the platform that are no document, or parts that
	// do not have their digests.
	AlarmGarbled AlarmType = "garbled"
	// AlarmRollOrder is a signed roll that may not follow the one before.
	AlarmRollOrder AlarmType = "roll-order"
	// AlarmBrokenChain is a version that does not follow the one in force.
	AlarmBrokenChain AlarmType = "broken-chain"
	// AlarmInvalidContent is a signed bundle whose content fails its checks on
	// this instance.
	AlarmInvalidContent AlarmType = "invalid-content"
	// AlarmEntryRejects is a bundle in force that the instance's entry cannot run:
	// it goes on under the version before.
	AlarmEntryRejects AlarmType = "entry-rejects"
	// AlarmHalfPublished is a rolled bundle with parts that nobody gives.
	AlarmHalfPublished AlarmType = "half-published"
	// AlarmFloorAbove is an upstream's fencing number above every bundle that
	// this starting instance could find.
	AlarmFloorAbove AlarmType = "floor-above"
	// AlarmIsolated is a starting instance that neither the platform nor a ready
	// peer answers.
	AlarmIsolated AlarmType = "isolated"
	// AlarmNothingRolled is a starting instance that found no roll.
	AlarmNothingRolled AlarmType = "nothing-rolled"
)

// steps holds what operators do about each alarm.
var steps = map[AlarmType]string{
	AlarmSplitVersion:   "find who signed both; build the next version with --supersedes for the digest that is not its previous, and roll it to all",
	AlarmSplitRoll:      "find who signed both; sign and publish a roll with a higher sequence",
	AlarmUnverified:     "verify the published document with wardspoolctl; if it is genuine, bring this instance's approvers up to date; if not, find who wrote it",
	AlarmGarbled:        "publish the packed files again; if a peer sent it, replace that peer",
	AlarmRollOrder:      "make the roll again from the one published last: wardspoolctl roll new --previous",
	AlarmBrokenChain:    "build the next version with --supersedes for the digest in force here, and roll it to all",
	AlarmInvalidContent: "bring the instances to the release that wrote the bundle, or roll a version that they accept",
	AlarmEntryRejects:   "bring this instance's entry to a release that has the plug-in, or roll a version whose policy it can run",
	AlarmHalfPublished:  "publish the missing bundle/parts values; wardspoolctl bundle pack writes them",
	AlarmFloorAbove:     "restore this zone's way to the platform or to a peer, or start the instance with the newest bundle preloaded; if the upstream's number is wrong, roll a version that sets checks_fencing to false for it",
	AlarmIsolated:       "restore this zone's way to the platform or to a peer; or let instances serve their preloaded bundle: isolated: serve-preload",
	AlarmNothingRolled:  "publish a bundle and a roll; wardspoolctl pack commands write the values",
}

// Step returns what operators do about an alarm of this type.
func (t AlarmType) Step() string { return steps[t] }

// Alarm tells operators of something that the ledger cannot mend. Each is raised
// once; Alarms lists those that stand.
type Alarm struct {
	Type AlarmType
	// Ref is the bundle concerned, and Other the one it clashes with.
	Ref, Other bundle.Ref
	// Number is the roll sequence or fencing number concerned, if any.
	Number uint64
	// From is who brought it, if anyone, and Document what it should have been.
	From     Source
	Document Document
	// Err says more, where there is more.
	Err error
}

// String renders the alarm with its operator step.
func (a Alarm) String() string {
	text := string(a.Type)
	if !a.Ref.IsZero() {
		text += fmt.Sprintf(": version %s", a.Ref)
	}
	if !a.Other.IsZero() {
		text += fmt.Sprintf(" against %s", a.Other)
	}
	if a.Number != 0 {
		text += fmt.Sprintf(", number %d", a.Number)
	}
	if a.From != (Source{}) {
		text += fmt.Sprintf(", from %s", a.From)
	}
	if a.Err != nil {
		text += fmt.Sprintf(" (%v)", a.Err)
	}
	return text + "; step: " + a.Type.Step()
}

// maxAlarms bounds the alarms that stand at once and that anyone could raise
// with bytes of his own. The others need a quorum's signatures.
const maxAlarms = 64

// unsigned reports whether the alarm needs no signature to be raised.
func (t AlarmType) unsigned() bool { return t == AlarmGarbled || t == AlarmUnverified }

// alarm raises an alarm unless one like it stands.
func (l *Ledger) alarm(a Alarm) {
	same := func(b Alarm) bool {
		return a.Type == b.Type && a.Ref == b.Ref && a.Other == b.Other && a.Number == b.Number && a.From == b.From && a.Document == b.Document
	}
	if (a.Type.unsigned() && len(l.alarms) >= maxAlarms) || slices.ContainsFunc(l.alarms, same) {
		return
	}
	l.alarms = append(l.alarms, a)
	l.act(a)
}

// clearAlarms drops the alarms that a change of state has answered.
func (l *Ledger) clearAlarms(answered func(Alarm) bool) {
	l.alarms = slices.DeleteFunc(l.alarms, answered)
}

// gave drops the alarm of a garbled document from a source that now gave one of
// the kind that can be read.
func (l *Ledger) gave(from Source, d Document) {
	l.clearAlarms(func(a Alarm) bool { return a.Type == AlarmGarbled && a.From == from && a.Document == d })
}

// apply implements Event.
func (e EntryDecides) apply(l *Ledger) {
	l.clearAlarms(func(a Alarm) bool { return a.Type == AlarmEntryRejects && a.Ref.Version <= e.Version })
	if e.Rejected > e.Version && e.Rejected == l.inForceRef.Version {
		l.alarm(Alarm{Type: AlarmEntryRejects, Ref: l.inForceRef, Err: e.Err})
	}
}

// Alarms lists the alarms that stand.
func (l *Ledger) Alarms() []Alarm { return slices.Clone(l.alarms) }
