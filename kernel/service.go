package kernel

import (
	"github.com/wardspool/wardspool/config"
)

// placeService sends the request to the cheapest service upstream that is below
// its concurrency limit. Its result is that of place.
func (k *Kernel) placeService(c *call) Reason {
	d := k.newDecision(c)
	k.shortlistDecodes(d, c, k.fleet.services[c.request.Service], config.RoleService)
	list := k.placer.decodes.all()
	if len(list) == 0 {
		return k.noCandidate(c, ReasonNoService)
	}
	limit := k.catalog.services[c.request.Service].Concurrency
	for i, candidate := range list {
		u := &k.fleet.view.Upstreams[candidate.index]
		if limit > 0 && u.LocalLoad.Requests >= limit {
			continue
		}
		k.dequeue(c)
		k.callService(c, u, list, i)
		return ""
	}
	return ReasonServiceBusy
}

// callService sends the call to the chosen service upstream.
func (k *Kernel) callService(c *call, u *Upstream, list []ranked, chosen int) {
	a := &attempt{
		id:       k.newAttemptID(c.request),
		call:     c,
		stage:    stageService,
		upstream: u.ID,
	}
	c.state = callServing
	c.active = a
	c.lastReason = ""
	k.track(a)
	k.emit(CallService{Attempt: a.id, Request: c.request.ID, Upstream: u.ID})
	reason := ReasonBest
	if len(list) == 1 {
		reason = ReasonOnlyCandidate
	}
	k.log(c, Record{
		Step:      StepCalled,
		Reason:    reason,
		Attempt:   a.id,
		Decode:    u.ID,
		Cost:      list[chosen].cost,
		RunnersUp: k.otherServices(list, chosen),
		ViewAge:   k.now.Sub(u.Load.At),
	})
}

// otherServices returns up to maxRunnersUp service upstreams of the list that
// were not chosen.
func (k *Kernel) otherServices(list []ranked, chosen int) []Alternative {
	var others []Alternative
	for i, r := range list {
		if i == chosen || len(others) == maxRunnersUp {
			continue
		}
		others = append(others, Alternative{
			Decode: k.fleet.view.Upstreams[r.index].ID,
			Cost:   r.cost,
		})
	}
	return others
}
