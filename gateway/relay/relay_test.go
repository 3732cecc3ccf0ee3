package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/target"
)

// peers are the instances of a test, by ID. Each one answers relayed requests with a handler.
type peers map[ident.InstanceID]http.HandlerFunc

// startPeers starts servers for the given peers, all in zone b, and returns a client in zone a that
// knows them, and a counter of the requests sent.
func startPeers(t *testing.T, list peers) (*Client, *atomic.Int64) {
	t.Helper()
	var known []Peer
	var sent atomic.Int64
	for id, handler := range list {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		known = append(known, Peer{ID: id, Zone: "b", Address: strings.TrimPrefix(server.URL, "http://")})
	}
	c := NewClient(ClientOptions{
		Zone: "a", RegionOf: func(z ident.Zone) ident.Region { return ident.Region("region of " + z) },
		Peers: func() []Peer { return known },
		AskOffer: func(_ context.Context, p Peer, _ string) (Offer, error) {
			return Offer{Accepts: true, Address: p.Address, Version: 5}, nil
		},
		Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(c.Close)
	return c, &sent
}

// send sends a request with the given body.
func send(t *testing.T, c *Client, q Request, body string, regions routing.Regions) (*http.Response, error) {
	t.Helper()
	return c.Send(t.Context(), q, []byte(body), time.Now().Add(time.Second), regions)
}

// decline declines a request.
func decline(w http.ResponseWriter, _ *http.Request) {
	_ = WriteFailure(w, Failure{Outcome: NotRun, Declined: true, Reason: "stopping"})
}

// TestRequestArrivesUnchanged checks that a peer reads the request and its body as they were sent.
func TestRequestArrivesUnchanged(t *testing.T) {
	key := routing.DigestKey("k")
	c, _ := startPeers(t, peers{"p": func(w http.ResponseWriter, r *http.Request) {
		q, in, length, err := ReadRequest(r)
		assert.Check(t, err == nil && q.Version == 5 && q.Runs == 1 && q.RemainingMS > 0 && *q.Call.Key == key, "%+v %v", q, err)
		body, err := io.ReadAll(in)
		assert.Check(t, err == nil && int64(len(body)) == length && q.Call.Header.Get("X") == "y\n")
		MarkAnswer(w.Header())
		_, _ = w.Write(body)
	}})
	q := Request{Call: dialect.Call{ID: "1", Header: http.Header{"X": {"y\n"}}, Key: &key}, Version: 5, Runs: 1}
	for _, body := range []string{"", "two\nlines", strings.Repeat("x", 100000)} {
		resp, err := send(t, c, q, body, nil)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
		assert.Equal(t, resp.Header.Get(headerResult), "")
		assert.NilError(t, resp.Body.Close())
	}
}

// TestBytesOfACallAreKept guards against strings that JSON changes because they are not UTF-8.
func TestBytesOfACallAreKept(t *testing.T) {
	key := routing.DigestKey("k")
	for _, text := range []string{"plain", "\u2028<&>ä", "\xff\x80"} {
		q := Request{Call: dialect.Call{
			ID: text, Method: "POST", Host: text, Target: target.Target("/" + text), Header: http.Header{"X": {text, "y"}}, Caller: key, Key: &key,
			CallerTimeout: time.Second, LastEvent: text, Resumes: text, ReceivedEvents: 1, HasTokenCounts: true, PromptTokens: 2,
			SharedPromptParts: []string{text}, LastPromptPart: text, LastPromptPartTokens: 3, MaxOutputTokens: 4, OutputEstimate: 5,
		}, Service: "s", Version: 6, Runs: 7}
		head, err := encodeHead(q)
		assert.NilError(t, err)
		assert.Equal(t, bytes.IndexByte(head, '\n'), len(head)-1)
		got, err := decodeHead(head)
		assert.NilError(t, err)
		assert.DeepEqual(t, *got, q)
	}
	got, err := decodeHead([]byte("{}"))
	assert.NilError(t, err)
	assert.Assert(t, got.Call.Header != nil)
	_, err = decodeHead([]byte(`{"exact_call":"AAAA"}`))
	assert.Assert(t, err != nil)
}

// TestDeclinedRequestGoesToAnotherPeer checks that a request is sent to the next peer after one that
// declined it, and to no other peer after one that may have run it.
func TestDeclinedRequestGoesToAnotherPeer(t *testing.T) {
	serve := func(w http.ResponseWriter, _ *http.Request) { MarkAnswer(w.Header()) }
	c, sent := startPeers(t, peers{"p": decline, "q": decline, "r": serve})
	resp, err := send(t, c, Request{}, "x", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, sent.Load() <= 3)

	c, sent = startPeers(t, peers{"p": decline, "q": decline})
	_, err = send(t, c, Request{}, "x", nil)
	var none *NoPeerError
	assert.Assert(t, errors.As(err, &none), "%v", err)
	assert.Equal(t, sent.Load(), int64(2))

	for name, handler := range map[string]http.HandlerFunc{
		"broken off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no result":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
	} {
		c, sent = startPeers(t, peers{"p": handler, "q": handler})
		_, err = send(t, c, Request{}, "x", nil)
		var lost *LostError
		assert.Assert(t, errors.As(err, &lost), "%s: %v", name, err)
		assert.Equal(t, sent.Load(), int64(1), name)
	}
	c, sent = startPeers(t, peers{"p": func(w http.ResponseWriter, _ *http.Request) {
		_ = WriteFailure(w, Failure{Outcome: Unknown, Reason: "engine_failed", RetryAfterMS: 7})
	}, "q": serve, "r": serve})
	for range 30 {
		var failure *Failure
		if resp, err = send(t, c, Request{}, "x", nil); errors.As(err, &failure) {
			assert.Equal(t, failure.RetryAfter(), 7*time.Millisecond)
			return
		}
		assert.NilError(t, resp.Body.Close())
	}
	t.Errorf("%d requests, none of them to the peer that fails", sent.Load())
}

// TestDeclinedRequestAwaitsFurtherOffers guards against giving up after the first peer that accepts has
// declined the request, while other peers are still being asked.
func TestDeclinedRequestAwaitsFurtherOffers(t *testing.T) {
	serve := func(w http.ResponseWriter, _ *http.Request) { MarkAnswer(w.Header()) }
	c, sent := startPeers(t, peers{"p": decline, "late": serve})
	ask := c.o.AskOffer
	c.o.AskOffer = func(ctx context.Context, p Peer, service string) (Offer, error) {
		if p.ID == "late" {
			time.Sleep(100 * time.Millisecond)
		}
		return ask(ctx, p, service)
	}
	resp, err := send(t, c, Request{}, "x", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, sent.Load(), int64(2))
}

// TestPeersThatMustNotServeGetNothing checks that a request is not sent to peers with an older
// configuration or in regions where it is not allowed.
func TestPeersThatMustNotServeGetNothing(t *testing.T) {
	c, sent := startPeers(t, peers{"p": decline})
	for _, r := range []struct {
		version int64
		regions routing.Regions
	}{{6, nil}, {5, routing.Regions{"region of a"}}} {
		_, err := send(t, c, Request{Version: r.version}, "x", r.regions)
		var none *NoPeerError
		assert.Assert(t, errors.As(err, &none), "%v", err)
	}
	assert.Equal(t, sent.Load(), int64(0))
}

// TestClosestPeersComeFirst checks that peers of the own zone are preferred, then those of the own
// region, and that expired offers are not used.
func TestClosestPeersComeFirst(t *testing.T) {
	regions := map[ident.Zone]ident.Region{"a": "east", "b": "east", "c": "west"}
	d := newDirectory("a", func(z ident.Zone) ident.Region { return regions[z] })
	now := time.Now()
	for _, zone := range []ident.Zone{"c", "b", "a"} {
		d.set(now, Peer{ID: ident.InstanceID(zone), Zone: zone}, Offer{Accepts: true, Address: "x"})
		o, ok := d.choose(now, 0, nil)
		assert.Assert(t, ok)
		assert.Equal(t, o.peer.Zone, zone)
	}
	d.set(now, Peer{ID: "a", Zone: "a"}, Offer{})
	o, ok := d.choose(now, 0, nil)
	assert.Assert(t, ok)
	assert.Equal(t, o.peer.Zone, ident.Zone("b"))
	_, ok = d.choose(now.Add(2*offerTTL), 0, nil)
	assert.Assert(t, !ok)
}

// TestMalformedRelayedRequests checks that a request that is too long, truncated or no JSON is an
// error.
func TestMalformedRelayedRequests(t *testing.T) {
	for _, text := range []string{"", "{}", "x\n", strings.Repeat("x", maxHeadBytes+1) + "\n"} {
		_, _, _, err := ReadRequest(httptest.NewRequest(http.MethodPost, requestPath, strings.NewReader(text)))
		var invalid *InvalidRequestError
		assert.Assert(t, errors.As(err, &invalid), "%.20q: %v", text, err)
	}
}

// TestBatchesCoverAllPeers checks that successive batches name each peer once, half of them in other
// zones while there are enough.
func TestBatchesCoverAllPeers(t *testing.T) {
	near, far := make([]Peer, 20), make([]Peer, 3)
	batch, near, far := nextBatch(near, far)
	assert.Equal(t, len(batch), maxPeersAsked)
	assert.Equal(t, len(far), 0)
	total := len(batch)
	for len(near) > 0 {
		batch, near, far = nextBatch(near, far)
		total += len(batch)
	}
	assert.Equal(t, total, 23)
}
