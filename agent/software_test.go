package agent

import (
	"testing"
	"time"

	"github.com/wardspool/wardspool/config"
)

// TestEntriesLearnSoftwareVersions guards against a version of the platform's list that does not reach the entries.
func TestEntriesLearnSoftwareVersions(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(3, "hall-a")
		known := func(version string) func() bool {
			return func() bool {
				for _, n := range nodes {
					u := n.entry.upstream("dc-1")
					if u == nil || u.SoftwareVersion != version {
						return false
					}
				}
				return true
			}
		}
		f.within(5*time.Second, "version not stated", known(""))
		for _, version := range []string{"v1", "v2"} {
			f.upstreams[0].SoftwareVersion = version
			f.list()
			f.within(5*time.Second, "version "+version, known(version))
		}
	})
}
