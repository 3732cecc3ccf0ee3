package agent

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// Limits of relaying.
const (
	// partsBytes limits the parts of one answer; one part is always sent.
	partsBytes = 128 << 10
	// servingInterval is the minimum time between two answers with parts,
	// maxServingWait the longest wait for the next slot. When a zone starts, all
	// its instances query the few that have the parts, and each answer makes
	// about a megabyte of garbage.
	servingInterval = 50 * time.Millisecond
	maxServingWait  = 300 * time.Millisecond
	// maxPartsWait is how long an answer waits for parts that this instance is
	// fetching.
	maxPartsWait = 500 * time.Millisecond
	// documentTimeout limits the fetch of a roll or head. It is short, since only
	// one fetch of each document runs at a time.
	documentTimeout = 2 * time.Second
)

// relay is the loop's state of relaying bundles to peers.
type relay struct {
	// changed is closed and replaced when parts arrive.
	changed chan struct{}
	// servingSlot is a semaphore, held until servingInterval has passed since the
	// last answer with parts.
	servingSlot chan struct{}
	// fetching holds the keys of the documents that are being fetched.
	fetching map[string]bool
	// provider is the source of the last parts received since the last fetch.
	provider ledger.Source
	// floorReporters lists the peers that reported the floor to this starting
	// instance.
	floorReporters []ledger.Source
}

// addressOf returns the address of the agent behind a ledger source, "" if it is
// not known.
func (a *Agent) addressOf(s ledger.Source) string {
	return a.directory.instances[ident.InstanceID(s.Name)].agent
}

// fetchDocument fetches the newest roll or head from a peer or the platform.
func (a *Agent) fetchDocument(from ledger.Source, key string) {
	if from.Kind == ledger.SourcePlatform {
		a.readKey(key)
		return
	}
	address := a.addressOf(from)
	if address == "" || a.relay.fetching[key] {
		return
	}
	a.relay.fetching[key] = true
	method := wire.MethodRoll
	if key == configservice.KeyBundleHead {
		method = wire.MethodManifest
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, documentTimeout)
		defer cancel()
		doc, err := peer.Call[wire.Document](ctx, a.peers, address, method, wire.Empty{})
		a.post(func() {
			delete(a.relay.fetching, key)
			a.handleDocument(from, key, doc, err)
		})
	})
}

// handleDocument handles the result of fetching a document from a peer.
func (a *Agent) handleDocument(from ledger.Source, key string, doc wire.Document, err error) {
	switch {
	case err != nil:
		a.log.Debug("cannot fetch document", "from", from.String(), "key", key, "error", err)
	case len(doc.Bytes) == 0:
	case key == configservice.KeyRoll:
		a.applyRoll(from, a.now, doc.Bytes)
	default:
		a.applyHead(from, doc.Bytes)
	}
}

// queryPeerFloor queries a peer for the floor.
func (a *Agent) queryPeerFloor(q ledger.QueryFloor) {
	address := a.addressOf(q.From)
	if address == "" {
		a.stepLedger(ledger.Unreachable{From: q.From})
		return
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		f, err := peer.Call[wire.Floor](ctx, a.peers, address, wire.MethodFloor, wire.Empty{})
		a.post(func() {
			if err != nil {
				a.stepLedger(ledger.Unreachable{From: q.From})
				return
			}
			a.reportRoll(ledger.FloorReport{From: q.From, Round: q.Round, Ready: f.Ready, InForce: f.InForce}, f.Roll)
		})
	})
}

// handleRelay registers the methods by which peers fetch bundles and lists.
func (a *Agent) handleRelay(s *peer.Server) {
	peer.Handle(s, wire.MethodRoll, func(ctx context.Context, _ peer.Identity, _ wire.Empty) (wire.Document, error) {
		return callLoop(ctx, a, a.rollDocument)
	})
	peer.Handle(s, wire.MethodManifest, func(ctx context.Context, _ peer.Identity, _ wire.Empty) (wire.Document, error) {
		return callLoop(ctx, a, a.headDocument)
	})
	peer.Handle(s, wire.MethodFloor, func(ctx context.Context, _ peer.Identity, _ wire.Empty) (wire.Floor, error) {
		return callLoop(ctx, a, a.floor)
	})
	peer.Handle(s, wire.MethodInForce, func(ctx context.Context, _ peer.Identity, _ wire.Empty) (wire.InForce, error) {
		return callLoop(ctx, a, func() wire.InForce { return wire.InForce{Version: a.ledger.Summary().InForce.Version} })
	})
	peer.Handle(s, wire.MethodLists, func(ctx context.Context, _ peer.Identity, r wire.ListsRequest) (wire.Lists, error) {
		return callLoop(ctx, a, func() wire.Lists { return a.newerLists(r) })
	})
	peer.Handle(s, wire.MethodParts, a.serveParts)
}

// rollDocument returns the newest roll for a peer.
func (a *Agent) rollDocument() wire.Document {
	if roll := a.ledger.Roll(); roll != nil {
		return wire.Document{Bytes: roll.Encode()}
	}
	return wire.Document{}
}

// headDocument returns the newest bundle head for a peer.
func (a *Agent) headDocument() wire.Document {
	if head := a.ledger.Newest(); head != nil {
		return wire.Document{Bytes: head.Encode()}
	}
	return wire.Document{}
}

// floor returns this instance's knowledge of the floor for a peer.
func (a *Agent) floor() wire.Floor {
	r := a.ledger.Report()
	return wire.Floor{Ready: r.Ready, InForce: r.InForce, Roll: a.rollDocument().Bytes}
}

// partsResult is the result of a peer's request for parts.
type partsResult struct {
	parts wire.Parts
	// changed is closed when more parts may be available, nil if none are being
	// fetched.
	changed <-chan struct{}
}

// serveParts answers a peer's request for parts. If this instance has none of
// them but is fetching some, the answer waits briefly, so that a bundle
// propagates from instance to instance without retry delays.
func (a *Agent) serveParts(ctx context.Context, _ peer.Identity, r wire.PartsRequest) (wire.Parts, error) {
	wait, cancel := context.WithTimeout(ctx, maxPartsWait)
	defer cancel()
	for {
		f, err := a.findPartsPaced(ctx, r.Digests)
		if err != nil || len(f.parts.Parts) > 0 || f.changed == nil {
			return f.parts, err
		}
		select {
		case <-f.changed:
		case <-wait.Done():
			return f.parts, nil
		}
	}
}

// findPartsPaced finds parts for an answer, limiting the rate of answers to bound
// the memory of those being written. It returns none if the wait would be too
// long: other instances have the parts too.
func (a *Agent) findPartsPaced(ctx context.Context, digests []bundle.Digest) (partsResult, error) {
	select {
	case a.relay.servingSlot <- struct{}{}:
		time.AfterFunc(servingInterval, func() { <-a.relay.servingSlot })
	case <-time.After(maxServingWait):
		return partsResult{}, nil
	case <-ctx.Done():
		return partsResult{}, ctx.Err()
	}
	return callLoop(ctx, a, func() partsResult { return a.findParts(digests) })
}

// findParts returns the requested parts that this instance has, up to the size
// limit.
func (a *Agent) findParts(digests []bundle.Digest) partsResult {
	var f partsResult
	size := 0
	for _, d := range digests[:min(len(digests), ledger.MaxFetchParts)] {
		b, ok := a.ledger.Part(d)
		if !ok {
			continue
		}
		if size += len(b); size > partsBytes && len(f.parts.Parts) > 0 {
			break
		}
		f.parts.Parts = append(f.parts.Parts, wire.Part{Digest: d, Bytes: b})
	}
	a.counters.PartsServed += uint64(len(f.parts.Parts))
	if a.ledger.Missing() > 0 {
		f.changed = a.relay.changed
	}
	return f
}
