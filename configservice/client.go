package configservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/ident"
)

// MaxValue is the maximum size of a value in the configuration service, in bytes.
const MaxValue = 1 << 20

// Headers of the platform's protocol.
const (
	headerIndex      = "X-Index"
	headerReader     = "X-Reader"
	headerRetryAfter = "Retry-After"
)

// pathKeys prefixes the path of a key.
const pathKeys = "/v1/keys/"

// Value is the value of a key.
type Value struct {
	// Index is the index of the key's last change. It increases with each write.
	Index uint64
	Bytes []byte
}

// Reader reads the configuration service. *Client implements it.
type Reader interface {
	// Get reads a key. Errors are *NotFoundError, *UnavailableError,
	// *RateLimitedError, *TooLargeError, *ProtocolError and *StaleError.
	Get(ctx context.Context, key string) (Value, error)
	// Watch delivers the values of a key whose index is above since, until ctx
	// is done; then it closes the channel.
	Watch(ctx context.Context, key string, since uint64) <-chan Event
	// Forget discards the highest index seen of a key, so that lower ones are
	// accepted again: the platform may have been reinstalled.
	Forget(key string)
	// Stats returns the counts so far.
	Stats() Stats
}

var _ Reader = (*Client)(nil)

// Defaults of Options.
const (
	DefaultTimeout = 2 * time.Second
	DefaultWait    = 10 * time.Second
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// URLs are the addresses of the service. When one is unavailable, later
	// requests go to the next.
	URLs []string
	// Reader identifies this instance to the service.
	Reader ident.InstanceID
	// Timeout bounds one read; a poll of a watch is bounded by Timeout plus Wait.
	Timeout time.Duration
	// Wait is how long one poll of a watch waits for a newer value.
	Wait time.Duration
	// Transport carries the requests. Nil means a new one.
	Transport http.RoundTripper
}

// Client reads the configuration service over HTTP. It is safe for concurrent
// use.
type Client struct {
	urls    []*url.URL
	current atomic.Uint32
	reader  string
	timeout time.Duration
	wait    time.Duration
	http    *http.Client
	counts  counters

	mu   sync.Mutex
	seen map[string]seenIndex
}

// seenIndex is the highest index seen of a key, and when it was first seen.
type seenIndex struct {
	index uint64
	at    time.Time
}

// NewClient returns a client. The error is an *AddressError.
func NewClient(o Options) (*Client, error) {
	urls, err := parseURLs(o.URLs)
	if err != nil {
		return nil, err
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Wait <= 0 {
		o.Wait = DefaultWait
	}
	if o.Transport == nil {
		o.Transport = newTransport(o.Timeout)
	}
	return &Client{
		urls:    urls,
		reader:  string(o.Reader),
		timeout: o.Timeout,
		wait:    o.Wait,
		http:    &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		seen:    map[string]seenIndex{},
	}, nil
}

// parseURLs checks the addresses of the service.
func parseURLs(texts []string) ([]*url.URL, error) {
	if len(texts) == 0 {
		return nil, &AddressError{}
	}
	urls := make([]*url.URL, len(texts))
	for i, text := range texts {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, &AddressError{URL: text}
		}
		urls[i] = u
	}
	return urls, nil
}

// newTransport returns a transport for a small number of long-lived connections.
func newTransport(timeout time.Duration) http.RoundTripper {
	const idleConnections = 4
	return roundtrip.StrictTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		// MaxValue and Stats.Bytes apply to the size on the wire.
		DisableCompression: true,

		MaxResponseHeaderBytes: roundtrip.MaxHeaderBytes,
	})
}

// noRedirect restricts the client to its configured addresses.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Reader.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.read(ctx, key, nil)
	if err != nil {
		return Value{}, err
	}
	return r.value, nil
}

// Forget implements Reader.
func (c *Client) Forget(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, key)
}

// Stats implements Reader.
func (c *Client) Stats() Stats { return c.counts.read() }

// pollQuery holds the query parameters of one poll of a watch.
type pollQuery struct {
	index uint64
	wait  time.Duration
}

// readResult is the result of a read.
type readResult struct {
	value Value
	// unchanged is set if there is no newer value.
	unchanged bool
}

// read sends one request and counts it and its outcome.
func (c *Client) read(ctx context.Context, key string, p *pollQuery) (readResult, error) {
	c.counts.calls.Add(1)
	at := c.current.Load()
	r, err := c.send(ctx, at, key, p)
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		c.switchAddress(at)
	}
	return c.countOutcome(r, err)
}

// send sends one request to the address with the given number.
func (c *Client) send(ctx context.Context, at uint32, key string, p *pollQuery) (readResult, error) {
	req, err := c.newRequest(ctx, at, key, p)
	if err != nil {
		return readResult{}, &ProtocolError{Key: key, Detail: "bad key"}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return readResult{}, &UnavailableError{Key: key, Err: err}
	}
	// The body has been read to its end, or the connection is abandoned.
	defer resp.Body.Close()
	return c.readResponse(key, resp)
}

// newRequest builds the request for a key.
func (c *Client) newRequest(ctx context.Context, at uint32, key string, p *pollQuery) (*http.Request, error) {
	u := c.urls[int(at)%len(c.urls)].JoinPath(pathKeys, key)
	if p != nil {
		q := url.Values{}
		q.Set("index", strconv.FormatUint(p.index, 10))
		q.Set("wait", p.wait.String())
		u.RawQuery = q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerReader, c.reader)
	return req, nil
}

// countOutcome counts the outcome of a call and returns it unchanged.
func (c *Client) countOutcome(r readResult, err error) (readResult, error) {
	switch {
	case err != nil:
		c.counts.failure(err)
		return readResult{}, err
	case r.unchanged:
		c.counts.unchanged.Add(1)
	default:
		c.counts.values.Add(1)
	}
	return r, nil
}

// switchAddress switches from an unavailable address to the next one, unless a
// concurrent read has already done so.
func (c *Client) switchAddress(at uint32) { c.current.CompareAndSwap(at, at+1) }

// readResponse converts a response to a result or an error.
func (c *Client) readResponse(key string, resp *http.Response) (readResult, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return c.readValue(key, resp)
	case resp.StatusCode == http.StatusNotModified:
		return readResult{unchanged: true}, c.checkUnchanged(key, resp)
	case resp.StatusCode == http.StatusNotFound:
		return readResult{}, &NotFoundError{Key: key}
	case resp.StatusCode == http.StatusTooManyRequests:
		return readResult{}, &RateLimitedError{Key: key, RetryAfter: retryAfter(resp.Header)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return readResult{}, &UnavailableError{Key: key, Status: resp.StatusCode}
	default:
		return readResult{}, &ProtocolError{Key: key, Detail: "status " + resp.Status}
	}
}

// readValue reads the body of a 200 response.
func (c *Client) readValue(key string, resp *http.Response) (readResult, error) {
	index, ok := readIndex(resp.Header)
	if !ok {
		return readResult{}, &ProtocolError{Key: key, Detail: "no " + headerIndex}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	c.counts.bytes.Add(uint64(len(body)))
	switch {
	case err != nil:
		return readResult{}, &UnavailableError{Key: key, Err: err}
	case roundtrip.EndsWithConnection(resp):
		return readResult{}, &UnavailableError{Key: key, Err: io.ErrUnexpectedEOF}
	case len(body) > MaxValue:
		return readResult{}, &TooLargeError{Key: key, Limit: MaxValue}
	}
	v := Value{Index: index, Bytes: body}
	if err := c.checkFresh(key, v); err != nil {
		return readResult{}, err
	}
	return readResult{value: v}, nil
}

// readIndex parses the index header.
func readIndex(h http.Header) (uint64, bool) {
	index, err := strconv.ParseUint(h.Get(headerIndex), 10, 64)
	return index, err == nil
}

// retryAfter parses the Retry-After header. The result is between 1 s and
// 1 minute.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get(headerRetryAfter))
	if err != nil || seconds < 1 {
		return time.Second
	}
	return min(time.Duration(seconds)*time.Second, time.Minute)
}
