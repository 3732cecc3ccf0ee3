// Package scorer_test measures the time and the allocations of a complete
// placement decision with the standard filters and scorers.
package scorer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	prefixindex "github.com/wardspool/wardspool/kernel/prefix"
	"github.com/wardspool/wardspool/plugins/filter/ejected"
	"github.com/wardspool/wardspool/plugins/filter/leaving"
	"github.com/wardspool/wardspool/plugins/filter/model"
	"github.com/wardspool/wardspool/plugins/filter/role"
	"github.com/wardspool/wardspool/plugins/filter/stale"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
	"github.com/wardspool/wardspool/plugins/scorer/firstoutput"
	"github.com/wardspool/wardspool/plugins/scorer/pace"
	"github.com/wardspool/wardspool/plugins/scorer/prefix"
	"github.com/wardspool/wardspool/plugins/scorer/zone"
)

// maxCandidates is the number of lowest-cost engines of each role that are
// combined into pairs.
const maxCandidates = 4

// search is a simplified copy of the kernel's candidate search.
type search struct {
	filters  []kernel.Filter
	scorers  []kernel.Scorer
	prefills []candidate
	decodes  []candidate
	byRole   map[config.Role][]int
}

// candidate is an upstream and its cost in one role.
type candidate struct {
	u    *kernel.Upstream
	cost float64
}

// run returns the prefill and decode engine of the pair with the lowest total
// cost.
func (s *search) run(d *kernel.Decision) (p, q *kernel.Upstream) {
	s.prefills = s.lowestCost(s.prefills[:0], d, config.RolePrefill)
	s.decodes = s.lowestCost(s.decodes[:0], d, config.RoleDecode)
	least := 0.0
	for _, a := range s.prefills {
		for _, b := range s.decodes {
			cost := a.cost + b.cost
			for _, sc := range s.scorers {
				cost += sc.Pair(d, a.u, b.u)
			}
			if p == nil || cost < least {
				p, q, least = a.u, b.u, cost
			}
		}
	}
	return p, q
}

// lowestCost computes the cost of the engines that run in the role want and
// pass all filters, and returns best with the engines of lowest cost, in
// ascending order.
func (s *search) lowestCost(best []candidate, d *kernel.Decision, want config.Role) []candidate {
	for _, i := range s.byRole[want] {
		u := &d.View.Upstreams[i]
		if !s.keep(d, u, want) {
			continue
		}
		cost := 0.0
		for _, sc := range s.scorers {
			if want == config.RolePrefill {
				cost += sc.Prefill(d, u)
			} else {
				cost += sc.Decode(d, u)
			}
		}
		best = insert(best, candidate{u, cost})
	}
	return best
}

// keep reports whether u passes all filters for the role want.
func (s *search) keep(d *kernel.Decision, u *kernel.Upstream, want config.Role) bool {
	for _, f := range s.filters {
		if !f.Keep(d, u, want) {
			return false
		}
	}
	return true
}

// insert adds c to best, which is sorted by cost and holds at most top candidates.
func insert(best []candidate, c candidate) []candidate {
	if len(best) == maxCandidates && best[maxCandidates-1].cost <= c.cost {
		return best
	}
	if len(best) == maxCandidates {
		best = best[:maxCandidates-1]
	}
	i, _ := slices.BinarySearchFunc(best, c.cost, func(x candidate, cost float64) int {
		if x.cost <= cost {
			return -1
		}
		return 1
	})
	return slices.Insert(best, i, c)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{9, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) { benchmarkDecision(b, n) })
	}
}

func benchmarkDecision(b *testing.B, n int) {
	v := plugintest.View(n, 8)
	index := prefixindex.New()
	requests := make([]*kernel.Request, 64)
	for i := range requests {
		requests[i] = plugintest.Request(fmt.Sprint(i))
		requests[i].Blocks = []uint64{1, uint64(i + 2), uint64(i + 1000), uint64(i + 2000)}
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		u.Load.QueuedTokens = i * 37 % 5000
		u.Load.Running = i * 7 % 20
		if u.Spec.Role == config.RolePrefill {
			index.Placed(u, requests[i%len(requests)].Blocks, plugintest.Start)
		}
	}
	s := &search{
		filters: []kernel.Filter{&role.Filter{}, &model.Filter{}, &leaving.Filter{}, &stale.Filter{}, &ejected.Filter{}},
		scorers: []kernel.Scorer{&firstoutput.Scorer{}, &pace.Scorer{}, &prefix.Scorer{}, &zone.Scorer{}},
		byRole:  map[config.Role][]int{},
	}
	for i := range v.Upstreams {
		want := v.Upstreams[i].Spec.Role
		s.byRole[want] = append(s.byRole[want], i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		d := plugintest.Decision(requests[i%len(requests)], v)
		d.Prefix = index
		s.run(d)
		i++
	}
}
