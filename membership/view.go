package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// NoAge is the age of an event that never happened.
const NoAge = time.Duration(-1)

// View is the state of all instances and upstreams at one time. It is
// immutable.
type View struct {
	// Version increases when a state, a mark, an incarnation, a load report or
	// the trust changes, but not when only ages do.
	Version uint64
	At      time.Time
	Trusted bool
	// Leaving is true if this instance takes no new work.
	Leaving bool
	// Superseded is true if a peer knows a higher incarnation of this instance:
	// its clock was set back, or two processes have the same ID.
	Superseded bool
	// Digest is the value of Machine.Digest.
	Digest uint64
	// ListAge is the time since the newest platform list was read, or NoAge.
	ListAge   time.Duration
	Instances []Instance
	Upstreams []Upstream
}

// Instance is the state of another instance.
type Instance struct {
	ID      ident.InstanceID
	Zone    ident.Zone
	Address string
	// Incarnation is the highest one known, 0 if none is. All lower ones are
	// dead.
	Incarnation ident.Incarnation
	State       State
	Leaving     bool
	// Reachable is false if this instance's own last attempt to reach it
	// failed. An instance that others hear can be alive and still not be
	// reachable from here.
	Reachable bool
	// Listed is false if neither the settings nor the newest list names it.
	Listed bool
	// Age is the time since its last evidence of liveness, or NoAge.
	Age time.Duration
}

// Ended reports whether the given incarnation of the instance is known to have
// stopped running, so that the resources it left behind may be released.
func (i Instance) Ended(inc ident.Incarnation) bool {
	return inc < i.Incarnation || inc == i.Incarnation && i.State == Dead
}

// Upstream is the state of an upstream.
type Upstream struct {
	ID          ident.UpstreamID
	Zone        ident.Zone
	Address     string
	Incarnation ident.Incarnation
	State       State
	Leaving     bool
	Listed      bool
	// SoftwareVersion is the version of its software, "" if it is not known.
	SoftwareVersion string
	// Report is its newest load report, if HasReport; ReportAge is its age.
	HasReport bool
	Report    Report
	ReportAge time.Duration
	// Age is the time since its last evidence of liveness, or NoAge.
	Age time.Duration
}

// viewState detects whether the view has changed.
type viewState struct {
	version     uint64
	fingerprint uint64
}

// View returns the current view.
func (m *Machine) View(now time.Time) *View {
	trusted := m.Trusted(now)
	at := m.last
	v := &View{
		At:         now,
		Trusted:    trusted,
		Leaving:    m.selfState.Leaving,
		Superseded: m.superseded,
		Digest:     m.Digest(),
		ListAge:    NoAge,
		Instances:  make([]Instance, 0, len(m.sortedMembers)),
		Upstreams:  make([]Upstream, 0, len(m.sortedUpstreams)),
	}
	if m.lists.read {
		v.ListAge = at - m.lists.readAt
	}
	for _, x := range m.sortedMembers {
		v.Instances = append(v.Instances, m.instance(at, x))
	}
	evidence := m.collectZoneEvidence()
	for _, u := range m.sortedUpstreams {
		seen := m.upstream(at, u)
		if seen.State <= Suspect && evidence.zoneUnreachable(u) {
			seen.State = Unreachable
		}
		v.Upstreams = append(v.Upstreams, seen)
	}
	m.assignVersion(v)
	return v
}

// instance returns the view of a member.
func (m *Machine) instance(now time.Duration, x *member) Instance {
	return Instance{
		ID:          x.id,
		Zone:        x.zone,
		Address:     x.address,
		Incarnation: x.facts.incarnation,
		State:       x.state(now, m.thresholds(x)),
		Leaving:     x.isLeaving(),
		Reachable:   x.reachable(),
		Listed:      x.listed || x.seed,
		Age:         ageOf(now, x.facts.lastLiveAt(now)),
	}
}

// upstream returns the view of an upstream.
func (m *Machine) upstream(now time.Duration, u *upstream) Upstream {
	out := Upstream{
		ID:          u.id,
		Zone:        u.zone,
		Address:     u.address,
		Incarnation: u.incarnation,
		State:       u.state(now, m.cfg.UpstreamFresh),
		Leaving:     u.isLeaving(),
		Listed:      u.listed,
		Age:         ageOf(now, u.lastLiveAt()),
		ReportAge:   NoAge,

		SoftwareVersion: u.software.of(u.incarnation),
	}
	if u.hasReport {
		out.HasReport, out.Report, out.ReportAge = true, u.report, now-u.measuredAt
	}
	return out
}

// ageOf returns the time since an event, or NoAge.
func ageOf(now, at time.Duration) time.Duration {
	if at == never {
		return NoAge
	}
	return now - at
}

// assignVersion sets the view's version.
func (m *Machine) assignVersion(v *View) {
	h := xxhash.New()
	writeBools(h, v.Trusted, v.Leaving, v.Superseded)
	for i := range v.Instances {
		x := &v.Instances[i]
		writeStrings(h, string(x.ID), x.Address)
		writeInts(h, uint64(x.Incarnation), uint64(x.State))
		writeBools(h, x.Leaving, x.Reachable, x.Listed)
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		writeStrings(h, string(u.ID), u.Address, u.SoftwareVersion)
		writeInts(h, uint64(u.Incarnation), uint64(u.State), uint64(u.Report.Sequence))
		writeBools(h, u.Leaving, u.Listed, u.HasReport)
	}
	if sum := h.Sum64(); sum != m.views.fingerprint || m.views.version == 0 {
		m.views.fingerprint = sum
		m.views.version++
	}
	v.Version = m.views.version
}

// Digest returns a fingerprint of the sticky facts of the own zone: the
// incarnation and marks of each instance and upstream. Two instances of a zone
// with equal digests agree on them.
func (m *Machine) Digest() uint64 {
	sum := stickyHash(keyOf(string(m.self.Instance)), uint64(m.selfState.Incarnation), m.selfState.Leaving, m.selfState.Ended)
	for _, x := range m.sortedMembers {
		if x.zone == m.self.Zone && x.facts.incarnation != 0 {
			sum ^= stickyHash(x.key, uint64(x.facts.incarnation), x.facts.leaving, x.facts.ended)
		}
	}
	for _, u := range m.sortedUpstreams {
		if u.zone == m.self.Zone && u.incarnation != 0 {
			sum ^= stickyHash(u.key, uint64(u.incarnation), u.leaving, false)
		}
	}
	return sum
}

// stickyHash hashes the sticky facts of one process. The digest is the
// exclusive or of all hashes, so that their order has no effect.
func stickyHash(key recordKey, inc uint64, leaving, ended bool) uint64 {
	if inc == 0 {
		return 0
	}
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], uint64(key))
	binary.BigEndian.PutUint64(b[8:], inc)
	setFlag(&b[16], flagLeaving, leaving)
	setFlag(&b[16], flagEnded, ended)
	return xxhash.Sum64(b[:])
}

// writeStrings adds strings to a hash, each terminated by a zero byte.
func writeStrings(h *xxhash.Digest, texts ...string) {
	for _, s := range texts {
		// Writes to a Digest never fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
}

// writeInts adds integers to a hash.
func writeInts(h *xxhash.Digest, values ...uint64) {
	var b [8]byte
	for _, v := range values {
		binary.BigEndian.PutUint64(b[:], v)
		_, _ = h.Write(b[:])
	}
}

// writeBools adds booleans to a hash.
func writeBools(h *xxhash.Digest, values ...bool) {
	for _, v := range values {
		var b byte
		setFlag(&b, 1, v)
		_, _ = h.Write([]byte{b})
	}
}
