package dispatch

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// lapseSettle is how long a decode may take to begin, and its end to be told:
// load reports say nothing of placements younger than this.
const lapseSettle = 250 * time.Millisecond

// unreached lists the holders that this instance cannot reach, so that it does
// not hear of their releases.
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

// lapse ends placements of holders that cannot be reached, as far as the engines
// report that fewer requests run than are known: those have ended, and their
// releases were lost. What a frozen holder's engine still runs is in its report
// and stays.
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

// settled counts the placements that a report of the given time must count if
// they still run.
func (b *book) settled(at time.Time) int {
	n := 0
	for _, gr := range b.grants {
		if at.Sub(gr.decodeAt) >= lapseSettle {
			n++
		}
	}
	return n
}

// endOldest ends the oldest placement of the lost holders that a report of the
// given time must count. It returns false if there is none.
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
