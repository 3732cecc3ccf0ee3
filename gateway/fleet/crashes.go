package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

// MethodCrashes tells a peer of contents under which upstreams crashed, and brings back
// what it knows of others.
const MethodCrashes = "gateway.crashes"

const (
	// gatherNews is how long news of crashes are gathered before they are told: a crash
	// takes a dozen requests with it, each of which is a piece of evidence.
	gatherNews = 20 * time.Millisecond
	// newsPause is the least time between two tellings. When all engines of a fleet crash at
	// once each of 295 instances has something to tell, each 20 ms.
	newsPause = 100 * time.Millisecond
	// compareAgain is the least time between two comparisons. They are for what was not
	// told for want of a connection.
	compareAgain = time.Second
)

// CrashNews is evidence of crashes as one instance tells it another.
type CrashNews struct {
	// Digest is that of all that the sender shares.
	Digest uint64 `json:"d"`
	// Crashes is packed evidence.
	Crashes []byte `json:"c,omitempty"`
	// Compare asks for all evidence of the other side if its digest differs.
	Compare bool `json:"m,omitempty"`
	// Informed is as in Heartbeat.
	Informed bool `json:"k,omitempty"`
}

// crashNews spreads the evidence of crashes. What this instance saw is told at once to
// those whom Roster.Told names; whoever missed it finds by the digest in a heartbeat or a
// report of loads that it knows less.
type crashNews struct {
	wake chan struct{}

	mu sync.Mutex
	// heard is what this instance was told and did not know.
	heard    []quarantine.Crash
	compared time.Time
}

func newCrashNews() *crashNews { return &crashNews{wake: make(chan struct{}, 1)} }

// tell has the news told soon.
func (c *crashNews) tell() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// hear adds what was heard of.
func (c *crashNews) hear(news []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, news...)
}

// take returns what was heard of, once.
func (c *crashNews) take() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := c.heard
	c.heard = nil
	return heard
}

// due reports whether another comparison may begin, and notes that it does.
func (c *crashNews) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.compared) < compareAgain {
		return false
	}
	c.compared = now
	return true
}

// SpreadCrashes tells the other instances of evidence that this one has just taken into
// the register.
func (n *Node) SpreadCrashes() { n.news.tell() }

// spreadCrashes sends new evidence of crashes to peers until ctx ends.
func (n *Node) spreadCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.news.wake:
			pause.For(ctx, gatherNews)
		}
		if n.tellNews(ctx) {
			pause.For(ctx, newsPause)
		}
	}
}

// tellNews tells what is new, and reports whether there was anything.
func (n *Node) tellNews(ctx context.Context) bool {
	now := clock.Now()
	seen, heard := n.o.Register.Fresh(now), n.news.take()
	if len(seen)+len(heard) == 0 {
		return false
	}
	n.mu.Lock()
	toSeen, toAll := n.roster.Told(now)
	n.mu.Unlock()
	for _, address := range toSeen {
		go n.tellCrashes(ctx, address, seen)
	}
	both := slices.Concat(seen, heard)
	for _, address := range toAll {
		go n.tellCrashes(ctx, address, both)
	}
	return true
}

// tellCrashes tells a peer of some evidence. A failure needs no line: digests are compared.
func (n *Node) tellCrashes(ctx context.Context, address string, news []quarantine.Crash) {
	if len(news) == 0 {
		return
	}
	if _, err := n.callCrashes(ctx, address, CrashNews{Crashes: packCrashes(news)}); err != nil {
		n.o.Log.Debug("crashes not told", "peer", address, "error", err)
	}
}

// callCrashes makes one call.
func (n *Node) callCrashes(ctx context.Context, address string, q CrashNews) (CrashNews, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q.Digest, q.Informed = n.o.Register.Digest(), n.Informed()
	return peer.Call[CrashNews](ctx, n.o.Pool, address, MethodCrashes, q)
}

// compareWith compares all evidence with a peer's: each tells the other what it lacks.
func (n *Node) compareWith(ctx context.Context, address string) {
	answer, err := n.callCrashes(ctx, address, CrashNews{Compare: true})
	if err != nil {
		n.o.Log.Debug("crashes not compared", "peer", address, "error", err)
		return
	}
	n.hearCrashes(answer.Crashes)
	if answer.Informed {
		n.informed.tell(clock.Now())
	}
	if answer.Digest != n.o.Register.Digest() {
		n.tellCrashes(ctx, address, n.o.Register.Tell(clock.Now()))
	}
}

// onCrashes takes in what a peer knows of crashes, and answers what it asked for.
func (n *Node) onCrashes(_ context.Context, _ peer.Identity, q CrashNews) (CrashNews, error) {
	n.hearCrashes(q.Crashes)
	answer := CrashNews{Digest: n.o.Register.Digest(), Informed: n.Informed()}
	if q.Compare && answer.Digest != q.Digest {
		answer.Crashes = packCrashes(n.o.Register.Tell(clock.Now()))
	}
	return answer, nil
}

// hearCrashes takes in packed evidence from a peer.
func (n *Node) hearCrashes(packed []byte) {
	if len(packed) == 0 {
		return
	}
	told, err := unpackCrashes(packed)
	if err != nil {
		n.o.Log.Warn("evidence of crashes not understood", "error", err)
		return
	}
	news := n.o.Register.Hear(clock.Now(), told)
	if len(news) == 0 {
		return
	}
	n.o.Log.Info("crashes heard of", "news", len(news), "first", news[0].Content.String(), "upstream", news[0].Upstream, "age_ms", news[0].Age.Milliseconds())
	n.news.hear(news)
	n.news.tell()
}

// compareCrashes has the evidence compared with a peer that called or answered with its
// digest.
func (n *Node) compareCrashes(ctx context.Context, address string, digest uint64, informed bool) {
	now := clock.Now()
	switch {
	case digest == n.o.Register.Digest():
		if informed {
			n.informed.tell(now)
		}
	case informed && !n.Informed() || n.news.due(now):
		// The call may end before this does.
		go n.compareWith(context.WithoutCancel(ctx), address)
	}
}

// Told returns the addresses of the instances to tell at once of crashes: of those that this
// instance saw, all in a small fleet and in a large one the hubs of the zones; of those that
// it saw or heard of, the instances of its zone if it is their hub.
func (r *Roster) Told(now time.Time) (seen, all []string) {
	r.refresh(now)
	if !r.large() {
		return r.addressesIn(now, ""), nil
	}
	own, hub := r.Hub(now, r.self.Zone)
	if hub {
		all = r.addressesIn(now, r.self.Zone)
	} else if own != "" {
		seen = append(seen, own)
	}
	for _, zone := range r.OtherZones(now) {
		if address, _ := r.Hub(now, zone); address != "" {
			seen = append(seen, address)
		}
	}
	return seen, all
}

// addressesIn returns the addresses of the live peers of a zone, or of all zones for "".
func (r *Roster) addressesIn(now time.Time, zone ident.Zone) []string {
	var out []string
	for _, m := range r.Members(now) {
		if zone == "" || m.Zone == zone {
			out = append(out, m.Address)
		}
	}
	return out
}
