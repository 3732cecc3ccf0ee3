package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/agent/meter"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
)

// watchedKeys are the platform keys that some instances of each zone watch on
// behalf of all.
var watchedKeys = []string{configservice.KeyRoll, configservice.KeyBundleHead, configservice.KeyInstances, configservice.KeyUpstreams}

// platformSource is the ledger's source for the platform.
var platformSource = ledger.Source{Kind: ledger.SourcePlatform}

// Limits of reading the platform.
const (
	// readTimeout is the maximum age of a value delivered by a watch, in addition
	// to the wait of its poll.
	readTimeout = configservice.DefaultTimeout
	// startRetry is the time between attempts of an instance that knows of no
	// response of the platform yet.
	startRetry = 3 * time.Second
)

// platformState is the loop's state of reading the platform.
type platformState struct {
	// watches holds the cancel functions of this instance's watches, by key.
	watches map[string]context.CancelFunc
	// indexes are the highest indexes seen by this instance, by key.
	indexes map[string]uint64
	// lastSeen is the last time at which the platform is known to have responded,
	// to this instance or to one whose heartbeat reported it; the zero time means
	// never.
	lastSeen time.Time
	// responding is set if the last read by this instance got a response.
	responding bool
	// responses is the number of calls with a response as of the last check.
	responses uint64
	// fallbackUntil is the time until which this instance watches all keys,
	// regardless of the election.
	fallbackUntil time.Time
	// retryAt is the earliest time at which this instance may read or watch
	// outside the election again. reading is the number of its reads in progress.
	retryAt         time.Time
	readsInProgress int
}

// newTransport returns a transport for a few long-lived connections to the
// platform.
func newTransport(d meter.Dialer) http.RoundTripper {
	return roundtrip.StrictTransport(&http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: len(watchedKeys),
		IdleConnTimeout:     time.Minute,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
		DisableCompression:  true,

		MaxResponseHeaderBytes: roundtrip.MaxHeaderBytes,
	})
}

// transportBuffer is the size of a connection's read and write buffers, in bytes.
const transportBuffer = 2 << 10

// zoneInstances lists the instances of this zone that are presumed alive,
// including this one.
func (a *Agent) zoneInstances() []ident.InstanceID {
	ids := []ident.InstanceID{a.self.Instance}
	for _, in := range a.currentView().Instances {
		if in.Zone == a.self.Zone && in.State <= membership.Suspect && !in.Leaving {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// electReaders starts and ends this instance's watches according to the election.
//
// It does nothing while the lists are missing: a starting instance without lists
// would elect itself for every key.
func (a *Agent) electReaders() {
	if a.awaitsLists() {
		a.recordResponses()
		return
	}
	live := a.zoneInstances()
	for _, key := range watchedKeys {
		reads := a.isFallbackReader(key) || configservice.IsElected(a.self.Instance, key, a.self.Zone, live, a.settings.Platform.Readers)
		end, watching := a.platform.watches[key]
		switch {
		case reads && !watching:
			a.watch(key)
		case !reads && watching:
			end()
			delete(a.platform.watches, key)
		}
	}
	a.recordResponses()
}

// isFallbackReader reports whether this instance watches a key because no
// response of the platform was known: the roll first, the other keys once the
// platform has responded.
func (a *Agent) isFallbackReader(key string) bool {
	return a.now.Before(a.platform.fallbackUntil) && (key == configservice.KeyRoll || a.platform.responding)
}

// watch starts watching a key.
func (a *Agent) watch(key string) {
	ctx, end := context.WithCancel(a.callCtx)
	a.platform.watches[key] = end
	events := a.platformAdapter.Watch(ctx, key, a.platform.indexes[key])
	since := a.now
	a.calls.Go(func() {
		for e := range events {
			a.post(func() { a.handleWatchEvent(key, since, e) })
		}
	})
}

// handleWatchEvent handles an event of a watch.
func (a *Agent) handleWatchEvent(key string, since time.Time, e configservice.Event) {
	if e.Err != nil {
		a.platformFailed(key, e.Err)
		return
	}
	// The read started no earlier than this; the value may have waited in the
	// loop's queue.
	started := a.now.Add(-a.settings.Platform.Wait - readTimeout)
	if since.After(started) {
		started = since
	}
	a.handlePlatformValue(key, started, e.Value)
}

// refreshPlatform reads all watched keys once.
func (a *Agent) refreshPlatform() {
	a.platform.retryAt = a.now.Add(a.random.jittered(startRetry))
	for _, key := range watchedKeys {
		a.readKey(key)
	}
}

// readKey reads a key once.
func (a *Agent) readKey(key string) {
	a.platform.readsInProgress++
	started := a.now
	a.spawn(func(ctx context.Context) {
		v, err := a.platformAdapter.Get(ctx, key)
		a.post(func() {
			a.platform.readsInProgress--
			if err != nil {
				a.platformFailed(key, err)
				return
			}
			a.handlePlatformValue(key, started, v)
		})
	})
}

// startFallback watches the platform for a while if no response of it has been
// known for long. A watch from the known indexes costs only the calls if nothing has
// changed.
func (a *Agent) startFallback() {
	s := &a.platform
	if s.readsInProgress > 0 || a.now.Before(s.retryAt) {
		return
	}
	after := a.settings.Platform.FallbackAfter
	switch {
	case s.lastSeen.IsZero():
		a.refreshPlatform()
	case a.now.Sub(s.lastSeen) >= after:
		s.fallbackUntil = a.now.Add(a.settings.Platform.Wait + readTimeout)
		s.responding = false
		s.retryAt = a.now.Add(a.random.jittered(after))
	}
}

// recordResponses records that the platform responded, including responses
// without a new value.
func (a *Agent) recordResponses() {
	s := a.platformAdapter.Stats()
	answered := s.Values + s.Unchanged + s.NotFound
	if answered == a.platform.responses {
		return
	}
	a.platform.responses = answered
	a.platform.responding = true
	a.platform.lastSeen = a.now
}

// platformFailed handles a failed read.
func (a *Agent) platformFailed(key string, err error) {
	var stale *configservice.StaleError
	var absent *configservice.NotFoundError
	switch {
	case errors.As(err, &absent):
	case errors.As(err, &stale):
		a.log.Debug("platform is stale", "key", key, "seen", stale.Seen, "got", stale.Got.Index)
	default:
		a.platform.responding = false
		a.log.Debug("cannot read the platform", "key", key, "error", err)
	}
}

// handlePlatformValue handles a value read from the platform.
func (a *Agent) handlePlatformValue(key string, started time.Time, v configservice.Value) {
	a.platform.indexes[key] = max(a.platform.indexes[key], v.Index)
	a.platform.lastSeen, a.platform.responding = a.now, true
	switch key {
	case configservice.KeyRoll:
		a.applyRoll(platformSource, started, v.Bytes)
	case configservice.KeyBundleHead:
		a.applyHead(platformSource, v.Bytes)
	case configservice.KeyInstances, configservice.KeyUpstreams:
		a.applyPlatformList(key, started, v.Index, v.Bytes)
	}
}

// applyRoll decodes a roll and passes it to the ledger.
func (a *Agent) applyRoll(from ledger.Source, started time.Time, b []byte) {
	roll, err := bundle.DecodeRoll(b)
	if err != nil {
		a.stepLedger(ledger.Undecodable{From: from, Document: ledger.DocumentRoll, Err: err})
		return
	}
	a.stepLedger(ledger.RollReceived{From: from, Roll: roll})
	if from == platformSource {
		a.orderPlanner.PlatformHead(started, roll.Roll.Assigned(a.self.Instance, a.self.Zone).Version)
	}
}

// applyHead decodes a bundle head and passes it to the ledger.
func (a *Agent) applyHead(from ledger.Source, b []byte) {
	head, err := bundle.DecodeHead(b)
	if err != nil {
		a.stepLedger(ledger.Undecodable{From: from, Document: ledger.DocumentHead, Err: err})
		return
	}
	a.stepLedger(ledger.HeadReceived{From: from, Head: head})
}
