package kernel

import (
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// What engines of two software versions write of one stream does not fit together, and
// engines do not check it. A stream that has begun therefore goes on only at engines of the
// version that began it. An unknown version counts as a version of its own.

// mayContinueAt reports whether the call's decode may be sent to an engine, which must not be nil:
// the stream has not begun, or the engine runs the software version that began it.
func (c *call) mayContinueAt(u *Upstream) bool {
	return c.origin == nil || u.SoftwareVersion == c.origin.softwareVersion
}

// softwareVersion returns the software version that began the call's stream, nil if the stream
// has not begun.
func (c *call) softwareVersion() *string {
	if c.origin == nil {
		return nil
	}
	version := c.origin.softwareVersion
	return &version
}

// streamBegun binds a call to the software version of the attempt that wrote the first token. A
// run of another version that goes on beside that attempt ends.
func (k *Kernel) streamBegun(c *call, a *attempt) {
	if c.origin != nil || a.stage != stageDecode {
		return
	}
	c.origin = a
	if c.kept != nil && c.kept.active != nil && c.kept.active.softwareVersion != a.softwareVersion {
		k.dropKept(c)
	}
}

// outputSeen binds a call of which tokens have been written to the version that began its stream.
// first is the attempt that wrote the first token, if the driver knows it, and reporter the one whose event
// brought the news.
func (k *Kernel) outputSeen(c *call, first ident.AttemptID, reporter *attempt) {
	if c.delivered == 0 {
		return
	}
	if a, ok := k.attempts[first]; ok && a.call == c {
		k.streamBegun(c, a)
		return
	}
	for _, a := range c.released {
		if a.id == first {
			k.streamBegun(c, a)
			return
		}
	}
	k.streamBegun(c, reporter)
}

// otherVersionGranted looks for another engine than u, which the slot policy granted although it runs another
// version. The slot policy may be of a release that does not know versions and insist on u.
func (k *Kernel) otherVersionGranted(c *call, u *Upstream) {
	if !c.avoids(u.ID) {
		c.avoid = append(c.avoid, u.ID)
		k.retryDecode(c, ReasonOtherVersion)
		return
	}
	k.releaseSlot(c)
	k.dropKV(c)
	k.requeue(c, ReasonOtherVersion, k.now.Add(retryPlacement))
}

// learnVersions completes attempts that were sent to engines whose software version was not known.
func (k *Kernel) learnVersions() {
	for _, a := range k.attempts {
		if a.softwareVersion != "" || a.incarnation == 0 {
			continue
		}
		if u := k.fleet.upstream(a.upstream); u != nil && u.Incarnation == a.incarnation {
			a.softwareVersion = u.SoftwareVersion
		}
	}
}

// endOrphans ends the streams that wait for an engine of a software version that is gone.
func (k *Kernel) endOrphans() {
	if !k.trusted() {
		return
	}
	var orphans []*call
	for _, c := range k.calls {
		if !c.started() && k.versionGone(c) {
			orphans = append(orphans, c)
		}
	}
	sortCalls(orphans)
	for _, c := range orphans {
		k.failOrphan(c)
	}
}

// failOrphan ends a stream whose software version is gone.
func (k *Kernel) failOrphan(c *call) {
	k.fail(c, ReasonVersionGone, api.ProblemUpstreamFailed, "no engine of the software version that began the stream is left")
}

// versionGone reports whether engines serve the call's model, but none that runs the software
// version that began its stream or may turn out to run it.
func (k *Kernel) versionGone(c *call) bool {
	if c.origin == nil {
		return false
	}
	served := false
	for _, i := range k.fleet.decodes[c.request.Model] {
		u := &k.fleet.view.Upstreams[i]
		if u.Liveness < Dead && u.Liveness != Leaving && (u.SoftwareVersion == "" || c.mayContinueAt(u)) {
			return false
		}
		served = served || u.Liveness <= Suspect
	}
	return served
}
