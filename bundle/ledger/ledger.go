package ledger

import (
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// Status is whether the instance may serve and give orders.
type Status string

// The states. An instance starts in StatusStarting, becomes ready, and then
// alternates between ready and rechecking.
const (
	// StatusStarting means that the instance is determining the floor. It
	// serves no requests and gives no orders.
	StatusStarting Status = "starting"
	// StatusReady means that the instance serves by the bundle in force.
	StatusReady Status = "ready"
	// StatusRechecking means that the process was paused and the instance
	// queries its sources again for changes that it missed. It may continue to
	// serve by the bundle in force, but gives no orders.
	StatusRechecking Status = "rechecking"
)

// Ledger is the state machine of one instance. It is not safe for concurrent use.
type Ledger struct {
	settings      Settings
	checker       checker
	disabledGuard guard

	now     time.Time
	actions []Action
	alarms  []Alarm

	// approvers is the currently trusted set.
	approvers bundle.Approvers
	// roll is the newest accepted roll, and next a head above its target that is
	// fetched ahead of its own roll.
	roll       *bundle.SignedRoll
	rollDigest bundle.Digest
	next       *bundle.Head
	nextRef    bundle.Ref

	// inForce is nil until a bundle is in force.
	inForce    *bundle.Head
	inForceRef bundle.Ref
	content    *config.Content
	// invalidRef is a bundle that could not be assembled and is not retried.
	invalidRef bundle.Ref

	parts partState
	floor floorState
}

// New returns the ledger of a starting instance. It returns a
// *bundle.ApproversError if the set of trusted approvers is invalid.
func New(s Settings, now time.Time) (*Ledger, error) {
	if err := s.Approvers.Check(); err != nil {
		return nil, err
	}
	return &Ledger{
		settings: s.withDefaults(), checker: newChecker(), now: now,
		approvers: s.Approvers,
		parts:     partState{have: &bundle.PartSet{}},
		floor:     newFloorState(StatusStarting, now),
	}, nil
}

// Step applies one event and returns the resulting actions. now must come from a
// monotonic clock and not be before that of the previous call.
func (l *Ledger) Step(now time.Time, e Event) []Action {
	paused := now.Sub(l.now) >= l.settings.PauseThreshold
	l.now = now
	if paused {
		l.recheck()
	}
	e.apply(l)
	l.reconcile()
	actions := l.actions
	l.actions = nil
	return actions
}

// emit appends an action to the result of the current Step.
func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

// apply implements Event.
func (Tick) apply(*Ledger) {}

// reconcile updates the state and emits the actions that follow from an event.
func (l *Ledger) reconcile() {
	l.updateMissing()
	if l.floorDetermined() {
		l.putAssignedInForce()
		l.becomeReady()
	}
	l.fetch()
	l.querySources()
	l.watchTimeouts()
}

// assigned returns the bundle that the newest roll assigns to this instance.
func (l *Ledger) assigned() bundle.Ref {
	if l.roll == nil {
		return bundle.Ref{}
	}
	r := &l.roll.Roll
	if !l.enabled(guardCoverage) || (!l.enabled(guardAbandoned) && r.Stage == bundle.StageAbandoned) {
		return r.Target
	}
	ref := r.Assigned(l.settings.Instance, l.settings.Zone)
	if ref == r.Target && l.baseReplacesTarget() {
		return r.Base
	}
	return ref
}

// putAssignedInForce puts the assigned bundle into force if its version is above
// the one in force and none of its parts is missing.
func (l *Ledger) putAssignedInForce() {
	ref := l.assigned()
	rises := ref.Version > l.inForceRef.Version
	if !l.enabled(guardMonotonic) {
		rises = ref != l.inForceRef
	}
	if ref.IsZero() || !rises || ref == l.invalidRef {
		return
	}
	head, _ := l.roll.Head(ref)
	if l.inForce != nil && l.enabled(guardChain) && !head.Manifest.Follows(l.inForceRef) {
		l.alarm(Alarm{Type: AlarmBrokenChain, Ref: ref, Other: l.inForceRef})
		return
	}
	if l.parts.isIncomplete(ref) {
		return
	}
	content, err := l.checker.assemble(&head.Manifest, l.parts.have)
	if err != nil {
		l.invalidRef = ref
		l.alarm(Alarm{Type: AlarmInvalidContent, Ref: ref, Err: err})
		return
	}
	l.putInForce(head, ref, content)
}

func (l *Ledger) putInForce(head *bundle.Head, ref bundle.Ref, content *config.Content) {
	l.emit(InForce{Ref: ref, From: l.inForceRef, Content: content})
	l.inForce, l.inForceRef, l.content = head, ref, content
	l.clearAlarms(func(a Alarm) bool { return a.Ref.Version < ref.Version && a.Number == 0 })
	l.prune()
	l.emit(Announce{Summary: l.Summary()})
}
