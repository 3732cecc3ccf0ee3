package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/origin"
)

// versionCacheTTL is how long the software versions are kept. Those of removed upstreams expire.
const versionCacheTTL = time.Second

// versionCache holds the software versions of the engines of each service.
type versionCache struct {
	at        time.Time
	listCount uint64
	versions  map[string][]string
}

// softwareVersions returns the software versions of the engines of a service that are listed or were removed
// within origin.TTL.
func (v *View) softwareVersions(now time.Time, service string) []string {
	c := &v.versionCache
	if c.versions == nil || c.listCount != v.listCount || now.Sub(c.at) >= versionCacheTTL {
		*c = versionCache{at: now, listCount: v.listCount, versions: v.collectVersions(now)}
	}
	return c.versions[service]
}

// retiredVersion is a software version that an upstream had until it restarted or was removed. service is
// "" if nothing but the removal is known.
type retiredVersion struct {
	service, version string
	at               time.Time
}

// retireVersion records the version of an upstream that runs another one now.
func (v *View) retireVersion(now time.Time, u dialect.Upstream) {
	v.retired = slices.DeleteFunc(v.retired, func(r retiredVersion) bool {
		return now.Sub(r.at) > origin.TTL || r.service == u.Service && r.version == u.SoftwareVersion
	})
	v.retired = append(v.retired, retiredVersion{service: u.Service, version: u.SoftwareVersion, at: now})
}

// collectVersions returns the software versions by service.
func (v *View) collectVersions(now time.Time) map[string][]string {
	out := map[string][]string{}
	add := func(service, version string) {
		if !slices.Contains(out[service], version) {
			out[service] = append(out[service], version)
		}
	}
	for _, e := range v.entries {
		if e.upstream.Stage != "" && !(e.gone && now.Sub(e.updatedAt) > origin.TTL) {
			add(e.upstream.Service, e.upstream.SoftwareVersion)
		}
	}
	for _, r := range v.retired {
		switch {
		case now.Sub(r.at) > origin.TTL:
		case r.service == "":
			for service := range out {
				add(service, r.version)
			}
		default:
			add(r.service, r.version)
		}
	}
	return out
}

// versionListing says when the software versions of a service's engines were first listed. It is not modified.
type versionListing struct {
	// since is zero for versions that were in the first list of the service, which may have been listed for
	// any time. latest is the latest of all.
	since  map[string]time.Time
	latest time.Time
}

// recordVersionListed records when the version of an upstream was first listed, unless it is among those that
// served before.
func (v *View) recordVersionListed(now time.Time, u dialect.Upstream, served map[string][]string) {
	before := served[u.Service]
	if u.Stage == "" || slices.Contains(before, u.SoftwareVersion) {
		return
	}
	if len(before) == 0 {
		now = time.Time{}
	}
	known := v.versionListings[u.Service]
	if since, ok := known.since[u.SoftwareVersion]; ok && since.Equal(now) {
		return
	}
	listing := versionListing{since: map[string]time.Time{u.SoftwareVersion: now}, latest: now}
	for version, since := range known.since {
		if version != u.SoftwareVersion && (slices.Contains(before, version) || since.Equal(now)) {
			listing.since[version] = since
		}
	}
	listings := maps.Clone(v.versionListings)
	if listings == nil {
		listings = map[string]versionListing{}
	}
	listings[u.Service] = listing
	v.versionListings = listings
}

// MayBegin returns the upstreams of a service's list at which a resumable stream may begin. An engine of a
// software version that has just been listed is not among them while others can be used: an instance whose list
// doesn't show the version yet would take the streams that began there for those of another one.
func (s *Snapshot) MayBegin(now time.Time, service string, list []dialect.Upstream) []dialect.Upstream {
	listing := s.versionListings[service]
	if now.Sub(listing.latest) > maxVersionsAge {
		return list
	}
	usable := false
	settled := slices.DeleteFunc(slices.Clone(list), func(u dialect.Upstream) bool {
		if u.Stage != dialect.StageDecode {
			return false
		}
		unsettled := now.Sub(listing.since[u.SoftwareVersion]) <= maxVersionsAge
		usable = usable || !unsettled && !u.Leaving
		return unsettled
	})
	if !usable {
		return list
	}
	return settled
}

// unidentifiedVersion stands for the software version of an engine of which nothing but its removal is known.
const unidentifiedVersion = "\x00"

// decodeEngines returns the listed decode engines of a service.
func (v *View) decodeEngines(now time.Time, service string) (engines []origin.Engine) {
	for _, e := range v.entries {
		if e.upstream.Stage == dialect.StageDecode && e.upstream.Service == service && !e.gone {
			engines = append(engines, origin.Engine{Upstream: e.upstream, Restaged: !e.restagedAt.IsZero() && now.Sub(e.restagedAt) <= origin.TTL})
		}
	}
	return engines
}

// retireHistory records the software versions of engines that the store listed before this view's first list
// and lists otherwise or not at all now, and which listed ones had another stage. It returns the number of
// those recorded.
func (v *View) retireHistory(now time.Time, h dialect.History) (retired int) {
	for _, u := range h.States {
		e := v.entries[u.ID]
		if e != nil && e.upstream.Incarnation == u.Incarnation && e.upstream.Stage != u.Stage {
			e.restagedAt = now
		}
		if u.Stage == "" || e != nil && !e.gone && e.upstream.SoftwareVersion == u.SoftwareVersion && e.upstream.Incarnation == u.Incarnation {
			continue
		}
		v.retireVersion(now, u)
		retired++
	}
	if h.Unidentified > 0 {
		v.retireVersion(now, dialect.Upstream{SoftwareVersion: unidentifiedVersion})
		retired += h.Unidentified
	}
	v.versionCache = versionCache{}
	return retired
}
