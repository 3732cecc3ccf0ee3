package ledger

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// clone copies a state so that the incarnation of instance i may be modified; the
// others are shared with the original.
func (w *modelState) clone(i int) *modelState {
	c := *w
	c.incarnations = slices.Clone(w.incarnations)
	v := *w.incarnations[i]
	v.ledger = v.ledger.clone()
	v.peersFloor = slices.Clone(v.peersFloor)
	v.abandoned = slices.Clone(v.abandoned)
	v.inFlight = slices.Clone(v.inFlight)
	c.incarnations[i] = &v
	return &c
}

func (l *Ledger) clone() *Ledger {
	c := *l
	c.actions = nil
	c.alarms = slices.Clone(l.alarms)
	c.parts.have = l.parts.have.Clone()
	c.parts.holders = slices.Clone(l.parts.holders)
	c.parts.completePeers = slices.Clone(l.parts.completePeers)
	c.parts.missing = slices.Clone(l.parts.missing)
	c.parts.incomplete = slices.Clone(l.parts.incomplete)
	c.floor.answers = slices.Clone(l.floor.answers)
	return &c
}

// key identifies a state by everything that its behaviour and the checks depend
// on.
func (m *model) key(w *modelState) string {
	b := fmt.Appendf(nil, "%d %d %d", w.published, w.restarts, w.fence)
	for _, v := range w.incarnations {
		b = v.appendKey(b, m.signedTwice)
	}
	return string(b)
}

func (v *incarnation) appendKey(b []byte, signedTwice bool) []byte {
	l := v.ledger
	ready := l.floor.status == StatusReady
	b = append(append(b, '|'), l.floor.status[0])
	b = append(b, l.rollDigest[:4]...)
	b = append(b, l.inForceRef.Digest[:4]...)
	for _, version := range v.abandoned {
		b = append(b, 'x', byte(version))
	}
	for _, a := range l.alarms {
		if a.Type == AlarmSplitVersion {
			b = append(b, 's', byte(a.Ref.Version))
		}
	}
	for _, h := range v.inFlight {
		b = append(b, '~')
		// A ready instance rejects every older roll, and the roll's content
		// matters only if it reveals two signed bundles of one version.
		if h != nil && h.Roll != nil && (!ready || signedTwice || h.Roll.Roll.Sequence > l.roll.Roll.Sequence) {
			b = appendReport(b, h)
		}
	}
	if ready {
		// The requirements on an incarnation and the answers that it received
		// matter only until it is ready.
		return b
	}
	b = fmt.Appendf(b, "%d %v %v %d", v.number, v.peersFloor, v.timedOut, v.fenceFloor)
	for _, a := range l.floor.answers {
		b = fmt.Appendf(b, ",%v %v %d", a.answered, a.authoritative, a.fence)
	}
	return b
}

func appendReport(b []byte, r *FloorReport) []byte {
	if r.Ready {
		b = append(b, 'r')
	}
	return append(b, byte(r.Roll.Roll.Sequence), r.Roll.Roll.Target.Digest[0])
}

// modelChecker caches the costly document checks. Parts are not modelled: every
// instance has all parts of every bundle.
func modelChecker(parts bundle.PartSource) checker {
	real := newChecker()
	errs := map[string]error{}
	cached := func(document any, a bundle.Approvers, verify func() error) error {
		key := fmt.Sprintf("%p %d %s", document, a.Epoch, a.Keys[0].Name)
		if err, ok := errs[key]; ok {
			return err
		}
		errs[key] = verify()
		return errs[key]
	}
	contents := map[*bundle.Manifest]*config.Content{}
	return checker{
		head: func(h *bundle.Head, a bundle.Approvers) error {
			return cached(h, a, func() error { return real.head(h, a) })
		},
		roll: func(s *bundle.SignedRoll, a bundle.Approvers) error {
			return cached(s, a, func() error { return real.roll(s, a) })
		},
		missing: func(*bundle.Manifest, bundle.PartSource) ([]bundle.Digest, error) { return nil, nil },
		assemble: func(m *bundle.Manifest, _ bundle.PartSource) (*config.Content, error) {
			if c, ok := contents[m]; ok {
				return c, nil
			}
			c, err := real.assemble(m, parts)
			contents[m] = c
			return c, err
		},
	}
}
