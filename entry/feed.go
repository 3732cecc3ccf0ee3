package entry

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// Update implements peering.FeedHandler: it applies what the agent sends and replies
// with the evidence that live traffic gave about upstreams and peers since the last
// call.
func (e *Entry) Update(_ context.Context, u feed.Update) (feed.Reply, error) {
	now := time.Now()
	if u.PauseMS > 0 {
		e.driver.Post(kernel.Paused{Gap: time.Duration(u.PauseMS) * time.Millisecond})
	}
	if u.View != nil {
		if view, addresses, ok := e.viewCache.Apply(u.View, now); ok {
			e.addresses.Replace(addresses)
			e.driver.Post(kernel.ViewChanged{View: view})
		}
	}
	if u.Bundle != nil {
		if content := e.contentCache.Apply(u.Bundle); content != nil {
			e.driver.Post(kernel.Configured{Version: u.Bundle.Version, Content: content})
		}
	}
	if u.Ready {
		// The entry stays ready when its agent is not: a restarted agent is not ready at
		// first, but the bundle and the view that this entry has remain valid.
		e.ready.Store(true)
	}
	if e.driver.Stopped() {
		return feed.Reply{}, &peer.StoppingError{}
	}
	return e.reply(now), nil
}

// reply describes the state of the entry to its agent.
func (e *Entry) reply(now time.Time) feed.Reply {
	r := feed.Reply{
		Incarnation: e.self.Incarnation,
		View:        e.viewCache.Number(),
		Base:        e.contentCache.Digest(),
		Stopping:    e.notReady.Load(),
		InFlight:    int(e.inFlight.Load()),
		Evidence:    e.recorder.evidence.Take(now),
	}
	if c := e.catalog.Load(); c != nil {
		r.BundleVersion = c.Version
	}
	if rejected := e.driver.Rejected(); rejected != nil && rejected.Version > r.BundleVersion {
		r.Rejected = &feed.Rejection{Version: rejected.Version, Reason: rejected.Err.Error()}
	}
	return r
}
