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
	// keptFor is how long an engine's cache list is reused. After all instances were killed,
	// several dozen callers resume within one or two seconds.
	keptFor = time.Second
	// keptTimeout limits the retrieval of a cache list, which takes up to 20 ms.
	keptTimeout = 80 * time.Millisecond
	// askAllUpTo is the largest number of decode engines for which all of them are asked. If
	// there are more, only those of the instance's own zone are asked, where most streams run,
	// because each list delays an engine.
	askAllUpTo = 12
	// mostLists limits the number of lists that are kept, including those of engines that are
	// gone.
	mostLists = 1024
	// homePatience is how long a resumed stream waits for capacity at the engine that holds its
	// KV cache, before that is recomputed elsewhere: 7,000 tokens on average.
	homePatience = 500 * time.Millisecond
)

// caches holds the engines' cache lists. It is safe for concurrent use.
type caches struct {
	mu      sync.Mutex
	engines map[ident.UpstreamID]*cacheList
}

// cacheList is the cache list of one engine: the number of cached tokens by prompt part.
type cacheList struct {
	mu   sync.Mutex
	at   time.Time
	kept map[string]int
}

// of returns the cache list of an engine.
func (c *caches) of(id ident.UpstreamID) *cacheList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.engines == nil || len(c.engines) >= mostLists {
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
// one request to the engine. A failed request counts as an empty list until keptFor has passed.
func (l *cacheList) tokens(ctx context.Context, d dialect.Dialect, u dialect.Upstream, part string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if clock.Since(l.at) < keptFor {
		return l.kept[part], nil
	}
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	kept, err := d.Kept(ctx, u)
	l.kept, l.at = kept, clock.Now()
	return kept[part], err
}

// home is the decode engine that holds the largest part of a resumed stream's KV cache.
type home struct {
	engine dialect.Upstream
	tokens int
}

// findHome asks decode engines how much of the stream's KV cache they hold. A caller may resume
// at any instance, which does not know where the stream ran. Without asking, prompt and output
// were recomputed: 1,000,000 tokens on a day on which all of 62 instances lost power. It returns
// nil if no engine holds any of it.
func (s *stream) findHome(ctx context.Context) *home {
	if s.j.Call.PromptPart == "" {
		return nil
	}
	var found home
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, u := range s.homes() {
		asked.Go(func() {
			n, err := s.c.caches.of(u.ID).tokens(ctx, s.c.o.Dialect, u, s.j.Call.PromptPart)
			if err != nil {
				s.log.Info("cache list not retrieved", "upstream", u.ID, "error", logs.ErrorText(err))
			}
			mu.Lock()
			defer mu.Unlock()
			if n > found.tokens {
				found = home{engine: u, tokens: n}
			}
		})
	}
	asked.Wait()
	s.log.Info("resumed by its caller", "last_event", s.lastEvent, "kept_at", found.engine.ID, "kept", found.tokens,
		"needed", s.j.Call.PromptTokens+s.produced())
	if found.tokens == 0 {
		return nil
	}
	return &found
}

// homes returns the decode engines to ask.
func (s *stream) homes() []dialect.Upstream {
	list := s.c.o.Books.Reachable(clock.Now(), s.c.eligible(s.j), dialect.StageDecode)
	if len(list) <= askAllUpTo {
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
