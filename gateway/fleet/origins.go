package fleet

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/rendezvous"
)

const (
	// MethodShareOrigins tells a peer the software versions that began streams.
	MethodShareOrigins = "gateway.share-origins"
	// MethodFindOrigin asks a peer for the software version that began a stream.
	MethodFindOrigin = "gateway.find-origin"
)

const (
	// dutyOrigin is the prefix of the name of the duty to remember the origin of a stream. The ID of the
	// attempt that began it follows.
	dutyOrigin = "origin/"
	// originKeepers is the number of instances that remember an origin, so that it outlives some of them.
	// originAsked is the number that are asked for it: those ranked first may have changed meanwhile.
	originKeepers = 3
	originAsked   = 4
	// originShareInterval is the time between two rounds of sharing. A stream takes some seconds.
	originShareInterval = 100 * time.Millisecond
	// maxSharedOrigins is the number of origins in one message.
	maxSharedOrigins = 500
	// originShareTimeout bounds one message. originFindTimeout bounds the search, for which a caller
	// waits; peers answer in a few milliseconds.
	originShareTimeout = 500 * time.Millisecond
	originFindTimeout  = 200 * time.Millisecond
	// maxVersionsAge is the age of the list of upstreams up to which it counts as showing all software
	// versions that serve. An older one may lack new upstreams.
	maxVersionsAge = 3 * time.Second
)

// SharedOrigins holds origins that a peer is to remember.
type SharedOrigins struct {
	Origins []origin.Origin `json:"o"`
}

// OriginRequest asks for the origin of a stream, named by the attempt that brought its first event.
type OriginRequest struct {
	Attempt string `json:"a"`
}

// OriginAnswer is the answer to an OriginRequest.
type OriginAnswer struct {
	Known   bool   `json:"k,omitempty"`
	Version string `json:"v,omitempty"`
}

// StreamBegan implements carry.Origins.
func (n *Node) StreamBegan(service string, o origin.Origin) {
	n.origins.Add(clock.Now(), service, o)
	select {
	case n.originAdded <- struct{}{}:
	default:
	}
}

// StreamVersion implements carry.Origins. While one version serves, it asks nobody.
func (n *Node) StreamVersion(ctx context.Context, service, attempt string) (string, origin.Source) {
	sole := n.soleVersion(service)
	if sole.certain() {
		return sole.version, origin.SoleVersion
	}
	if version, ok := n.origins.Find(clock.Now(), attempt); ok {
		return version, origin.OwnRecord
	}
	if version, ok := n.askOrigin(ctx, attempt); ok {
		return version, origin.PeerRecord
	}
	if sole.only && sole.fresh {
		return sole.version, origin.OnlyListed
	}
	return "", origin.Unknown
}

// soleVersion is what the list of upstreams says about the software versions of a service's engines.
type soleVersion struct {
	// only means that one version alone is listed, or was within origin.TTL. It may be "", for engines that
	// state none.
	only    bool
	version string
	// settled means that the list is known for origin.TTL, fresh that it is recent.
	settled, fresh bool
}

// certain reports whether no other version can have begun a stream that goes on.
func (v soleVersion) certain() bool { return v.only && v.settled && v.fresh }

// soleVersion returns what the list says about the engines of a service.
func (n *Node) soleVersion(service string) soleVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	versions := n.view.softwareVersions(now, service)
	sole := soleVersion{
		only:    len(versions) == 1,
		settled: n.view.hasList && now.Sub(n.view.listedSince) >= origin.TTL,
		fresh:   n.view.hasList && now.Sub(n.view.asOf) <= maxVersionsAge,
	}
	if sole.only {
		sole.version = versions[0]
	}
	return sole
}

// ShareOrigins tells the responsible instances the origins of streams of services of which several
// software versions serve, until ctx ends.
func (n *Node) ShareOrigins(ctx context.Context) {
	for n.awaitOrigin(ctx) && pause.For(ctx, originShareInterval) {
		n.shareOrigins(ctx)
	}
}

// awaitOrigin blocks until an origin is remembered. It returns false if ctx ends.
func (n *Node) awaitOrigin(ctx context.Context) bool {
	for n.origins.Empty(clock.Now()) {
		select {
		case <-n.originAdded:
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// shareOrigins makes one round.
func (n *Node) shareOrigins(ctx context.Context) {
	unshared := n.origins.Unshared(clock.Now(), func(service string) bool {
		return !n.soleVersion(service).certain()
	})
	batches := map[string][]origin.Origin{}
	for _, o := range unshared {
		for _, address := range n.originKeepers(o.Attempt, originKeepers) {
			if address != n.opts.Self.Address {
				batches[address] = append(batches[address], o)
			}
		}
	}
	for address, batch := range batches {
		go n.sendOrigins(ctx, address, batch)
	}
}

// sendOrigins sends origins to one instance.
func (n *Node) sendOrigins(ctx context.Context, address string, batch []origin.Origin) {
	ctx, cancel := context.WithTimeout(ctx, originShareTimeout)
	defer cancel()
	for len(batch) > 0 {
		count := min(len(batch), maxSharedOrigins)
		if _, err := peer.Call[struct{}](ctx, n.opts.Pool, address, MethodShareOrigins, SharedOrigins{Origins: batch[:count]}); err != nil {
			n.opts.Log.Info("sharing the origins of streams failed", "peer", address, "count", len(batch), "error", err)
			return
		}
		batch = batch[count:]
	}
}

// originKeepers returns the addresses of the instances that remember the origin of a stream.
func (n *Node) originKeepers(attempt string, count int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.holders(clock.Now(), dutyOrigin+attempt, count)
}

// holders returns the addresses of the live instances that rank first for a duty.
func (r *Roster) holders(now time.Time, duty string, count int) []string {
	r.refresh(now)
	var out []string
	for _, id := range rendezvous.Top(duty, r.candidates[""], count) {
		address := r.self.Address
		if p := r.peers[id]; p != nil {
			address = p.member.Address
		}
		out = append(out, address)
	}
	return out
}

// askOrigin asks the responsible instances for the origin of a stream.
func (n *Node) askOrigin(ctx context.Context, attempt string) (version string, known bool) {
	if attempt == "" {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, originFindTimeout)
	defer cancel()
	answers := make(chan OriginAnswer, originAsked)
	asked := 0
	for _, address := range n.originKeepers(attempt, originAsked) {
		if address == n.opts.Self.Address {
			continue
		}
		asked++
		go func() {
			answer, err := peer.Call[OriginAnswer](ctx, n.opts.Pool, address, MethodFindOrigin, OriginRequest{Attempt: attempt})
			if err != nil {
				n.opts.Log.Debug("asking for the origin of a stream failed", "peer", address, "error", err)
			}
			answers <- answer
		}()
	}
	for range asked {
		if answer := <-answers; answer.Known {
			return answer.Version, true
		}
	}
	return "", false
}

// onShareOrigins remembers origins that a peer shares.
func (n *Node) onShareOrigins(_ context.Context, _ peer.Identity, shared SharedOrigins) (struct{}, error) {
	now := clock.Now()
	for _, o := range shared.Origins {
		n.origins.AddShared(now, o)
	}
	return struct{}{}, nil
}

// onFindOrigin answers a peer's question.
func (n *Node) onFindOrigin(_ context.Context, _ peer.Identity, request OriginRequest) (OriginAnswer, error) {
	version, known := n.origins.Find(clock.Now(), request.Attempt)
	return OriginAnswer{Known: known, Version: version}, nil
}
