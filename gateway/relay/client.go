package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

const (
	// maxPeersTried is the number of peers that a request is sent to at most. All but the last
	// have stated that they did not run it.
	maxPeersTried = 3
	// maxPeersAsked is the number of peers that are asked for offers at a time, half of them in
	// the own zone if it has that many. If none accepts, the next ones are asked, up to
	// maxBatches times.
	maxPeersAsked = 8
	maxBatches    = 8
	// offerTimeout bounds the call that asks for an offer.
	offerTimeout = 300 * time.Millisecond
	// refreshInterval is the minimum time between two rounds of asking for offers. It doubles with
	// each round in which no peer accepts, up to maxRefreshInterval: while a service is down, each
	// instance would ask all the others otherwise.
	refreshInterval    = 500 * time.Millisecond
	maxRefreshInterval = 2 * time.Second
	// maxOfferWait is how long a request waits for offers. Peers that reach the upstreams accept
	// within a few ms.
	maxOfferWait = 400 * time.Millisecond
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long idle connections to peers are kept open, idlePerPeer how many.
	idleTimeout = 4 * time.Second
	idlePerPeer = 8
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Zone is the zone of this instance. RegionOf returns the region of a zone.
	Zone     ident.Zone
	RegionOf func(ident.Zone) ident.Region
	// Peers returns the other instances that are alive and not stopping.
	Peers func() []Peer
	// AskOffer calls MethodOffer of a peer.
	AskOffer func(ctx context.Context, p Peer, service string) (Offer, error)
	// Dialer opens connections to peers; nil for the network's.
	Dialer roundtrip.Dialer
	Log    *slog.Logger
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	o    ClientOptions
	http *roundtrip.Client

	mu sync.Mutex
	// services holds the offers of peers by service.
	services map[string]*serviceOffers
}

// serviceOffers holds the offers of peers for one service.
type serviceOffers struct {
	*directory
	// asked is when the last round of asking for offers began, interval the minimum time until the
	// next one. round is that round, nil before the first one.
	asked    time.Time
	interval time.Duration
	round    *offerRound
}

// offerRound is a round of asking peers for offers. accepted is closed when a peer has accepted, or
// when the round is over; over is closed when it is over.
type offerRound struct{ accepted, over chan struct{} }

// NewClient returns a client without offers.
func NewClient(o ClientOptions) *Client {
	return &Client{
		o: o, services: map[string]*serviceOffers{},
		http: roundtrip.New(roundtrip.Options{Dialer: o.Dialer, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, IdlePerUpstream: idlePerPeer}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Send sends a request with the given deadline to a peer in one of the regions, and to another one if
// that declines it. The caller must close the body of the response, which is an upstream's. The
// error is a *Failure, a *LostError or a *NoPeerError.
func (c *Client) Send(ctx context.Context, q Request, body []byte, deadline time.Time, regions routing.Regions) (*http.Response, error) {
	offers := c.offers(q.Service)
	for tried := range maxPeersTried {
		p, ok := c.choose(ctx, q.Service, offers, q.Version, regions)
		if !ok {
			return nil, &NoPeerError{Asked: tried}
		}
		q.RemainingMS = clock.Until(deadline).Milliseconds()
		resp, err := c.post(ctx, p, q, body)
		if err == nil {
			return resp, nil
		}
		var failure *Failure
		var lost *LostError
		if errors.As(err, &lost) || errors.As(err, &failure) && !failure.Declined {
			return nil, err
		}
		c.o.Log.Info("peer did not take a relayed request", "request", q.Call.ID, "peer", p.peer.ID, "error", logs.ErrorText(err))
		offers.drop(p.peer.ID)
	}
	return nil, &NoPeerError{Asked: maxPeersTried}
}

// choose returns a peer that offers to serve a request. It asks for offers if the last round was
// some time ago. If no offer is left, it waits for the first one of that round, then for the others.
func (c *Client) choose(ctx context.Context, service string, offers *serviceOffers, version int64, regions routing.Regions) (offered, bool) {
	round := c.refresh(service, offers)
	if p, ok := offers.choose(clock.Now(), version, regions); ok {
		return p, true
	}
	ctx, cancel := context.WithTimeout(ctx, maxOfferWait)
	defer cancel()
	for _, offered := range []<-chan struct{}{round.accepted, round.over} {
		select {
		case <-offered:
		case <-ctx.Done():
		}
		if p, ok := offers.choose(clock.Now(), version, regions); ok {
			return p, true
		}
	}
	return offered{}, false
}

// offers returns the offers for a service.
func (c *Client) offers(service string) *serviceOffers {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		s = &serviceOffers{directory: newDirectory(c.o.Zone, c.o.RegionOf), interval: refreshInterval}
		c.services[service] = s
	}
	return s
}

// refresh asks peers for offers unless that was done recently, and returns the last round.
func (c *Client) refresh(service string, s *serviceOffers) *offerRound {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if s.round != nil && now.Sub(s.asked) < s.interval {
		return s.round
	}
	s.asked, s.round = now, &offerRound{accepted: make(chan struct{}), over: make(chan struct{})}
	go c.askAll(service, s, s.round)
	return s.round
}

// askAll asks peers for offers, a batch after the other until one has accepted.
func (c *Client) askAll(service string, s *serviceOffers, round *offerRound) {
	var once sync.Once
	done := func() { once.Do(func() { close(round.accepted) }) }
	defer close(round.over)
	defer done()
	near, far := c.shuffledPeers()
	accepted := false
	for range maxBatches {
		var batch []Peer
		if batch, near, far = nextBatch(near, far); len(batch) == 0 {
			break
		}
		if accepted = c.askBatch(service, s, batch, done); accepted {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.interval = min(2*s.interval, maxRefreshInterval); accepted {
		s.interval = refreshInterval
	}
}

// askBatch asks some peers for offers and calls accepted at the first one that accepts. It reports
// whether any did.
func (c *Client) askBatch(service string, s *serviceOffers, batch []Peer, accepted func()) bool {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var any atomic.Bool
	for _, p := range batch {
		asking.Go(func() {
			offer, err := c.o.AskOffer(ctx, p, service)
			if err != nil {
				c.o.Log.Debug("peer did not answer whether it serves relayed requests", "peer", p.ID, "error", err)
			}
			s.set(clock.Now(), p, offer)
			if offer.Accepts {
				any.Store(true)
				accepted()
			}
		})
	}
	asking.Wait()
	return any.Load()
}

// nextBatch returns up to maxPeersAsked peers, up to half of them from far if near has enough, and
// the remaining ones.
func nextBatch(near, far []Peer) (batch, restNear, restFar []Peer) {
	fromFar := min(len(far), max(maxPeersAsked/2, maxPeersAsked-len(near)))
	fromNear := min(len(near), maxPeersAsked-fromFar)
	batch = append(slices.Clone(near[:fromNear]), far[:fromFar]...)
	return batch, near[fromNear:], far[fromFar:]
}

// shuffledPeers returns the peers of the own zone and those of other zones, in random order.
func (c *Client) shuffledPeers() (near, far []Peer) {
	for _, p := range c.o.Peers() {
		if p.Zone == c.o.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	shuffle(near)
	shuffle(far)
	return near, far
}

// shuffle puts a list in random order.
func shuffle(list []Peer) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// post sends a request to one peer. The error is a *Failure, a *LostError, or any other if no byte of
// the request was sent.
func (c *Client) post(ctx context.Context, p offered, q Request, body []byte) (*http.Response, error) {
	head, err := encodeHead(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+requestPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req, io.MultiReader(bytes.NewReader(head), bytes.NewReader(body)), int64(len(head)+len(body)))
	if err != nil && adapter.AsCallError(err).Evidence == kernel.NotSent {
		return nil, err
	}
	if err != nil {
		return nil, &LostError{Peer: p.peer.ID, Err: err}
	}
	if resp.Header.Get(headerResult) == resultAnswer {
		resp.Header.Del(headerResult)
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readFailure(p.peer.ID, resp)
}

// readFailure reads the Failure in a response. The error is a *LostError if there is none.
func readFailure(from ident.InstanceID, resp *http.Response) error {
	f := &Failure{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFailureBytes)).Decode(f); err != nil {
		return &LostError{Peer: from, Err: err}
	}
	return f
}
