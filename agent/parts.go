package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/platform"
)

// Bounds of fetching.
const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 5 * time.Second
	// fetchParallel is how many parts are read from the platform at once.
	fetchParallel = 4
	// hedgeAfter is how long the platform may take before a peer is asked as
	// well.
	hedgeAfter = 300 * time.Millisecond
	// maxTried bounds the peers that one fetch goes to.
	maxTried = 3
)

// fetchParts fetches parts from a peer or the platform. The ledger names the
// source that it heard of last; here more is known. An instance that watches the
// platform for its zone reads the platform at once, so that others have whom to
// ask; the others go on with the source that just gave some, since two that asked
// each other would both wait.
func (a *Agent) fetchParts(f ledger.FetchParts) {
	a.log.Debug("fetch parts", "from", f.From.String(), "parts", len(f.Digests))
	first := f
	if p := a.relay.provider; p.Kind == ledger.SourcePeer {
		first.From = p
	}
	a.relay.provider = ledger.Source{}
	if f.From != fromPlatform && !a.readsBundles() {
		a.fetchPeerParts(first, nil)
		return
	}
	done := a.readParts(first)
	a.spawn(func(ctx context.Context) { a.hedge(ctx, done, first) })
}

// readsBundles reports whether this instance watches a bundle key for its zone
// and reaches the platform.
func (a *Agent) readsBundles() bool {
	w := a.source.watches
	return a.source.answers && (w[platform.KeyRoll] != nil || w[platform.KeyBundleHead] != nil)
}

// hedge asks a peer as well when a read of the platform takes long.
func (a *Agent) hedge(ctx context.Context, done <-chan struct{}, f ledger.FetchParts) {
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(hedgeAfter):
		a.post(func() { a.fetchPeerParts(f, nil) })
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
			if len(parts) == 0 {
				a.fetchPeerParts(f, nil)
				return
			}
			a.takeParts(fromPlatform, parts)
		})
	})
	return done
}

// readAll returns those of the parts that the platform gives.
func (a *Agent) readAll(ctx context.Context, digests []bundle.Digest) []bundle.Part {
	parts := make([]bundle.Part, len(digests))
	var group sync.WaitGroup
	slots := make(chan struct{}, fetchParallel)
	for i, d := range digests {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if v, err := a.reader.Get(ctx, platform.KeyBundleParts+d.String()); err == nil {
				parts[i] = bundle.Part{Digest: d, Bytes: v.Bytes}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(parts, func(p bundle.Part) bool { return p.Bytes == nil })
}

// fetchPeerParts fetches parts from a peer, or from others that know the same
// bundles if it gives none. tried lists those that gave none.
func (a *Agent) fetchPeerParts(f ledger.FetchParts, tried []ledger.Source) {
	tried = append(tried, f.From)
	address := a.addressOf(f.From)
	if f.From.Kind != ledger.SourcePeer || address == "" {
		a.fetchElsewhere(f, tried)
		return
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		got, err := peer.Call[wire.Parts](ctx, a.peers, address, wire.MethodParts, wire.PartsRequest{Digests: f.Digests})
		if err != nil || len(got.Parts) == 0 {
			a.post(func() { a.fetchElsewhere(f, tried) })
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
func (a *Agent) fetchElsewhere(f ledger.FetchParts, tried []ledger.Source) {
	if len(tried) >= maxTried || a.ledger.Missing() == 0 {
		return
	}
	n := a.news()
	mark := n.Mark()
	for id, p := range a.partners {
		from := peerSource(id)
		if p.mark == mark && !slices.Contains(tried, from) {
			a.fetchPeerParts(ledger.FetchParts{From: from, Digests: f.Digests}, tried)
			return
		}
	}
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
