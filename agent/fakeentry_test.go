package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// fakeEntry simulates an entry's listeners for the feed and for peers.
type fakeEntry struct {
	mu      sync.Mutex
	reply   feed.Reply
	last    feed.Update
	view    *feed.View
	updates int
	pauses  []int64
	stop    func()
	// delay is the time that an update takes, bundleDelay that of an update with
	// a bundle.
	delay, bundleDelay time.Duration
}

// startEntry starts a simulated entry.
func (n *node) startEntry() {
	e := &fakeEntry{reply: feed.Reply{Incarnation: ident.NewIncarnation(time.Now())}}
	cfg := peer.Config{
		Self:  peer.Identity{Instance: n.id, Incarnation: e.reply.Incarnation, Zone: n.zone},
		Allow: func(peer.Identity) bool { return true },
	}
	var stops []func()
	for _, addr := range []string{n.host + ":9200", n.host + ":9100"} {
		l, err := n.fleet.net.listen(addr)
		assert.NilError(n.fleet.t, err)
		srv := peer.NewServer(cfg)
		if strings.HasSuffix(addr, ":9200") {
			peer.Handle(srv, feed.MethodUpdate, func(_ context.Context, _ peer.Identity, u feed.Update) (feed.Reply, error) {
				return e.update(u), nil
			})
		}
		done := make(chan error, 1)
		go func() { done <- srv.Serve(l) }()
		stops = append(stops, func() {
			_ = srv.Shutdown(context.Background())
			<-done
		})
	}
	e.stop = sync.OnceFunc(func() {
		for _, stop := range stops {
			stop()
		}
	})
	n.entry = e
}

// update handles an agent's update.
func (e *fakeEntry) update(u feed.Update) feed.Reply {
	time.Sleep(e.delayOf(u))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updates++
	e.last = u
	if u.View != nil {
		e.view = u.View
	}
	if u.Bundle != nil {
		e.reply.BundleVersion = max(e.reply.BundleVersion, u.Bundle.Version)
	}
	if u.PauseMS > 0 {
		e.pauses = append(e.pauses, u.PauseMS)
	}
	r := e.reply
	e.reply.Evidence = nil
	return r
}

// delayOf returns the time that an update takes.
func (e *fakeEntry) delayOf(u feed.Update) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.Bundle != nil {
		return max(e.delay, e.bundleDelay)
	}
	return e.delay
}

// setDelay sets the delay of updates.
func (e *fakeEntry) setDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// set modifies the reply.
func (e *fakeEntry) set(change func(*feed.Reply)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.reply)
}

// version returns the bundle version that the entry has received.
func (e *fakeEntry) version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reply.BundleVersion
}

// seen returns the last view and update.
func (e *fakeEntry) seen() (*feed.View, feed.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view, e.last
}

// upstream returns an upstream of the last view, nil if there is none.
func (e *fakeEntry) upstream(id ident.UpstreamID) *feed.Upstream {
	v, _ := e.seen()
	if v == nil {
		return nil
	}
	for i := range v.Upstreams {
		if v.Upstreams[i].ID == id {
			return &v.Upstreams[i]
		}
	}
	return nil
}

// instance returns an instance of the last view, nil if there is none.
func (e *fakeEntry) instance(id ident.InstanceID) *feed.Instance {
	v, _ := e.seen()
	if v == nil {
		return nil
	}
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return &v.Instances[i]
		}
	}
	return nil
}
