package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/peer"
)

// Limits of fetching parts.
const (
	// fetchTimeout limits one fetch from a peer.
	fetchTimeout = 5 * time.Second
	// readBatchSize is the number of parts read from the platform concurrently,
	// readPause the time between two batches. When a fleet starts, all its
	// readers read a whole bundle, and must not use up the platform's rate limit.
	readBatchSize = 8
	readPause     = 150 * time.Millisecond
	// hedgeAfter is the duration of a platform read after which a peer is queried
	// as well.
	hedgeAfter = 300 * time.Millisecond
	// maxPeersTried limits the peers that one fetch tries.
	maxPeersTried = 3
)

// fetchParts fetches parts from a peer or the platform. The ledger names the
// source that last announced the bundle; the agent chooses with more information.
// An instance that watches the platform for its zone reads the platform at once,
// so that the others have a peer to fetch from. The others continue with the peer
// that last provided parts, since two instances fetching from each other would
// both wait. They read the platform only if no peer provides any, because the
// parts of a bundle take some hundred calls.
func (a *Agent) fetchParts(f ledger.FetchParts) {
	a.log.Debug("fetching parts", "from", f.From.String(), "parts", len(f.Digests))
	first := a.chooseFirstPeer(f)
	a.relay.provider = ledger.Source{}
	if !a.readsBundles() {
		a.fetchPeerParts(first, nil, f.From == platformSource)
		return
	}
	done := a.readParts(first)
	a.spawn(func(ctx context.Context) { a.hedge(ctx, done, first) })
}

// chooseFirstPeer returns the fetch with the peer to query first: the one that
// last provided parts, else the one that the ledger names, else one that reported
// the floor to this starting instance.
func (a *Agent) chooseFirstPeer(f ledger.FetchParts) ledger.FetchParts {
	answered := a.relay.floorReporters
	switch {
	case a.relay.provider.Kind == ledger.SourcePeer:
		f.From = a.relay.provider
	case f.From.Kind != ledger.SourcePeer && len(answered) > 0:
		f.From = answered[a.random.choose(len(answered))]
	}
	return f
}

// readsBundles reports whether this instance watches a bundle key for its zone
// and reaches the platform.
func (a *Agent) readsBundles() bool {
	w := a.platform.watches
	return a.platform.responding && (w[configservice.KeyRoll] != nil || w[configservice.KeyBundleHead] != nil)
}

// hedge queries a peer as well if a read of the platform takes long.
func (a *Agent) hedge(ctx context.Context, done <-chan struct{}, f ledger.FetchParts) {
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(hedgeAfter):
		a.post(func() { a.fetchPeerParts(f, nil, false) })
	}
}

// readParts reads parts from the platform in batches, and queries a peer if it
// provides none. All parts are passed to the ledger together, because the ledger
// requests what is still missing each time it receives parts. The returned
// channel is closed at the end.
func (a *Agent) readParts(f ledger.FetchParts) <-chan struct{} {
	done := make(chan struct{})
	a.spawn(func(ctx context.Context) {
		defer close(done)
		parts := a.readBatches(ctx, f.Digests)
		a.post(func() {
			if len(parts) == 0 && f.From.Kind == ledger.SourcePeer {
				a.fetchPeerParts(f, nil, false)
				return
			}
			a.applyParts(platformSource, parts)
		})
	})
	return done
}

// readBatches reads parts in batches and returns those that the platform
// provides.
func (a *Agent) readBatches(ctx context.Context, digests []bundle.Digest) []bundle.Part {
	parts := make([]bundle.Part, 0, len(digests))
	for len(digests) > 0 {
		batch := digests[:min(readBatchSize, len(digests))]
		digests = digests[len(batch):]
		got := a.readConcurrently(ctx, batch)
		parts = append(parts, got...)
		// If a whole batch fails, the remaining ones would fail too.
		if len(digests) == 0 || len(got) == 0 || !sleep(ctx, readPause) {
			break
		}
	}
	return parts
}

// readConcurrently reads parts concurrently.
func (a *Agent) readConcurrently(ctx context.Context, digests []bundle.Digest) []bundle.Part {
	parts := make([]bundle.Part, len(digests))
	var group sync.WaitGroup
	for i, d := range digests {
		group.Go(func() {
			if v, err := a.platformAdapter.Get(ctx, configservice.KeyBundleParts+d.String()); err == nil {
				parts[i] = bundle.Part{Digest: d, Bytes: v.Bytes}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(parts, func(p bundle.Part) bool { return p.Bytes == nil })
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchPeerParts fetches parts from a peer; if it provides none, from other peers
// that know the same bundles and, if platformLast is set, from the platform at
// the end. tried lists the sources that provided none.
func (a *Agent) fetchPeerParts(f ledger.FetchParts, tried []ledger.Source, platformLast bool) {
	tried = append(tried, f.From)
	address := a.addressOf(f.From)
	if f.From.Kind != ledger.SourcePeer || address == "" {
		a.fetchFromNextPeer(f, tried, platformLast)
		return
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		got, err := peer.Call[wire.Parts](ctx, a.peers, address, wire.MethodParts, wire.PartsRequest{Digests: f.Digests})
		if err != nil || len(got.Parts) == 0 {
			a.post(func() { a.fetchFromNextPeer(f, tried, platformLast) })
			return
		}
		parts := make([]bundle.Part, len(got.Parts))
		for i, p := range got.Parts {
			parts[i] = bundle.Part{Digest: p.Digest, Bytes: p.Bytes}
		}
		a.post(func() { a.applyParts(f.From, parts) })
	})
}

// fetchFromNextPeer continues a fetch with another partner that knows the same
// bundles. If there is none, the ledger retries after a while.
func (a *Agent) fetchFromNextPeer(f ledger.FetchParts, tried []ledger.Source, platformLast bool) {
	if a.ledger.Missing() == 0 {
		return
	}
	if from, ok := a.nextPeer(tried); ok {
		a.fetchPeerParts(ledger.FetchParts{From: from, Digests: f.Digests}, tried, platformLast)
		return
	}
	if platformLast {
		a.readParts(f)
	}
}

// nextPeer returns a partner that knows the same bundles and has not been
// tried.
func (a *Agent) nextPeer(tried []ledger.Source) (ledger.Source, bool) {
	if len(tried) >= maxPeersTried {
		return ledger.Source{}, false
	}
	r := a.revisions()
	fingerprint := r.Fingerprint()
	for id, p := range a.partners {
		if from := peerSource(id); p.fingerprint == fingerprint && !slices.Contains(tried, from) {
			return from, true
		}
	}
	return ledger.Source{}, false
}

// applyParts passes parts to the ledger and wakes the peers that wait for parts.
func (a *Agent) applyParts(from ledger.Source, parts []bundle.Part) {
	a.counters.PartsFetched += uint64(len(parts))
	a.log.Debug("parts received", "from", from.String(), "parts", len(parts))
	if len(parts) == 0 {
		return
	}
	a.relay.provider = from
	a.stepLedger(ledger.PartsReceived{From: from, Parts: parts})
	close(a.relay.changed)
	a.relay.changed = make(chan struct{})
}
