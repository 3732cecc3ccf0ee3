package fleet

import (
	"context"
	"slices"
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
	// versions that serve. An older one may lack new upstreams. Lists are read twice in this time.
	maxVersionsAge = staleAfter
	// maxListGap is the time between two lists within which no upstream comes and goes unseen.
	maxListGap = 3 * time.Second
	// maxOriginEngines is the largest number of engines of a service for which all of them are asked for the
	// origin of a stream.
	maxOriginEngines = 128
	// historyTimeout bounds the reading of the store's history, for which a caller waits, and
	// historyRetryInterval is the time after which it is tried again.
	historyTimeout       = 300 * time.Millisecond
	historyRetryInterval = time.Second
	// originConfirmTimeout bounds the question to peers while this instance lists one version alone.
	originConfirmTimeout = 50 * time.Millisecond
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

// originAnswers sums up what peers answered to the question for the origin of a stream.
type originAnswers struct {
	version string
	known   bool
	// asked and answered count the peers.
	asked, answered int
}

// StreamBegan implements carry.Origins.
func (n *Node) StreamBegan(service string, o origin.Origin) {
	n.origins.Add(clock.Now(), service, o)
	select {
	case n.originAdded <- struct{}{}:
	default:
	}
}

// StreamVersion implements carry.Origins. While one version is listed, it asks peers whether a stream began at
// another one, which their lists may show first.
func (n *Node) StreamVersion(ctx context.Context, service string, q origin.Query) (string, origin.Source) {
	if version, ok := n.origins.Find(clock.Now(), q.Attempt); ok {
		return version, origin.OwnRecord
	}
	sole := n.soleVersion(service)
	if sole.certain() && q.Attempt == "" {
		return sole.version, origin.SoleVersion
	}
	timeout := originFindTimeout
	if sole.certain() {
		timeout = originConfirmTimeout
	}
	peers := n.askOrigin(ctx, q.Attempt, timeout)
	switch {
	case peers.known:
		return peers.version, origin.PeerRecord
	case sole.certain() && (peers.answered > 0 || peers.asked == 0):
		return sole.version, origin.SoleVersion
	case !sole.fresh:
		// The engine that began the stream may not be listed yet, and engines that are listed may show an earlier
		// attempt.
		n.opts.Log.Info("origin not searched", "reason", "old_list", "service", service, "first_attempt", q.Attempt, "peers_asked", peers.asked, "peers_answered", peers.answered)
		n.count("origin_old_list")
		return "", origin.Unknown
	}
	return n.forgottenOrigin(ctx, service, q)
}

// forgottenOrigin returns the software version that began a stream which no instance remembers, as after
// the loss of all of them. Only engines show it: what the store lists and keeps of its history may lack a
// version that has left.
func (n *Node) forgottenOrigin(ctx context.Context, service string, q origin.Query) (string, origin.Source) {
	if q.Attempt == "" && q.Part == "" {
		return "", origin.Unknown
	}
	known := n.readHistory(ctx)
	found := n.finder.Find(ctx, n.originEngines(service, known), q, origin.ReadTTL)
	n.opts.Log.Info("origin searched at engines", "service", service, "first_attempt", q.Attempt, "rule", string(found.Rule), "software_version", found.Version,
		"asked", found.Asked, "incomplete", found.Incomplete, "traces", found.Traces, "history", known, "took_ms", found.Took.Milliseconds())
	n.count("origin_" + string(found.Rule))
	if found.Known {
		return found.Version, origin.EngineTrace
	}
	return "", origin.Unknown
}

// PromptVersion implements carry.Origins. It asks each engine once after the start of the instance: an
// instance that has run for longer than callers wait need not ask.
func (n *Node) PromptVersion(ctx context.Context, service string, q origin.Query) (version string, ok bool) {
	sole := n.soleVersion(service)
	if sole.settled || sole.only || q.Part == "" {
		return "", false
	}
	found := n.finder.Find(ctx, n.originEngines(service, n.readHistory(ctx)), q, origin.TTL)
	if found.Known {
		n.count("prompt_version_found")
	}
	return found.Version, found.Known
}

// originEngines returns the decode engines that are asked for the origin of a stream of a service. Of a large
// service, only some of the instance's own zone are asked, where most of its streams run. If stagesKnown is
// false, each of them may have been a prefill engine before.
func (n *Node) originEngines(service string, stagesKnown bool) []origin.Engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	engines := n.view.decodeEngines(clock.Now(), service)
	if len(engines) > maxOriginEngines {
		engines = slices.DeleteFunc(engines, func(e origin.Engine) bool { return e.Zone != n.opts.Self.Zone })
		engines = engines[:min(len(engines), maxOriginEngines)]
		// An engine that is not asked may have begun the stream.
		stagesKnown = false
	}
	for i := range engines {
		engines[i].Restaged = engines[i].Restaged || !stagesKnown
	}
	return engines
}

// readHistory reads which upstreams the store listed before the first list of this instance, or the first one
// after a gap, and reports whether that is known. An instance whose list is older than origin.TTL needs no
// history.
func (n *Node) readHistory(ctx context.Context) bool {
	select {
	case n.historyLock <- struct{}{}:
		defer func() { <-n.historyLock }()
	case <-ctx.Done():
		return false
	}
	n.mu.Lock()
	since := n.view.listedSince
	known := n.view.hasList && (since.Equal(n.historySince) || clock.Since(since) >= origin.TTL)
	listed, revision := n.view.hasList, n.view.revision
	n.mu.Unlock()
	if known || !listed || since.Equal(n.historyAbsent) || clock.Since(n.historyFailed) < historyRetryInterval {
		return known
	}
	// The caller may leave, but others wait for the history.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
	defer cancel()
	start := clock.Now()
	h, err := n.opts.Source.History(ctx, revision)
	if err != nil {
		n.historyFailed = clock.Now()
		n.opts.Log.Info("reading the store's history failed", "took_ms", clock.Since(start).Milliseconds(), "error", err)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	retired := n.view.retireHistory(clock.Now(), h)
	if h.Kept {
		n.historySince = since
	} else {
		// The store will not know more of that time later.
		n.historyAbsent = since
	}
	n.opts.Log.Info("store's history read", "kept", h.Kept, "states", len(h.States), "unidentified", h.Unidentified, "retired", retired, "took_ms", clock.Since(start).Milliseconds())
	return h.Kept
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

// askOrigin asks the responsible instances for the origin of a stream, and waits for their answers at most for the
// given time.
func (n *Node) askOrigin(ctx context.Context, attempt string, timeout time.Duration) (sum originAnswers) {
	if attempt == "" {
		return sum
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		OriginAnswer
		err error
	}
	results := make(chan result, originAsked)
	for _, address := range n.originKeepers(attempt, originAsked) {
		if address == n.opts.Self.Address {
			continue
		}
		sum.asked++
		go func() {
			answer, err := peer.Call[OriginAnswer](ctx, n.opts.Pool, address, MethodFindOrigin, OriginRequest{Attempt: attempt})
			if err != nil {
				n.opts.Log.Debug("asking for the origin of a stream failed", "peer", address, "error", err)
			}
			results <- result{answer, err}
		}()
	}
	for range sum.asked {
		r := <-results
		if r.err != nil {
			continue
		}
		sum.answered++
		if r.Known {
			sum.version, sum.known = r.Version, true
			break
		}
	}
	return sum
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
