package dispatch

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// settleTime covers the time from the choice of a decode engine to the start of
// the decode and from the decode's end to the arrival of its release. Load
// reports are not used to judge placements younger than this.
const settleTime = 250 * time.Millisecond

// unreachableHolders returns the set of holders that this instance cannot reach
// and whose releases therefore do not arrive. It is nil if there are none.
func (md *modelDispatcher) unreachableHolders() map[ident.InstanceID]bool {
	var list map[ident.InstanceID]bool
	for _, in := range md.p.host.View().Instances {
		if in.Liveness != kernel.Unreachable {
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
func (md *modelDispatcher) lapse() {
	unreachable := md.unreachableHolders()
	if unreachable == nil {
		return
	}
	for _, gr := range md.grants {
		if unreachable[gr.holder] && gr.decode == "" && md.now().After(slotkit.Later(gr.doneAt, gr.at)) {
			md.endPlacement(gr)
		}
	}
	r := md.engines()
	for n, i := range r.decodes {
		u := &md.p.host.View().Upstreams[i]
		if md.now().Sub(u.Load.At) > pastUseRetention {
			continue
		}
		for range r.usage[n].settledCount(u.Load.At) - u.Load.Running - u.Load.Waiting {
			if !md.endOldest(r.usage[n], unreachable, u.Load.At) {
				break
			}
		}
	}
}

// settledCount returns the number of placements that a load report made at the
// given time must include if their requests still run.
func (su *slotUsage) settledCount(at time.Time) int {
	n := 0
	for _, gr := range su.grants {
		if at.Sub(gr.decodeAt) >= settleTime {
			n++
		}
	}
	return n
}

// endOldest ends the oldest placement of the unreachable holders that a load
// report made at the given time must include. It returns false if there is none.
func (md *modelDispatcher) endOldest(su *slotUsage, unreachable map[ident.InstanceID]bool, at time.Time) bool {
	var oldest *grant
	for _, gr := range su.grants {
		if !unreachable[gr.holder] || at.Sub(gr.decodeAt) < settleTime {
			continue
		}
		if oldest == nil || gr.decodeAt.Before(oldest.decodeAt) {
			oldest = gr
		}
	}
	if oldest == nil {
		return false
	}
	md.endPlacement(oldest)
	return true
}
