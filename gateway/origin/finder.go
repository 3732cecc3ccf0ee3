package origin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

const (
	// ReadTTL is how long what an engine showed is reused for streams that callers take up, so that those who
	// return at once share a read.
	ReadTTL = 200 * time.Millisecond
	// findTimeout bounds a search, for which a caller waits. Engines answer in some milliseconds.
	findTimeout = 500 * time.Millisecond
	// readTimeout bounds one read of an engine.
	readTimeout = 400 * time.Millisecond
	// maxLogPages bounds the pages of a log that one read takes. A later read continues.
	maxLogPages = 64
	// idleTTL is how long what an engine showed is kept when nobody asks for it. It is read again then.
	idleTTL = time.Minute
)

// EngineReader reads what engines show of the streams that they run or ran.
type EngineReader interface {
	// CacheLog and Activity are those of dialect.Dialect.
	CacheLog(ctx context.Context, u dialect.Upstream, after int64) (dialect.CacheLog, error)
	Activity(ctx context.Context, u dialect.Upstream) (dialect.Activity, error)
}

// Finder finds the origins of streams that no instance remembers by what engines show: the requests that
// they run, and the logs of their caches, which outlive the instances. It is safe for concurrent use.
type Finder struct {
	reader EngineReader

	mu      sync.Mutex
	engines map[ident.UpstreamID]*engineLog
}

// NewFinder returns a Finder that has read nothing.
func NewFinder(reader EngineReader) *Finder {
	return &Finder{reader: reader, engines: map[ident.UpstreamID]*engineLog{}}
}

// Finding is the result of a search.
type Finding struct {
	// Version is the software version that began the stream, if Known.
	Version string
	Known   bool
	Rule    Rule
	// Asked is the number of engines asked, Incomplete the number of those that did not answer or whose log
	// lacks entries, and Traces the number of those that show the stream.
	Asked, Incomplete, Traces int
	Took                      time.Duration
}

// Engine is a decode engine that is asked.
type Engine struct {
	dialect.Upstream
	// Restaged means that the engine may have been a prefill engine when the stream began, unless it has
	// accepted no order.
	Restaged bool
}

// Find asks the decode engines of a service for the origin of a stream. What they have shown within maxAge is
// reused.
func (f *Finder) Find(ctx context.Context, engines []Engine, q Query, maxAge time.Duration) Finding {
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	logs := make([]*engineLog, len(engines))
	for i, e := range engines {
		logs[i] = f.log(e.Upstream)
		logs[i].refresh(f.reader, e.Upstream, maxAge)
	}
	shown := make([]evidence, len(engines))
	found := Finding{Asked: len(engines)}
	for i, e := range engines {
		shown[i] = logs[i].evidence(ctx, q)
		shown[i].restaged = e.Restaged && !shown[i].neverOrdered
		if !shown[i].complete {
			found.Incomplete++
		}
		if shown[i].running || shown[i].kept > 0 {
			found.Traces++
		}
	}
	found.Version, found.Known, found.Rule = decide(q, shown)
	found.Took = clock.Since(start)
	return found
}

// Expire frees what engines showed for which nobody has asked for idleTTL.
func (f *Finder) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.engines, func(_ ident.UpstreamID, l *engineLog) bool { return now.Sub(l.usedAt) > idleTTL })
}

// log returns what has been read of an engine in its present incarnation.
func (f *Finder) log(u dialect.Upstream) *engineLog {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.engines[u.ID]
	if l == nil || l.version != u.SoftwareVersion || l.incarnation != u.Incarnation {
		l = newEngineLog(u)
		f.engines[u.ID] = l
	}
	l.usedAt = clock.Now()
	return l
}
