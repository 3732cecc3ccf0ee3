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

// MethodCrashes sends crash records to a peer and, on request, returns the peer's own.
const MethodCrashes = "gateway.crashes"

const (
	// crashBatchDelay is how long new records are collected before they are sent. A crash fails
	// about a dozen requests, each of which gives a separate record.
	crashBatchDelay = 20 * time.Millisecond
	// crashSendInterval is the minimum time between two transmissions. If all engines of a fleet
	// crash at once, each of 295 instances would otherwise send new records every 20 ms.
	crashSendInterval = 100 * time.Millisecond
	// crashCompareInterval is the minimum time between two comparisons with a peer. Comparisons
	// transfer records that were not delivered because a connection failed.
	crashCompareInterval = time.Second
)

// CrashMessage carries crash records from one instance to another.
type CrashMessage struct {
	// Digest is the digest of all crash records that the sender shares.
	Digest uint64 `json:"d"`
	// Crashes is the crash records, encoded by packCrashes, and Parts what they show of parts, encoded
	// by packParts.
	Crashes []byte `json:"c,omitempty"`
	Parts   []byte `json:"p,omitempty"`
	// Compare asks for all of the receiver's crash records if its digest differs.
	Compare bool `json:"m,omitempty"`
	// Informed has the same meaning as in Heartbeat.
	Informed bool `json:"k,omitempty"`
}

// crashSpreader holds the state for spreading crash records. Records of crashes that this instance
// observed are sent at once to the instances that Roster.CrashRecipients returns. Instances that
// missed them notice the different digest in a heartbeat or in an answer to a load report, and ask
// for them.
type crashSpreader struct {
	wake chan struct{}

	mu sync.Mutex
	// received holds the new records received from peers and not yet forwarded. lastCompared is
	// the time of the last comparison.
	received     []quarantine.Crash
	lastCompared time.Time
}

func newCrashSpreader() *crashSpreader { return &crashSpreader{wake: make(chan struct{}, 1)} }

// requestSend requests that new records be sent soon.
func (c *crashSpreader) requestSend() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// addReceived adds records received from a peer, to be forwarded.
func (c *crashSpreader) addReceived(crashes []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = append(c.received, crashes...)
}

// takeReceived returns the records to be forwarded and clears them.
func (c *crashSpreader) takeReceived() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.received
	c.received = nil
	return received
}

// compareDue reports whether another comparison may begin and, if so, records now as its time.
func (c *crashSpreader) compareDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastCompared) < crashCompareInterval {
		return false
	}
	c.lastCompared = now
	return true
}

// SpreadCrashes sends the crash records that this instance has just added to the register to its
// peers.
func (n *Node) SpreadCrashes() { n.crashSpreader.requestSend() }

// spreadCrashes sends new crash records to peers until ctx ends.
func (n *Node) spreadCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.crashSpreader.wake:
			pause.For(ctx, crashBatchDelay)
		}
		if n.sendNewCrashes(ctx) {
			pause.For(ctx, crashSendInterval)
		}
	}
}

// sendNewCrashes sends new records to peers and reports whether there was any.
func (n *Node) sendNewCrashes(ctx context.Context) bool {
	now := clock.Now()
	observed, received := n.opts.Register.TakeUnsent(now), n.crashSpreader.takeReceived()
	if len(observed)+len(received) == 0 {
		return false
	}
	n.mu.Lock()
	toObserved, toAll := n.roster.CrashRecipients(now)
	n.mu.Unlock()
	for _, address := range toObserved {
		go n.sendCrashes(ctx, address, observed)
	}
	all := slices.Concat(observed, received)
	for _, address := range toAll {
		go n.sendCrashes(ctx, address, all)
	}
	return true
}

// sendCrashes sends crash records to a peer. Failures are logged at debug level only, since a later
// comparison of digests makes up for them.
func (n *Node) sendCrashes(ctx context.Context, address string, crashes []quarantine.Crash) {
	if len(crashes) == 0 {
		return
	}
	if _, err := n.callCrashes(ctx, address, CrashMessage{Crashes: packCrashes(crashes), Parts: packParts(crashes)}); err != nil {
		n.opts.Log.Debug("sending crash records to peer failed", "peer", address, "error", err)
	}
}

// callCrashes calls MethodCrashes of a peer, after filling in the sender's digest and state.
func (n *Node) callCrashes(ctx context.Context, address string, m CrashMessage) (CrashMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m.Digest, m.Informed = n.opts.Register.Digest(), n.Informed()
	return peer.Call[CrashMessage](ctx, n.opts.Pool, address, MethodCrashes, m)
}

// exchangeCrashes exchanges all crash records with a peer: each side sends what the other lacks.
func (n *Node) exchangeCrashes(ctx context.Context, address string) {
	answer, err := n.callCrashes(ctx, address, CrashMessage{Compare: true})
	if err != nil {
		n.opts.Log.Debug("comparing crash records with peer failed", "peer", address, "error", err)
		return
	}
	n.receiveCrashes(answer.Crashes, answer.Parts)
	if answer.Informed {
		n.informed.markInformed(clock.Now())
	}
	if answer.Digest != n.opts.Register.Digest() {
		n.sendCrashes(ctx, address, n.opts.Register.SharedRecords(clock.Now()))
	}
}

// onCrashes processes crash records from a peer and returns this instance's own if the peer asked
// for them and the digests differ.
func (n *Node) onCrashes(_ context.Context, _ peer.Identity, request CrashMessage) (CrashMessage, error) {
	n.receiveCrashes(request.Crashes, request.Parts)
	answer := CrashMessage{Digest: n.opts.Register.Digest(), Informed: n.Informed()}
	if request.Compare && answer.Digest != request.Digest {
		records := n.opts.Register.SharedRecords(clock.Now())
		answer.Crashes, answer.Parts = packCrashes(records), packParts(records)
	}
	return answer, nil
}

// receiveCrashes adds a peer's encoded crash records to the register and forwards the new ones.
func (n *Node) receiveCrashes(packed, parts []byte) {
	if len(packed) == 0 {
		return
	}
	received, err := unpackCrashes(packed)
	if err == nil {
		err = unpackParts(parts, received)
	}
	if err != nil {
		n.opts.Log.Warn("decoding crash records from peer failed", "error", err)
		return
	}
	added := n.opts.Register.Merge(clock.Now(), received)
	if len(added) == 0 {
		return
	}
	n.opts.Log.Info("crashes heard of", "news", len(added), "first", added[0].Content.String(), "upstream", added[0].Upstream, "age_ms", added[0].Age.Milliseconds())
	n.crashSpreader.addReceived(added)
	n.crashSpreader.requestSend()
}

// compareCrashDigest starts an exchange of all crash records with a peer in the background if the
// digest that the peer sent differs. An uninformed instance does so with every informed peer,
// others at most once per crashCompareInterval.
func (n *Node) compareCrashDigest(ctx context.Context, address string, digest uint64, informed bool) {
	now := clock.Now()
	switch {
	case digest == n.opts.Register.Digest():
		if informed {
			n.informed.markInformed(now)
		}
	case informed && !n.Informed() || n.crashSpreader.compareDue(now):
		// The comparison may outlast the call whose context this is.
		go n.exchangeCrashes(context.WithoutCancel(ctx), address)
	}
}

// CrashRecipients returns the addresses of the instances that crash records are sent to at once.
// The instances in observed get only the records of crashes that this instance observed itself,
// those in all also the records that it received. In a small fleet, observed holds all peers. In a
// large fleet it holds the hubs of the zones, and all holds the instances of this zone if this
// instance is its hub.
func (r *Roster) CrashRecipients(now time.Time) (observed, all []string) {
	r.refresh(now)
	if !r.isLarge() {
		return r.addressesIn(now, ""), nil
	}
	own, hub := r.Hub(now, r.self.Zone)
	if hub {
		all = r.addressesIn(now, r.self.Zone)
	} else if own != "" {
		observed = append(observed, own)
	}
	for _, zone := range r.OtherZones(now) {
		if address, _ := r.Hub(now, zone); address != "" {
			observed = append(observed, address)
		}
	}
	return observed, all
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
