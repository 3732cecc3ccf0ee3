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

// MethodCrashes sends evidence of crashes to a peer and, on request, returns the peer's own
// evidence.
const MethodCrashes = "gateway.crashes"

const (
	// gatherNews is how long new evidence is collected before it is sent. A crash fails about a
	// dozen requests, each of which is a separate piece of evidence.
	gatherNews = 20 * time.Millisecond
	// newsPause is the minimum time between two transmissions. If all engines of a fleet crash at
	// once, each of 295 instances would otherwise send new evidence every 20 ms.
	newsPause = 100 * time.Millisecond
	// compareAgain is the minimum time between two comparisons with a peer. Comparisons transfer
	// evidence that was not delivered because a connection failed.
	compareAgain = time.Second
)

// CrashNews carries evidence of crashes from one instance to another.
type CrashNews struct {
	// Digest is the digest of all evidence that the sender shares.
	Digest uint64 `json:"d"`
	// Crashes is the evidence, encoded by packCrashes.
	Crashes []byte `json:"c,omitempty"`
	// Compare asks for all of the receiver's evidence if its digest differs.
	Compare bool `json:"m,omitempty"`
	// Informed has the same meaning as in Heartbeat.
	Informed bool `json:"k,omitempty"`
}

// crashNews holds the state for spreading evidence of crashes. Evidence that this instance
// observed is sent at once to the instances that Roster.Told returns. Instances that missed it
// notice the different digest in a heartbeat or in an answer to a load report, and ask for it.
type crashNews struct {
	wake chan struct{}

	mu sync.Mutex
	// heard is the new evidence received from peers and not yet forwarded. compared is the time
	// of the last comparison.
	heard    []quarantine.Crash
	compared time.Time
}

func newCrashNews() *crashNews { return &crashNews{wake: make(chan struct{}, 1)} }

// tell requests that new evidence be sent soon.
func (c *crashNews) tell() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// hear adds evidence received from a peer, to be forwarded.
func (c *crashNews) hear(news []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, news...)
}

// take returns the evidence to be forwarded and clears it.
func (c *crashNews) take() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := c.heard
	c.heard = nil
	return heard
}

// due reports whether another comparison may begin and, if so, records now as its time.
func (c *crashNews) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.compared) < compareAgain {
		return false
	}
	c.compared = now
	return true
}

// SpreadCrashes sends evidence that this instance has just added to the register to its peers.
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

// tellNews sends new evidence to peers and reports whether there was any.
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

// tellCrashes sends evidence to a peer. Failures are logged at debug level only, since a later
// comparison of digests makes up for them.
func (n *Node) tellCrashes(ctx context.Context, address string, news []quarantine.Crash) {
	if len(news) == 0 {
		return
	}
	if _, err := n.callCrashes(ctx, address, CrashNews{Crashes: packCrashes(news)}); err != nil {
		n.o.Log.Debug("sending crash evidence to peer failed", "peer", address, "error", err)
	}
}

// callCrashes calls MethodCrashes of a peer, after filling in the sender's digest and state.
func (n *Node) callCrashes(ctx context.Context, address string, q CrashNews) (CrashNews, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q.Digest, q.Informed = n.o.Register.Digest(), n.Informed()
	return peer.Call[CrashNews](ctx, n.o.Pool, address, MethodCrashes, q)
}

// compareWith exchanges all evidence with a peer: each side sends what the other lacks.
func (n *Node) compareWith(ctx context.Context, address string) {
	answer, err := n.callCrashes(ctx, address, CrashNews{Compare: true})
	if err != nil {
		n.o.Log.Debug("comparing crash evidence with peer failed", "peer", address, "error", err)
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

// onCrashes processes evidence from a peer and returns this instance's own if the peer asked for
// it and the digests differ.
func (n *Node) onCrashes(_ context.Context, _ peer.Identity, q CrashNews) (CrashNews, error) {
	n.hearCrashes(q.Crashes)
	answer := CrashNews{Digest: n.o.Register.Digest(), Informed: n.Informed()}
	if q.Compare && answer.Digest != q.Digest {
		answer.Crashes = packCrashes(n.o.Register.Tell(clock.Now()))
	}
	return answer, nil
}

// hearCrashes adds a peer's encoded evidence to the register and forwards what is new.
func (n *Node) hearCrashes(packed []byte) {
	if len(packed) == 0 {
		return
	}
	told, err := unpackCrashes(packed)
	if err != nil {
		n.o.Log.Warn("decoding crash evidence from peer failed", "error", err)
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

// compareCrashes starts an exchange of all evidence with a peer in the background if the digest
// that the peer sent differs. An uninformed instance does so with every informed peer, others at
// most once per compareAgain.
func (n *Node) compareCrashes(ctx context.Context, address string, digest uint64, informed bool) {
	now := clock.Now()
	switch {
	case digest == n.o.Register.Digest():
		if informed {
			n.informed.tell(now)
		}
	case informed && !n.Informed() || n.news.due(now):
		// The comparison may outlast the call whose context this is.
		go n.compareWith(context.WithoutCancel(ctx), address)
	}
}

// Told returns the addresses of the instances that evidence of crashes is sent to at once. The
// instances in seen get only the evidence that this instance observed itself, those in all also
// the evidence that it received. In a small fleet seen holds all peers. In a large fleet it holds
// the hubs of the zones, and all holds the instances of this zone if this instance is its hub.
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

// addressesIn returns the addresses of the live peers of a zone, or of all zones if zone is
// empty.
func (r *Roster) addressesIn(now time.Time, zone ident.Zone) []string {
	var out []string
	for _, m := range r.Members(now) {
		if zone == "" || m.Zone == zone {
			out = append(out, m.Address)
		}
	}
	return out
}
