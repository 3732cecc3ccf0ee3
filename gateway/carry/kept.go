package carry

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// cacheListTTL is how long an engine's cache list is reused. After all instances were killed,
	// several dozen callers resume within one or two seconds.
	cacheListTTL = time.Second
	// cacheListTimeout limits the retrieval of a cache list, which takes up to 20 ms.
	cacheListTimeout = 80 * time.Millisecond
	// maxAskedAcrossZones is the largest number of decode engines for which all of them are
	// asked. Because each list delays an engine, only those of the instance's own zone, where
	// most streams run, are asked if there are more.
	maxAskedAcrossZones = 12
	// maxCacheLists limits the number of lists that are kept, including those of engines that are
	// gone.
	maxCacheLists = 1024
	// cacheHolderWait is how long a resumed stream waits for capacity at the engine that holds
	// its KV cache, before the cache is recomputed elsewhere: 7,000 tokens on average.
	cacheHolderWait = 500 * time.Millisecond
)

// cacheLists holds the engines' cache lists. It is safe for concurrent use.
type cacheLists struct {
	mu      sync.Mutex
	engines map[ident.UpstreamID]*cacheList
}

// cacheList is the cache list of one engine: the number of cached tokens by prompt part.
type cacheList struct {
	mu           sync.Mutex
	at           time.Time
	tokensByPart map[string]int
}

// list returns the cache list of an engine.
func (c *cacheLists) list(id ident.UpstreamID) *cacheList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.engines == nil || len(c.engines) >= maxCacheLists {
		c.engines = map[ident.UpstreamID]*cacheList{}
	}
	l := c.engines[id]
	if l == nil {
		l = &cacheList{}
		c.engines[id] = l
	}
	return l
}

// tokens returns how many tokens of a prompt part an engine has cached. Concurrent callers share
// one request to the engine. A failed request counts as an empty list until cacheListTTL has
// passed.
func (l *cacheList) tokens(ctx context.Context, d dialect.Dialect, u dialect.Upstream, part string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if clock.Since(l.at) < cacheListTTL {
		return l.tokensByPart[part], nil
	}
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	cached, err := d.CachedPromptParts(ctx, u)
	l.tokensByPart, l.at = cached, clock.Now()
	return cached[part], err
}

// cacheHolder is the decode engine that holds the largest part of a resumed stream's KV cache.
type cacheHolder struct {
	upstream dialect.Upstream
	tokens   int
}

// findCacheHolder asks decode engines how much of the stream's KV cache they hold. A caller may
// resume at any instance, which does not know where the stream ran. Before engines were asked,
// prompt and output were recomputed: 1,000,000 tokens on a day when all 62 instances lost power.
// findCacheHolder returns nil if no engine holds any of the cache.
func (s *stream) findCacheHolder(ctx context.Context) *cacheHolder {
	if s.j.Call.LastPromptPart == "" {
		return nil
	}
	var found cacheHolder
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, u := range s.cacheHolderCandidates() {
		asked.Go(func() {
			n, err := s.c.cacheLists.list(u.ID).tokens(ctx, s.c.o.Dialect, u, s.j.Call.LastPromptPart)
			if err != nil {
				s.log.Info("cache list not retrieved", "upstream", u.ID, "error", logs.ErrorText(err))
			}
			mu.Lock()
			defer mu.Unlock()
			if n > found.tokens {
				found = cacheHolder{upstream: u, tokens: n}
			}
		})
	}
	asked.Wait()
	s.log.Info("resumed by its caller", "first_attempt", s.j.Call.Resumes, "last_event", s.lastEvent, "kept_at", found.upstream.ID, "kept", found.tokens,
		"needed", s.j.Call.PromptTokens+s.produced())
	if found.tokens == 0 {
		return nil
	}
	return &found
}

// cacheHolderCandidates returns the decode engines to ask.
func (s *stream) cacheHolderCandidates() []dialect.Upstream {
	list := s.c.o.Scheduler.Reachable(clock.Now(), s.eligible(), dialect.StageDecode)
	if len(list) <= maxAskedAcrossZones {
		return list
	}
	var own []dialect.Upstream
	for _, u := range list {
		if u.Zone == s.c.o.Zone {
			own = append(own, u)
		}
	}
	return own
}
