package ledger

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/bundle"
)

// AlarmType identifies a condition that an operator must resolve. Each type has
// one remedy, returned by Remedy.
type AlarmType string

// The alarm types.
const (
	// AlarmSplitVersion reports two different signed bundles with one version.
	AlarmSplitVersion AlarmType = "split-version"
	// AlarmSplitRoll reports two different signed rolls with one sequence number.
	AlarmSplitRoll AlarmType = "split-roll"
	// AlarmUnverified reports a newer document that is not signed by a quorum of
	// trusted approvers.
	AlarmUnverified AlarmType = "unverified"
	// AlarmUndecodable reports bytes that do not decode as a document, or parts
	// that do not match their digests.
	AlarmUndecodable AlarmType = "garbled"
	// AlarmRollOrder reports a signed roll that may not follow the current one.
	AlarmRollOrder AlarmType = "roll-order"
	// AlarmBrokenChain reports a version whose manifest does not name the bundle in
	// force as its predecessor.
	AlarmBrokenChain AlarmType = "broken-chain"
	// AlarmInvalidContent reports a signed bundle whose content fails validation
	// on this instance.
	AlarmInvalidContent AlarmType = "invalid-content"
	// AlarmEntryRejects reports a bundle in force that the instance's entry
	// cannot run; the entry continues with the previous version.
	AlarmEntryRejects AlarmType = "entry-rejects"
	// AlarmIncompletelyPublished reports a bundle that a roll names and some of
	// whose parts no source provides.
	AlarmIncompletelyPublished AlarmType = "half-published"
	// AlarmFloorAbove reports an upstream's fencing number that is higher than
	// every bundle version that this starting instance could find.
	AlarmFloorAbove AlarmType = "floor-above"
	// AlarmIsolated reports that neither the platform nor a ready peer answers
	// this starting instance.
	AlarmIsolated AlarmType = "isolated"
	// AlarmNoRoll reports that this starting instance found no roll.
	AlarmNoRoll AlarmType = "nothing-rolled"
)

// operatorSteps maps each alarm type to the action that operators take.
var operatorSteps = map[AlarmType]string{
	AlarmSplitVersion:          "find who signed both; build the next version with --supersedes for the digest that is not its previous, and roll it to all",
	AlarmSplitRoll:             "find who signed both; sign and publish a roll with a higher sequence",
	AlarmUnverified:            "verify the published document with wardspoolctl; if it is genuine, bring this instance's approvers up to date; if not, find who wrote it",
	AlarmUndecodable:           "publish the packed files again; if a peer sent it, replace that peer",
	AlarmRollOrder:             "make the roll again from the one published last: wardspoolctl roll new --previous",
	AlarmBrokenChain:           "build the next version with --supersedes for the digest in force here, and roll it to all",
	AlarmInvalidContent:        "bring the instances to the release that wrote the bundle, or roll a version that they accept",
	AlarmEntryRejects:          "bring this instance's entry to a release that has the plug-in, or roll a version whose policy it can run",
	AlarmIncompletelyPublished: "publish the missing bundle/parts values; wardspoolctl bundle pack writes them",
	AlarmFloorAbove:            "restore this zone's way to the platform or to a peer, or start the instance with the newest bundle preloaded; if the upstream's number is wrong, roll a version that sets checks_fencing to false for it",
	AlarmIsolated:              "restore this zone's way to the platform or to a peer; or let instances serve their preloaded bundle: isolated: serve-preload",
	AlarmNoRoll:                "publish a bundle and a roll; wardspoolctl pack commands write the values",
}

// Remedy returns the action that operators take for an alarm of this type.
func (t AlarmType) Remedy() string { return operatorSteps[t] }

// Alarm reports to operators a condition that the ledger cannot resolve itself.
// Each alarm is raised once; Ledger.Alarms lists the active ones.
type Alarm struct {
	Type AlarmType
	// Ref is the bundle concerned, and Other the one it conflicts with.
	Ref, Other bundle.Ref
	// Number is the roll sequence or fencing number concerned, if any.
	Number uint64
	// From is the source of the document, if any, and Document its expected kind.
	From     Source
	Document Document
	// Err is the underlying error, if any.
	Err error
}

// String formats the alarm, including the operator's remedy.
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
	return text + "; step: " + a.Type.Remedy()
}

// maxAlarms is the number of active alarms from which on no unsigned ones are
// raised: anyone can cause unsigned alarms by sending arbitrary bytes. The other
// types need the signatures of a quorum.
const maxAlarms = 64

// unsigned reports whether an unsigned document can raise the alarm.
func (t AlarmType) unsigned() bool { return t == AlarmUndecodable || t == AlarmUnverified }

// alarm raises an alarm unless an equal one is active.
func (l *Ledger) alarm(a Alarm) {
	same := func(b Alarm) bool {
		return a.Type == b.Type && a.Ref == b.Ref && a.Other == b.Other && a.Number == b.Number && a.From == b.From && a.Document == b.Document
	}
	if (a.Type.unsigned() && len(l.alarms) >= maxAlarms) || slices.ContainsFunc(l.alarms, same) {
		return
	}
	l.alarms = append(l.alarms, a)
	l.emit(a)
}

// clearAlarms removes the alarms that a state change has resolved.
func (l *Ledger) clearAlarms(answered func(Alarm) bool) {
	l.alarms = slices.DeleteFunc(l.alarms, answered)
}

// clearUndecodable clears the AlarmUndecodable of a source that has now sent a
// decodable document of the same kind.
func (l *Ledger) clearUndecodable(from Source, d Document) {
	l.clearAlarms(func(a Alarm) bool { return a.Type == AlarmUndecodable && a.From == from && a.Document == d })
}

// apply implements Event.
func (e EntryVersion) apply(l *Ledger) {
	l.clearAlarms(func(a Alarm) bool { return a.Type == AlarmEntryRejects && a.Ref.Version <= e.Version })
	if e.Rejected > e.Version && e.Rejected == l.inForceRef.Version {
		l.alarm(Alarm{Type: AlarmEntryRejects, Ref: l.inForceRef, Err: e.Err})
	}
}

// Alarms returns the active alarms.
func (l *Ledger) Alarms() []Alarm { return slices.Clone(l.alarms) }
