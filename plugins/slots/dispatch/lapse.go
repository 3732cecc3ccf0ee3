package dispatch

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// lapseSettle covers the time from the choice of a decode engine to the start of
// the decode and from the decode's end to the arrival of its release. Load
// reports are not used to judge placements younger than this.
const lapseSettle = 250 * time.Millisecond

// unreached returns the set of holders that this instance cannot reach and whose
// releases therefore do not arrive. It is nil if there are none.
func (g *group) unreached() map[ident.InstanceID]bool {
	var list map[ident.InstanceID]bool
	for _, in := range g.p.host.View().Instances {
		if in.Life != kernel.Unreachable {
			continue
		}
		if list == nil {
			list = map[ident.InstanceID]bool{}
		}
		list[in.ID] = true
	}
	return list
}

// lapse ends placements of unreachable holders whose releases were lost. A
// placement without a decode engine ends once its prefill should be done. Of
// those with a decode engine, as many end as the engine's load report counts
// fewer requests than are known. A request that an engine still runs for a
// frozen holder is in the report, so its placement is kept.
func (g *group) lapse() {
	lost := g.unreached()
	if lost == nil {
		return
	}
	for _, gr := range g.grants {
		if lost[gr.holder] && gr.decode == "" && g.now().After(slotkit.Later(gr.doneAt, gr.at)) {
			g.end(gr)
		}
	}
	r := g.engines()
	for n, i := range r.decodes {
		u := &g.p.host.View().Upstreams[i]
		if g.now().Sub(u.Load.At) > endedTime {
			continue
		}
		for range r.books[n].settled(u.Load.At) - u.Load.Running - u.Load.Waiting {
			if !g.endOldest(r.books[n], lost, u.Load.At) {
				break
			}
		}
	}
}

// settled returns the number of placements that a load report made at the given
// time must include if their requests still run.
func (b *book) settled(at time.Time) int {
	n := 0
	for _, gr := range b.grants {
		if at.Sub(gr.decodeAt) >= lapseSettle {
			n++
		}
	}
	return n
}

// endOldest ends the oldest placement of the lost holders that a load report
// made at the given time must include. It returns false if there is none.
func (g *group) endOldest(b *book, lost map[ident.InstanceID]bool, at time.Time) bool {
	var oldest *grant
	for _, gr := range b.grants {
		if !lost[gr.holder] || at.Sub(gr.decodeAt) < lapseSettle {
			continue
		}
		if oldest == nil || gr.decodeAt.Before(oldest.decodeAt) {
			oldest = gr
		}
	}
	if oldest == nil {
		return false
	}
	g.end(oldest)
	return true
}
