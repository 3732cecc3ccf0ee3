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

// Bounds of relaying.
const (
	// partsBytes bounds the parts of one answer; one part is always sent.
	partsBytes = 128 << 10
	// servingPause is the least time between two answers with parts, servingWait
	// how long one may wait for its turn: when a zone starts, all of it asks the
	// few who have the parts. Each answer makes about a megabyte of garbage.
	servingPause = 50 * time.Millisecond
	servingWait  = 300 * time.Millisecond
	// partsWait is how long an answer waits for parts that are on their way here.
	partsWait = 500 * time.Millisecond
	// documentTimeout bounds the fetch of a roll or head; it is short, since one
	// fetch at a time is made of each.
	documentTimeout = 2 * time.Second
)

// relay is the loop's part of giving bundles to peers.
type relay struct {
	// changed is closed when parts came; then there is a new one.
	changed chan struct{}
	// serving is full while the last answer with parts is younger than the pause.
	serving chan struct{}
	// fetching holds the keys of the documents that are being fetched.
	fetching map[string]bool
	// provider gave parts last, since the last fetch.
	provider ledger.Source
	// answered are the peers that told this starting instance of the floor.
	answered []ledger.Source
}

// addressOf returns where the agent of a ledger's source takes calls, "" if that
// is not known.
func (a *Agent) addressOf(s ledger.Source) string {
	return a.book.instances[ident.InstanceID(s.Name)].agent
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
		doc, err := peer.Call[wire.Document](ctx, a.peers, address, method, wire.Nothing{})
		a.post(func() {
			delete(a.relay.fetching, key)
			a.fetched(from, key, doc, err)
		})
	})
}

// fetched takes in a document that a peer gave.
func (a *Agent) fetched(from ledger.Source, key string, doc wire.Document, err error) {
	switch {
	case err != nil:
		a.log.Debug("document not fetched", "from", from.String(), "key", key, "error", err)
	case len(doc.Bytes) == 0:
	case key == configservice.KeyRoll:
		a.takeRoll(from, a.now, doc.Bytes)
	default:
		a.takeHead(from, doc.Bytes)
	}
}

// askPeerFloor asks a peer for the floor.
func (a *Agent) askPeerFloor(q ledger.AskFloor) {
	address := a.addressOf(q.From)
	if address == "" {
		a.step(ledger.Unreachable{From: q.From})
		return
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		f, err := peer.Call[wire.Floor](ctx, a.peers, address, wire.MethodFloor, wire.Nothing{})
		a.post(func() {
			if err != nil {
				a.step(ledger.Unreachable{From: q.From})
				return
			}
			a.reportRoll(ledger.FloorReport{From: q.From, Round: q.Round, Ready: f.Ready, InForce: f.InForce}, f.Roll)
		})
	})
}

// handleRelay registers the methods by which peers get bundles and lists.
func (a *Agent) handleRelay(s *peer.Server) {
	peer.Handle(s, wire.MethodRoll, func(ctx context.Context, _ peer.Identity, _ wire.Nothing) (wire.Document, error) {
		return ask(ctx, a, a.rollDocument)
	})
	peer.Handle(s, wire.MethodManifest, func(ctx context.Context, _ peer.Identity, _ wire.Nothing) (wire.Document, error) {
		return ask(ctx, a, a.headDocument)
	})
	peer.Handle(s, wire.MethodFloor, func(ctx context.Context, _ peer.Identity, _ wire.Nothing) (wire.Floor, error) {
		return ask(ctx, a, a.floor)
	})
	peer.Handle(s, wire.MethodInForce, func(ctx context.Context, _ peer.Identity, _ wire.Nothing) (wire.InForce, error) {
		return ask(ctx, a, func() wire.InForce { return wire.InForce{Version: a.ledger.Summary().InForce.Version} })
	})
	peer.Handle(s, wire.MethodLists, func(ctx context.Context, _ peer.Identity, r wire.ListsRequest) (wire.Lists, error) {
		return ask(ctx, a, func() wire.Lists { return a.newerLists(r) })
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

// floor answers a peer that asks for the floor.
func (a *Agent) floor() wire.Floor {
	r := a.ledger.Report()
	return wire.Floor{Ready: r.Ready, InForce: r.InForce, Roll: a.rollDocument().Bytes}
}

// found is what the loop gives a peer that asks for parts.
type found struct {
	parts wire.Parts
	// changed is closed when there may be more, nil if none is on its way.
	changed <-chan struct{}
}

// serveParts answers a peer that asks for parts. If this instance has none of
// them yet, but is fetching, the answer waits a little: so a bundle travels from
// instance to instance without pauses.
func (a *Agent) serveParts(ctx context.Context, _ peer.Identity, r wire.PartsRequest) (wire.Parts, error) {
	wait, cancel := context.WithTimeout(ctx, partsWait)
	defer cancel()
	for {
		f, err := a.paced(ctx, r.Digests)
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

// paced finds parts for an answer, after a while if many are asked for: the
// memory of answers that are being written must stay small. It finds none if that
// would take too long: others have them too.
func (a *Agent) paced(ctx context.Context, digests []bundle.Digest) (found, error) {
	select {
	case a.relay.serving <- struct{}{}:
		time.AfterFunc(servingPause, func() { <-a.relay.serving })
	case <-time.After(servingWait):
		return found{}, nil
	case <-ctx.Done():
		return found{}, ctx.Err()
	}
	return ask(ctx, a, func() found { return a.findParts(digests) })
}

// findParts returns those of the parts asked for that are here and fit.
func (a *Agent) findParts(digests []bundle.Digest) found {
	var f found
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
