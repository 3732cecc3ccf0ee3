package kernel

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// placement is a choice of upstreams for a request, with the figures on which
// the choice is based.
type placement struct {
	prefill, decode ident.UpstreamID
	cost            float64
	runnersUp       []Alternative
	// predicted is the expected time from the decision to the first output.
	predicted time.Duration
	viewAge   time.Duration
	// dispatched is set when a JointPolicy chose the upstreams.
	dispatched bool
	// choices is the number of pairs that were compared.
	choices int
}

// maxRunnersUp is the maximum number of alternatives in a decision record.
const maxRunnersUp = 3

// tieBreakSeconds is the upper bound of the random amount added to each cost, so
// that instances with the same view do not all choose the same upstream.
const tieBreakSeconds = 0.002

// pair is a prefill and a decode engine, by index in the view, and their total
// cost.
type pair struct {
	prefill, decode int
	cost            float64
}

// placer holds the scratch space of placement decisions.
type placer struct {
	decision Decision
	prefills shortlist
	decodes  shortlist
	pairs    [shortlistSize * shortlistSize]pair
	// reserving counts the calls in state callReserving.
	reserving int
}

// newDecision returns the decision context for a call. It is valid until the next
// call of newDecision.
func (k *Kernel) newDecision(c *call) *Decision {
	d := &k.placer.decision
	*d = Decision{
		Now:          k.now,
		Self:         k.self,
		Request:      c.request,
		Model:        k.catalog.models[c.request.Model],
		View:         &k.fleet.view,
		Slots:        k.policy.slots,
		PromptTokens: c.request.PromptTokens + c.delivered,
	}
	if k.prefix != nil {
		d.Prefix = k.prefix
	}
	return d
}

// passesFilters reports whether the upstream may serve the call in the given
// role: all filters accept it, the call has not failed on it before, and its stream may
// go on there.
func (k *Kernel) passesFilters(d *Decision, c *call, u *Upstream, role config.Role) bool {
	if c.avoids(u.ID) || role == config.RoleDecode && !c.mayContinueAt(u) {
		return false
	}
	for _, f := range k.policy.filters {
		if !f.Keep(d, u, role) {
			return false
		}
	}
	return true
}

func (k *Kernel) tieBreak() float64 { return k.rand.Float64() * tieBreakSeconds }

// maxScan is the maximum number of upstreams that one decision considers for
// each role. If there are more, it considers consecutive ones from a random start
// on.
const maxScan = 96

// scan returns the upstreams to consider: all of them if there are at most
// maxScan, otherwise a random window of that size, in two parts if it wraps
// around the end.
func (k *Kernel) scan(at []int) (first, second []int) {
	if len(at) <= maxScan {
		return at, nil
	}
	from := k.rand.IntN(len(at))
	if from+maxScan <= len(at) {
		return at[from : from+maxScan], nil
	}
	return at[from:], at[:from+maxScan-len(at)]
}

func (k *Kernel) shortlistPrefills(d *Decision, c *call) {
	k.placer.prefills.reset()
	first, second := k.scan(k.fleet.prefills[c.request.Model])
	k.rankPrefills(d, c, first)
	k.rankPrefills(d, c, second)
}

func (k *Kernel) rankPrefills(d *Decision, c *call, at []int) {
	list := &k.placer.prefills
	for _, i := range at {
		u := &k.fleet.view.Upstreams[i]
		if !k.passesFilters(d, c, u, config.RolePrefill) {
			continue
		}
		cost := k.tieBreak()
		for _, s := range k.policy.scorers {
			cost += s.weight * s.scorer.Prefill(d, u)
		}
		list.insert(i, cost)
	}
}

// shortlistDecodes fills the decode shortlist with the cheapest of the upstreams
// at the given indexes. It is used for decode engines and for plain services.
func (k *Kernel) shortlistDecodes(d *Decision, c *call, at []int, role config.Role) {
	k.placer.decodes.reset()
	first, second := k.scan(at)
	k.rankDecodes(d, c, first, role)
	k.rankDecodes(d, c, second, role)
}

func (k *Kernel) rankDecodes(d *Decision, c *call, at []int, role config.Role) {
	list := &k.placer.decodes
	for _, i := range at {
		u := &k.fleet.view.Upstreams[i]
		if !k.passesFilters(d, c, u, role) {
			continue
		}
		cost := k.tieBreak()
		for _, s := range k.policy.scorers {
			cost += s.weight * s.scorer.Decode(d, u)
		}
		list.insert(i, cost)
	}
}

// rankPairs returns all pairs of the prefill and decode shortlists, cheapest
// first. The result is valid until the next call.
func (k *Kernel) rankPairs(d *Decision) []pair {
	pairs := k.placer.pairs[:0]
	for _, p := range k.placer.prefills.all() {
		for _, q := range k.placer.decodes.all() {
			pairs = append(pairs, pair{
				prefill: p.index,
				decode:  q.index,
				cost:    p.cost + q.cost + k.pairCost(d, p.index, q.index),
			})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(a.cost, b.cost) })
	return pairs
}

func (k *Kernel) pairCost(d *Decision, prefill, decode int) float64 {
	p := &k.fleet.view.Upstreams[prefill]
	q := &k.fleet.view.Upstreams[decode]
	cost := 0.0
	for _, s := range k.policy.scorers {
		cost += s.weight * s.scorer.Pair(d, p, q)
	}
	return cost
}

// plan returns the placement for the pair at index chosen of the ranked pairs.
func (k *Kernel) plan(d *Decision, pairs []pair, chosen int) placement {
	p := &k.fleet.view.Upstreams[pairs[chosen].prefill]
	q := &k.fleet.view.Upstreams[pairs[chosen].decode]
	return placement{
		prefill:   p.ID,
		decode:    q.ID,
		cost:      pairs[chosen].cost,
		runnersUp: k.runnersUp(pairs, chosen),
		predicted: k.predict(d, p, q),
		viewAge:   k.now.Sub(oldest(p.Load.At, q.Load.At)),
		choices:   len(pairs),
	}
}

func (k *Kernel) runnersUp(pairs []pair, chosen int) []Alternative {
	alternatives := make([]Alternative, 0, maxRunnersUp)
	for i := range pairs {
		if len(alternatives) == maxRunnersUp {
			break
		}
		if i == chosen {
			continue
		}
		alternatives = append(alternatives, Alternative{
			Prefill: k.fleet.view.Upstreams[pairs[i].prefill].ID,
			Decode:  k.fleet.view.Upstreams[pairs[i].decode].ID,
			Cost:    pairs[i].cost,
		})
	}
	return alternatives
}

// predict returns the expected time from the reservation of the slot to the first
// output, with prefill engine p and decode engine q.
func (k *Kernel) predict(d *Decision, p, q *Upstream) time.Duration {
	uncached := UncachedTokens(d, p)
	return PrefillWait(p, k.now) +
		PrefillTime(p, uncached) +
		TransferTime(d.Model, d.PromptTokens, p, q) +
		DecodePace(q, q.Load.Running+1)
}

func oldest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
