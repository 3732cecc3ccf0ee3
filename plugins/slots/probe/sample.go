package probe

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// sample is a random choice of engines with free slots. It is used for all
// decisions made at the same time.
type sample struct {
	at    time.Time
	valid bool
	ids   []ident.UpstreamID
}

// waitUnsampled is the expected wait reported for engines outside the sample, so
// that they rank after those in it.
const waitUnsampled = 50 * time.Millisecond

// waitFull is the expected wait for a slot that is reported for a full engine.
const waitFull = 500 * time.Millisecond

// Availability implements kernel.SlotPolicy. An engine outside the sample is
// reported as having no free slot, as long as the sample is not empty.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	free := 0
	if slotkit.Usable(u) {
		free = max(p.freeSlots(u), 0)
	}
	switch {
	case free == 0:
		return kernel.Availability{NextFree: waitFull}
	case p.sampled(u.ID):
		return kernel.Availability{Free: free}
	}
	return kernel.Availability{NextFree: waitUnsampled}
}

// sampled reports whether the engine is in the current sample, or the sample is
// empty. It draws a new sample if time has passed since the last one.
func (p *Policy) sampled(id ident.UpstreamID) bool {
	s := &p.sample
	if !s.valid || !s.at.Equal(p.host.Now()) {
		p.drawSample()
	}
	for _, other := range s.ids {
		if other == id {
			return true
		}
	}
	return len(s.ids) == 0
}

// drawSample chooses a sample of up to Choices engines among those with a free
// slot.
func (p *Policy) drawSample() {
	s := &p.sample
	s.at, s.valid = p.host.Now(), true
	s.ids = s.ids[:0]
	seen := 0
	v := p.host.View()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role != config.RoleDecode || !slotkit.Usable(u) || p.freeSlots(u) <= 0 {
			continue
		}
		seen++
		if len(s.ids) < p.Choices {
			s.ids = append(s.ids, u.ID)
			continue
		}
		// Reservoir sampling: every engine is kept with the same probability.
		if j := p.host.Rand().IntN(seen); j < p.Choices {
			s.ids[j] = u.ID
		}
	}
}
