package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
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
	// compareAgain is the least time between two comparisons with one peer whose digest
	// differs: heartbeats come as often.
	compareAgain = beatInterval
	// mostCompared bounds the peers of which the last comparison is remembered.
	mostCompared = 1024
)

// CrashNews is evidence of crashes as one instance tells it another.
type CrashNews struct {
	// Digest is that of all that the sender knows.
	Digest  uint64             `json:"d"`
	Crashes []quarantine.Crash `json:"c,omitempty"`
}

// crashNews spreads the evidence of crashes. What this instance saw is told at once to
// those whom Roster.Told names; whoever missed it finds by the digest in the next heartbeat
// or report of loads that it knows less.
type crashNews struct {
	// seen and heard are set when there is evidence of this instance's own attempts, or
	// by a peer's word; wake has it told.
	seen, heard atomic.Bool
	wake        chan struct{}

	mu       sync.Mutex
	compared map[string]time.Time
}

func newCrashNews() *crashNews {
	return &crashNews{wake: make(chan struct{}, 1), compared: map[string]time.Time{}}
}

// tell has the news told soon.
func (c *crashNews) tell(of *atomic.Bool) {
	of.Store(true)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// due reports whether a peer may be compared with now, and notes that it is.
func (c *crashNews) due(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.compared[address]) < compareAgain {
		return false
	}
	if len(c.compared) >= mostCompared {
		clear(c.compared)
	}
	c.compared[address] = now
	return true
}

// SpreadCrashes tells the other instances of evidence that this one has just taken into
// the register.
func (n *Node) SpreadCrashes() { n.news.tell(&n.news.seen) }

// spreadCrashes tells news of crashes until ctx ends, and forgets what is of no use.
func (n *Node) spreadCrashes(ctx context.Context) {
	expire := time.NewTicker(time.Second)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			n.o.Register.Expire(time.Now())
			continue
		case <-n.news.wake:
		}
		pause.For(ctx, gatherNews)
		seen, heard := n.news.seen.Swap(false), n.news.heard.Swap(false)
		n.mu.Lock()
		told := n.roster.Told(time.Now(), seen, heard)
		n.mu.Unlock()
		for _, address := range told {
			go n.exchangeCrashes(ctx, address)
		}
	}
}

// exchangeCrashes tells a peer what is known of crashes, and takes in what it knows. A
// failure needs no line: the digests are compared again.
func (n *Node) exchangeCrashes(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := CrashNews{Digest: n.o.Register.Digest(), Crashes: n.o.Register.Tell(time.Now())}
	answer, err := peer.Call[CrashNews](ctx, n.o.Pool, address, MethodCrashes, q)
	if err != nil {
		n.o.Log.Debug("crashes not told", "peer", address, "error", err)
		return
	}
	n.hearCrashes(answer.Crashes)
	n.informed.tell(time.Now())
}

// onCrashes takes in what a peer knows of crashes, and answers with what is known here if
// that differs.
func (n *Node) onCrashes(_ context.Context, _ peer.Identity, q CrashNews) (CrashNews, error) {
	n.hearCrashes(q.Crashes)
	answer := CrashNews{Digest: n.o.Register.Digest()}
	if answer.Digest != q.Digest {
		answer.Crashes = n.o.Register.Tell(time.Now())
	}
	return answer, nil
}

// hearCrashes takes in evidence from a peer.
func (n *Node) hearCrashes(told []quarantine.Crash) {
	if !n.o.Register.Hear(time.Now(), told) {
		return
	}
	n.o.Log.Info("crashes heard of", "told", len(told))
	n.news.tell(&n.news.heard)
}

// compareCrashes has the evidence compared with a peer that answered a call with its
// digest.
func (n *Node) compareCrashes(ctx context.Context, address string, digest uint64) {
	switch {
	case digest == n.o.Register.Digest():
		n.informed.tell(time.Now())
	case n.news.due(time.Now(), address):
		// The call may end before this does.
		go n.exchangeCrashes(context.WithoutCancel(ctx), address)
	}
}

// Told returns the addresses of the instances to tell at once of crashes: of those that
// this instance saw, all in a small fleet, and in a large one the hubs of all zones; of
// those that a hub heard of or saw, the instances of its zone.
func (r *Roster) Told(now time.Time, seen, heard bool) []string {
	r.refresh(now)
	if !r.large() {
		if !seen {
			return nil
		}
		return r.addressesIn(now, "")
	}
	var told []string
	own, hub := r.Hub(now, r.self.Zone)
	if hub {
		told = r.addressesIn(now, r.self.Zone)
	}
	if !seen {
		return told
	}
	if !hub && own != "" {
		told = append(told, own)
	}
	for _, zone := range r.OtherZones(now) {
		if address, _ := r.Hub(now, zone); address != "" {
			told = append(told, address)
		}
	}
	return told
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
