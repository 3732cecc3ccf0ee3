package origin

import (
	"context"
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
	// maxLogPages bounds the pages of a log that one read takes. A later read continues.
	maxLogPages = 64
	// maxParts bounds the prompt parts that are remembered of an engine.
	maxParts = 1 << 14
	// idleTTL is how long what engines showed is kept when nobody searches. It is read again then.
	idleTTL = time.Minute
)

// EngineReader reads what engines show of the streams that they run or ran.
type EngineReader interface {
	// CacheLog and RunningRequests are those of dialect.Dialect.
	CacheLog(ctx context.Context, u dialect.Upstream, after int64) (dialect.CacheLog, error)
	RunningRequests(ctx context.Context, u dialect.Upstream) (map[string]int, error)
}

// Finder finds the origins of streams that no instance remembers by what engines show: the requests that
// they run, and the logs of their caches, which outlive the instances. It is safe for concurrent use.
type Finder struct {
	reader EngineReader

	mu      sync.Mutex
	engines map[ident.UpstreamID]*engineLog
	usedAt  time.Time
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
	// Restaged means that the engine may have been a prefill engine when the stream began.
	Restaged bool
}

// Find asks the decode engines of a service for the origin of a stream. What they have shown within maxAge is
// reused.
func (f *Finder) Find(ctx context.Context, engines []Engine, q Query, maxAge time.Duration) Finding {
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	shown := make([]evidence, len(engines))
	var asked sync.WaitGroup
	complete := make([]bool, len(engines))
	for i, e := range engines {
		asked.Go(func() { shown[i], complete[i] = f.log(e.Upstream).evidence(ctx, f.reader, e, q, maxAge) })
	}
	asked.Wait()
	found := Finding{Asked: len(engines), Took: clock.Since(start)}
	found.Version, found.Known, found.Rule = decide(q, shown)
	for i, e := range shown {
		if !complete[i] {
			found.Incomplete++
		}
		if e.running || e.kept > 0 {
			found.Traces++
		}
	}
	return found
}

// log returns what has been read of an engine.
func (f *Finder) log(u dialect.Upstream) *engineLog {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	if now.Sub(f.usedAt) > idleTTL {
		clear(f.engines)
	}
	f.usedAt = now
	l := f.engines[u.ID]
	if l == nil {
		l = &engineLog{lock: make(chan struct{}, 1), kept: map[string]int{}}
		f.engines[u.ID] = l
	}
	return l
}

// engineLog is what has been read of one engine.
type engineLog struct {
	// lock guards the other fields while it holds a value. Unlike a mutex, it can be waited for with a time
	// limit.
	lock   chan struct{}
	readAt time.Time
	// epoch and next are the log's identity and the position from which to continue. pageSize is the length
	// of the longest page so far.
	epoch    string
	next     int64
	pageSize int
	// gap means that entries are missing, ended that the last read reached the end.
	gap, ended bool
	// kept holds the greatest length of each prompt part, running the requests that run.
	kept    map[string]int
	running map[string]int
}

// evidence returns what an engine shows of a stream, and whether its whole log is known. It reads the engine
// if what is known is older than maxAge.
func (l *engineLog) evidence(ctx context.Context, reader EngineReader, from Engine, q Query, maxAge time.Duration) (e evidence, complete bool) {
	e = evidence{version: from.SoftwareVersion, restaged: from.Restaged}
	select {
	case l.lock <- struct{}{}:
		defer func() { <-l.lock }()
	case <-ctx.Done():
		return e, false
	}
	if clock.Since(l.readAt) > maxAge {
		l.read(ctx, reader, from.Upstream)
	}
	e.running = q.Attempt != "" && l.running[q.Attempt] > 0
	if q.Part != "" {
		e.kept = l.kept[q.Part]
	}
	return e, l.ended && !l.gap
}

// read reads the requests that an engine runs and what its log has new. The requests are read first: one
// that ends meanwhile appears in the log.
func (l *engineLog) read(ctx context.Context, reader EngineReader, u dialect.Upstream) {
	running, err := reader.RunningRequests(ctx, u)
	l.running, l.ended = running, false
	for page := 0; err == nil && page < maxLogPages && !l.ended; page++ {
		err = l.readPage(ctx, reader, u)
	}
	l.readAt = clock.Now()
}

// readPage reads a page of the log. A page that is shorter than an earlier one is the last.
func (l *engineLog) readPage(ctx context.Context, reader EngineReader, u dialect.Upstream) error {
	page, err := reader.CacheLog(ctx, u, l.next)
	if err != nil {
		return err
	}
	if l.epoch != page.Epoch {
		restarted := l.next > 0
		l.epoch, l.next, l.pageSize, l.gap, l.kept = page.Epoch, 0, 0, false, map[string]int{}
		if restarted {
			return nil
		}
	}
	l.gap = l.gap || page.Lost
	for _, e := range page.Entries {
		l.gap = l.gap || e.Position > l.next+1
		l.next = max(l.next, e.Position)
		l.keep(e)
	}
	l.gap = l.gap || page.Next > l.next
	l.next = max(l.next, page.Next)
	l.ended = len(page.Entries) == 0 || len(page.Entries) < l.pageSize
	l.pageSize = max(l.pageSize, len(page.Entries))
	return nil
}

// keep records an entry. If there are too many parts, the log counts as incomplete.
func (l *engineLog) keep(e dialect.CacheEntry) {
	if len(l.kept) >= maxParts {
		clear(l.kept)
		l.gap = true
	}
	l.kept[e.Part] = max(l.kept[e.Part], e.Tokens)
}
