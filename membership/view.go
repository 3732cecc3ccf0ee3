package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// NoAge is the age of something that never happened.
const NoAge = time.Duration(-1)

// View is what is believed at one time. It is never changed.
type View struct {
	// Version rises when a state, a mark, an incarnation, a load report or the
	// trust changes, not when only ages do.
	Version uint64
	At      time.Time
	Trusted bool
	// Leaving says that this instance takes no new work.
	Leaving bool
	// Superseded says that a peer knows a higher incarnation of this instance:
	// its clock went back, or two processes have the same ID.
	Superseded bool
	// Digest is Machine.Digest.
	Digest uint64
	// ListAge is the time since the newest platform list was read, or NoAge.
	ListAge   time.Duration
	Instances []Instance
	Upstreams []Upstream
}

// Instance is what is believed of another instance.
type Instance struct {
	ID      ident.InstanceID
	Zone    ident.Zone
	Address string
	// Incarnation is the highest known, 0 if none is. All lower ones are dead.
	Incarnation ident.Incarnation
	State       State
	Leaving     bool
	// Reachable is false if this instance's own last attempt to reach it failed.
	// An instance can be alive, as others hear it, and not be reachable.
	Reachable bool
	// Listed is false if neither the settings nor the newest list names it.
	Listed bool
	// Age is the time since its last sign of life, or NoAge.
	Age time.Duration
}

// Ended reports whether the given incarnation of the instance is known not to
// run any more, so that what it left behind may be released.
func (i Instance) Ended(inc ident.Incarnation) bool {
	return inc < i.Incarnation || inc == i.Incarnation && i.State == Dead
}

// Upstream is what is believed of a back end.
type Upstream struct {
	ID          ident.UpstreamID
	Zone        ident.Zone
	Address     string
	Incarnation ident.Incarnation
	State       State
	Leaving     bool
	Listed      bool
	// Report is its newest load report, if HasReport; ReportAge is its age.
	HasReport bool
	Report    Report
	ReportAge time.Duration
	// Age is the time since its last sign of life, or NoAge.
	Age time.Duration
}

// viewState tells whether the view changed.
type viewState struct {
	version     uint64
	fingerprint uint64
}

// View returns what is believed now.
func (m *Machine) View(now time.Time) *View {
	trusted := m.Trusted(now)
	at := m.last
	v := &View{
		At:         now,
		Trusted:    trusted,
		Leaving:    m.state.Leaving,
		Superseded: m.superseded,
		Digest:     m.Digest(),
		ListAge:    NoAge,
		Instances:  make([]Instance, 0, len(m.roster)),
		Upstreams:  make([]Upstream, 0, len(m.backends)),
	}
	if m.lists.read {
		v.ListAge = at - m.lists.readAt
	}
	for _, x := range m.roster {
		v.Instances = append(v.Instances, m.instance(at, x))
	}
	doubts := m.zoneDoubts()
	for _, u := range m.backends {
		seen := m.upstream(at, u)
		if seen.State <= Suspect && doubts.covers(u) {
			seen.State = Unreachable
		}
		v.Upstreams = append(v.Upstreams, seen)
	}
	m.number(v)
	return v
}

// instance describes a member.
func (m *Machine) instance(now time.Duration, x *member) Instance {
	return Instance{
		ID:          x.id,
		Zone:        x.zone,
		Address:     x.address,
		Incarnation: x.life.incarnation,
		State:       x.state(now, m.thresholds(x)),
		Leaving:     x.isLeaving(),
		Reachable:   x.reachable(),
		Listed:      x.listed || x.seed,
		Age:         ageOf(now, x.life.heard(now)),
	}
}

// upstream describes a back end.
func (m *Machine) upstream(now time.Duration, u *upstream) Upstream {
	out := Upstream{
		ID:          u.id,
		Zone:        u.zone,
		Address:     u.address,
		Incarnation: u.incarnation,
		State:       u.state(now, m.cfg.UpstreamFresh),
		Leaving:     u.isLeaving(),
		Listed:      u.listed,
		Age:         ageOf(now, u.alive()),
		ReportAge:   NoAge,
	}
	if u.hasReport {
		out.HasReport, out.Report, out.ReportAge = true, u.report, now-u.measured
	}
	return out
}

// ageOf returns the time since an event.
func ageOf(now, at time.Duration) time.Duration {
	if at == never {
		return NoAge
	}
	return now - at
}

// number gives the view its version.
func (m *Machine) number(v *View) {
	h := xxhash.New()
	writeBools(h, v.Trusted, v.Leaving, v.Superseded)
	for i := range v.Instances {
		x := &v.Instances[i]
		writeID(h, string(x.ID), x.Address)
		writeInts(h, uint64(x.Incarnation), uint64(x.State))
		writeBools(h, x.Leaving, x.Reachable, x.Listed)
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		writeID(h, string(u.ID), u.Address)
		writeInts(h, uint64(u.Incarnation), uint64(u.State), uint64(u.Report.Sequence))
		writeBools(h, u.Leaving, u.Listed, u.HasReport)
	}
	if sum := h.Sum64(); sum != m.views.fingerprint || m.views.version == 0 {
		m.views.fingerprint = sum
		m.views.version++
	}
	v.Version = m.views.version
}

// Digest fingerprints the sticky facts of the own zone: each instance's and
// upstream's incarnation and marks. Two instances of a zone with equal digests
// agree on them.
func (m *Machine) Digest() uint64 {
	sum := stickyHash(keyOf(string(m.self.Instance)), uint64(m.state.Incarnation), m.state.Leaving, m.state.Gone)
	for _, x := range m.roster {
		if x.zone == m.self.Zone && x.life.incarnation != 0 {
			sum ^= stickyHash(x.key, uint64(x.life.incarnation), x.life.leaving, x.life.gone)
		}
	}
	for _, u := range m.backends {
		if u.zone == m.self.Zone && u.incarnation != 0 {
			sum ^= stickyHash(u.key, uint64(u.incarnation), u.leaving, false)
		}
	}
	return sum
}

// stickyHash hashes the sticky facts of one process. The digest is the exclusive
// or of all, so that their order is without effect.
func stickyHash(key recordKey, inc uint64, leaving, gone bool) uint64 {
	if inc == 0 {
		return 0
	}
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], uint64(key))
	binary.BigEndian.PutUint64(b[8:], inc)
	setFlag(&b[16], flagLeaving, leaving)
	setFlag(&b[16], flagGone, gone)
	return xxhash.Sum64(b[:])
}

// writeID adds texts to a hash, each ended by a zero byte.
func writeID(h *xxhash.Digest, texts ...string) {
	for _, s := range texts {
		// A Digest's writes never fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
}

// writeInts adds numbers to a hash.
func writeInts(h *xxhash.Digest, values ...uint64) {
	var b [8]byte
	for _, v := range values {
		binary.BigEndian.PutUint64(b[:], v)
		_, _ = h.Write(b[:])
	}
}

// writeBools adds truth values to a hash.
func writeBools(h *xxhash.Digest, values ...bool) {
	for _, v := range values {
		var b byte
		setFlag(&b, 1, v)
		_, _ = h.Write([]byte{b})
	}
}
