package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

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

// fromPlatform is the ledger's source for the platform.
var fromPlatform = ledger.Source{Kind: ledger.SourcePlatform}

// Limits of reading the platform.
const (
	// readTimeout is the maximum age of a value delivered by a watch, in addition
	// to the wait of its poll.
	readTimeout = configservice.DefaultTimeout
	// startRetry is the time between attempts of an instance that has had no news
	// of the platform yet.
	startRetry = 3 * time.Second
)

// source is the loop's state of reading the platform.
type source struct {
	// watches holds the cancel functions of this instance's watches, by key.
	watches map[string]context.CancelFunc
	// indexes are the highest indexes seen by this instance, by key.
	indexes map[string]uint64
	// seen is the last time at which the platform is known to have responded, to
	// this instance or to one whose heartbeat told of it; the zero time means
	// never.
	seen time.Time
	// answers is set if the last read by this instance got a response.
	answers bool
	// answered is the number of calls with a response as of the last check.
	answered uint64
	// watchUntil is the time until which this instance watches all keys,
	// regardless of the election.
	watchUntil time.Time
	// retryAt is the earliest time at which this instance may read or watch
	// outside the election again. reading is the number of its reads in progress.
	retryAt time.Time
	reading int
}

// newTransport returns a transport for a few long-lived connections to the
// platform.
func newTransport(d meter.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: len(watchedKeys),
		IdleConnTimeout:     time.Minute,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
		DisableCompression:  true,
	}
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
		a.noteAnswers()
		return
	}
	live := a.zoneInstances()
	for _, key := range watchedKeys {
		reads := a.standsIn(key) || configservice.Reads(a.self.Instance, key, a.self.Zone, live, a.settings.Platform.Readers)
		end, watching := a.source.watches[key]
		switch {
		case reads && !watching:
			a.watch(key)
		case !reads && watching:
			end()
			delete(a.source.watches, key)
		}
	}
	a.noteAnswers()
}

// standsIn reports whether this instance watches a key because there was no news
// of the platform: the roll first, the other keys once the platform has
// responded.
func (a *Agent) standsIn(key string) bool {
	return a.now.Before(a.source.watchUntil) && (key == configservice.KeyRoll || a.source.answers)
}

// watch starts watching a key.
func (a *Agent) watch(key string) {
	ctx, end := context.WithCancel(a.callCtx)
	a.source.watches[key] = end
	events := a.reader.Watch(ctx, key, a.source.indexes[key])
	since := a.now
	a.calls.Go(func() {
		for e := range events {
			a.post(func() { a.watched(key, since, e) })
		}
	})
}

// watched handles an event of a watch.
func (a *Agent) watched(key string, since time.Time, e configservice.Event) {
	if e.Err != nil {
		a.platformFailed(key, e.Err)
		return
	}
	// The read started no earlier than this; the value may have waited in the
	// loop's queue.
	begun := a.now.Add(-a.settings.Platform.Wait - readTimeout)
	if since.After(begun) {
		begun = since
	}
	a.platformValue(key, begun, e.Value)
}

// refreshPlatform reads all watched keys once.
func (a *Agent) refreshPlatform() {
	a.source.retryAt = a.now.Add(a.random.jittered(startRetry))
	for _, key := range watchedKeys {
		a.readKey(key)
	}
}

// readKey reads a key once.
func (a *Agent) readKey(key string) {
	a.source.reading++
	begun := a.now
	a.spawn(func(ctx context.Context) {
		v, err := a.reader.Get(ctx, key)
		a.post(func() {
			a.source.reading--
			if err != nil {
				a.platformFailed(key, err)
				return
			}
			a.platformValue(key, begun, v)
		})
	})
}

// fallBack watches the platform for a while if there has been no news of it for
// long. A watch from the known indexes costs only the calls if nothing has
// changed.
func (a *Agent) fallBack() {
	s := &a.source
	if s.reading > 0 || a.now.Before(s.retryAt) {
		return
	}
	after := a.settings.Platform.FallbackAfter
	switch {
	case s.seen.IsZero():
		a.refreshPlatform()
	case a.now.Sub(s.seen) >= after:
		s.watchUntil = a.now.Add(a.settings.Platform.Wait + readTimeout)
		s.answers = false
		s.retryAt = a.now.Add(a.random.jittered(after))
	}
}

// noteAnswers records that the platform responded, including responses without a
// new value.
func (a *Agent) noteAnswers() {
	s := a.reader.Stats()
	answered := s.Values + s.Unchanged + s.NotFound
	if answered == a.source.answered {
		return
	}
	a.source.answered = answered
	a.source.answers = true
	a.source.seen = a.now
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
		a.source.answers = false
		a.log.Debug("cannot read the platform", "key", key, "error", err)
	}
}

// platformValue handles a value read from the platform.
func (a *Agent) platformValue(key string, begun time.Time, v configservice.Value) {
	a.source.indexes[key] = max(a.source.indexes[key], v.Index)
	a.source.seen, a.source.answers = a.now, true
	switch key {
	case configservice.KeyRoll:
		a.takeRoll(fromPlatform, begun, v.Bytes)
	case configservice.KeyBundleHead:
		a.takeHead(fromPlatform, v.Bytes)
	case configservice.KeyInstances, configservice.KeyUpstreams:
		a.takeListBytes(key, begun, v.Index, v.Bytes)
	}
}

// takeRoll decodes a roll and passes it to the ledger.
func (a *Agent) takeRoll(from ledger.Source, begun time.Time, b []byte) {
	roll, err := bundle.DecodeRoll(b)
	if err != nil {
		a.step(ledger.Garbled{From: from, Document: ledger.DocumentRoll, Err: err})
		return
	}
	a.step(ledger.RollSeen{From: from, Roll: roll})
	if from == fromPlatform {
		a.orderPlanner.PlatformHead(begun, roll.Roll.Assigned(a.self.Instance, a.self.Zone).Version)
	}
}

// takeHead decodes a bundle head and passes it to the ledger.
func (a *Agent) takeHead(from ledger.Source, b []byte) {
	head, err := bundle.DecodeHead(b)
	if err != nil {
		a.step(ledger.Garbled{From: from, Document: ledger.DocumentHead, Err: err})
		return
	}
	a.step(ledger.HeadSeen{From: from, Head: head})
}
