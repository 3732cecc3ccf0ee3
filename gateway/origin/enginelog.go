package origin

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// maxRecentParts bounds the prompt parts that are remembered of an engine: twice as many at most, the most
// recent ones. Engines add some dozens a second, and callers return within seconds.
const maxRecentParts = 2048

// engineLog is what has been read of one incarnation of an engine. It is safe for concurrent use.
type engineLog struct {
	version     string
	incarnation ident.Incarnation
	// usedAt is when a search asked for the log last. The finder's lock guards it.
	usedAt time.Time

	mu sync.Mutex
	// reading is closed at the end of the read that is under way, nil if there is none. Callers share it.
	reading chan struct{}
	// readAt is the time of the last read, failed whether it failed.
	readAt time.Time
	failed bool
	// epoch and next are the log's identity and the position from which to continue. pageSize is the length
	// of the longest page so far.
	epoch    string
	next     int64
	pageSize int
	// gap means that entries are missing, ended that the last read reached the end.
	gap, ended bool
	// recent and earlier hold the greatest length of each prompt part, activity what the engine runs.
	recent, earlier map[string]int
	activity        dialect.Activity
}

// newEngineLog returns the log of an engine of which nothing has been read.
func newEngineLog(u dialect.Upstream) *engineLog {
	return &engineLog{version: u.SoftwareVersion, incarnation: u.Incarnation, recent: map[string]int{}}
}

// refresh starts to read the engine if what is known is older than maxAge. A failed read is repeated after
// ReadTTL.
func (l *engineLog) refresh(reader EngineReader, u dialect.Upstream, maxAge time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		maxAge = min(maxAge, ReadTTL)
	}
	if l.reading != nil || clock.Since(l.readAt) <= maxAge {
		return
	}
	done := make(chan struct{})
	l.reading = done
	go func() {
		// The callers who wait may leave; those who come share the read.
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		err := l.read(ctx, reader, u)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.readAt, l.failed, l.reading = clock.Now(), err != nil, nil
		close(done)
	}()
}

// evidence returns what the engine shows of a stream. It waits for a read that is under way until ctx ends.
func (l *engineLog) evidence(ctx context.Context, q Query) evidence {
	l.mu.Lock()
	reading := l.reading
	l.mu.Unlock()
	finished := true
	if reading != nil {
		select {
		case <-reading:
		case <-ctx.Done():
			finished = false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := evidence{version: l.version, neverOrdered: l.activity.NeverOrdered, complete: finished && !l.failed && l.ended && !l.gap}
	e.running = q.Attempt != "" && l.activity.Running[q.Attempt] > 0
	if q.Part != "" {
		e.kept = max(l.recent[q.Part], l.earlier[q.Part])
	}
	return e
}

// read reads the requests that the engine runs and what its log has new. The requests are read first: one
// that ends meanwhile appears in the log. The errors are the reader's.
func (l *engineLog) read(ctx context.Context, reader EngineReader, u dialect.Upstream) error {
	activity, err := reader.Activity(ctx, u)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.activity, l.ended = activity, false
	after := l.next
	l.mu.Unlock()
	for page, ended := 0, false; page < maxLogPages && !ended; page++ {
		entries, err := reader.CacheLog(ctx, u, after)
		if err != nil {
			return err
		}
		after, ended = l.add(entries)
	}
	return nil
}

// add adds a page of the log. It returns the position of the next one, and whether this was the last: it is
// shorter than an earlier one.
func (l *engineLog) add(page dialect.CacheLog) (next int64, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != page.Epoch {
		restarted := l.next > 0
		l.epoch, l.next, l.pageSize, l.gap = page.Epoch, 0, 0, false
		l.recent, l.earlier = map[string]int{}, nil
		if restarted {
			return 0, false
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
	return l.next, l.ended
}

// keep remembers an entry. The caller holds mu.
func (l *engineLog) keep(e dialect.CacheEntry) {
	if len(l.recent) >= maxRecentParts {
		l.recent, l.earlier = map[string]int{}, l.recent
	}
	l.recent[e.Part] = max(l.recent[e.Part], e.Tokens)
}
