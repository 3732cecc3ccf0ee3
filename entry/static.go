package entry

import (
	"os"
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// staticVersion is the bundle version of a static fleet.
const staticVersion = 1

// loadStatic reads the bundle of a static fleet. Its errors are *os.PathError and
// *bundle.FindingsError.
func loadStatic(s *StaticSettings) (*config.Content, error) {
	data, err := os.ReadFile(s.Bundle)
	if err != nil {
		return nil, err
	}
	content, findings := bundle.ParseSource(s.Bundle, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return content, nil
}

// staticView returns the view of a static fleet, in which every member is live.
func staticView(s *Settings, self kernel.Self, version uint64, now time.Time) *kernel.View {
	v := &kernel.View{
		Version: version,
		Trusted: true,
		Instances: []kernel.Instance{{
			ID:          self.Instance,
			Zone:        self.Zone,
			Incarnation: self.Incarnation,
			Liveness:    kernel.Live,
		}},
	}
	for i, u := range s.Static.Upstreams {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			Index:       i,
			ID:          u.ID,
			Zone:        u.Zone,
			Address:     u.Address,
			Incarnation: ident.Incarnation(1),
			Liveness:    kernel.Live,
			Load:        kernel.Load{At: now},
		})
	}
	return v
}
