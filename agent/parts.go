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

// Bounds of fetching.
const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 5 * time.Second
	// readBatch is how many parts are read from the platform at once, readPause the
	// time between two batches: a whole bundle read by all readers of a fleet that
	// starts must leave the platform's rate to others.
	readBatch = 8
	readPause = 150 * time.Millisecond
	// hedgeAfter is how long the platform may take before a peer is asked as
	// well.
	hedgeAfter = 300 * time.Millisecond
	// maxTried bounds the peers that one fetch goes to.
	maxTried = 3
)

// fetchParts fetches parts from a peer or the platform. The ledger names the
// source that it heard of last; here more is known. An instance that watches the
// platform for its zone reads the platform at once, so that others have whom to
// ask. The others go on with the source that just gave some, since two that asked
// each other would both wait; they read the platform only if no peer gives any:
// the parts of a bundle are some hundred calls.
func (a *Agent) fetchParts(f ledger.FetchParts) {
	a.log.Debug("fetch parts", "from", f.From.String(), "parts", len(f.Digests))
	first := a.firstPeer(f)
	a.relay.provider = ledger.Source{}
	if !a.readsBundles() {
		a.fetchPeerParts(first, nil, f.From == fromPlatform)
		return
	}
	done := a.readParts(first)
	a.spawn(func(ctx context.Context) { a.hedge(ctx, done, first) })
}

// firstPeer returns the fetch from the peer to ask first: the one that just gave
// parts, or else the one that the ledger names, or else one that told this
// starting instance of the floor.
func (a *Agent) firstPeer(f ledger.FetchParts) ledger.FetchParts {
	answered := a.relay.answered
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
	w := a.source.watches
	return a.source.answers && (w[configservice.KeyRoll] != nil || w[configservice.KeyBundleHead] != nil)
}

// hedge asks a peer as well when a read of the platform takes long.
func (a *Agent) hedge(ctx context.Context, done <-chan struct{}, f ledger.FetchParts) {
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(hedgeAfter):
		a.post(func() { a.fetchPeerParts(f, nil, false) })
	}
}

// readParts reads parts from the platform, some at a time, and asks a peer if it
// gives none. They are taken in together: the ledger asks anew for what is still
// missing after each gift. The channel is closed at the end.
func (a *Agent) readParts(f ledger.FetchParts) <-chan struct{} {
	done := make(chan struct{})
	a.spawn(func(ctx context.Context) {
		defer close(done)
		parts := a.readAll(ctx, f.Digests)
		a.post(func() {
			if len(parts) == 0 && f.From.Kind == ledger.SourcePeer {
				a.fetchPeerParts(f, nil, false)
				return
			}
			a.takeParts(fromPlatform, parts)
		})
	})
	return done
}

// readAll returns those of the parts that the platform gives.
func (a *Agent) readAll(ctx context.Context, digests []bundle.Digest) []bundle.Part {
	parts := make([]bundle.Part, 0, len(digests))
	for len(digests) > 0 {
		batch := digests[:min(readBatch, len(digests))]
		digests = digests[len(batch):]
		got := a.readSome(ctx, batch)
		parts = append(parts, got...)
		// Where a whole batch fails the others would, too.
		if len(digests) == 0 || len(got) == 0 || !rest(ctx, readPause) {
			break
		}
	}
	return parts
}

// readSome reads parts all at once.
func (a *Agent) readSome(ctx context.Context, digests []bundle.Digest) []bundle.Part {
	parts := make([]bundle.Part, len(digests))
	var group sync.WaitGroup
	for i, d := range digests {
		group.Go(func() {
			if v, err := a.reader.Get(ctx, configservice.KeyBundleParts+d.String()); err == nil {
				parts[i] = bundle.Part{Digest: d, Bytes: v.Bytes}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(parts, func(p bundle.Part) bool { return p.Bytes == nil })
}

// rest waits. It returns false if ctx ended first.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchPeerParts fetches parts from a peer, or from others that know the same
// bundles if it gives none, and last from the platform if so wanted. tried lists
// those that gave none.
func (a *Agent) fetchPeerParts(f ledger.FetchParts, tried []ledger.Source, platformLast bool) {
	tried = append(tried, f.From)
	address := a.addressOf(f.From)
	if f.From.Kind != ledger.SourcePeer || address == "" {
		a.fetchElsewhere(f, tried, platformLast)
		return
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		got, err := peer.Call[wire.Parts](ctx, a.peers, address, wire.MethodParts, wire.PartsRequest{Digests: f.Digests})
		if err != nil || len(got.Parts) == 0 {
			a.post(func() { a.fetchElsewhere(f, tried, platformLast) })
			return
		}
		parts := make([]bundle.Part, len(got.Parts))
		for i, p := range got.Parts {
			parts[i] = bundle.Part{Digest: p.Digest, Bytes: p.Bytes}
		}
		a.post(func() { a.takeParts(f.From, parts) })
	})
}

// fetchElsewhere goes on with another partner that knows the same bundles. If
// there is none, the ledger asks again after a while.
func (a *Agent) fetchElsewhere(f ledger.FetchParts, tried []ledger.Source, platformLast bool) {
	if a.ledger.Missing() == 0 {
		return
	}
	if from, ok := a.anotherHolder(tried); ok {
		a.fetchPeerParts(ledger.FetchParts{From: from, Digests: f.Digests}, tried, platformLast)
		return
	}
	if platformLast {
		a.readParts(f)
	}
}

// anotherHolder returns a partner that knows the same bundles and was not tried.
func (a *Agent) anotherHolder(tried []ledger.Source) (ledger.Source, bool) {
	if len(tried) >= maxTried {
		return ledger.Source{}, false
	}
	n := a.news()
	mark := n.Mark()
	for id, p := range a.partners {
		if from := peerSource(id); p.mark == mark && !slices.Contains(tried, from) {
			return from, true
		}
	}
	return ledger.Source{}, false
}

// takeParts gives the ledger parts and wakes the peers that wait for some.
func (a *Agent) takeParts(from ledger.Source, parts []bundle.Part) {
	a.counters.PartsFetched += uint64(len(parts))
	a.log.Debug("parts came", "from", from.String(), "parts", len(parts))
	if len(parts) == 0 {
		return
	}
	a.relay.provider = from
	a.step(ledger.PartsSeen{From: from, Parts: parts})
	close(a.relay.changed)
	a.relay.changed = make(chan struct{})
}
