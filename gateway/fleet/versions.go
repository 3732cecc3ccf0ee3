package fleet

import (
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

// retiredVersion is a software version that an upstream had until it restarted.
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
		if now.Sub(r.at) <= origin.TTL {
			add(r.service, r.version)
		}
	}
	return out
}
