package configservice

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// fakeService is a fake service with one key and long polling.
type fakeService struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
	// fail, if set, produces the response to every read.
	fail func() (*http.Response, error)
	// ignoresWait makes it respond immediately although it is asked to wait.
	ignoresWait bool
	// absent makes it respond with 404 instead of 304.
	absent bool
	calls  int
}

// newService returns a service whose key has the given index.
func newService(index uint64) *fakeService {
	return &fakeService{index: index, changed: make(chan struct{})}
}

// update changes the service's state and wakes the waiting polls.
func (s *fakeService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot returns the current state.
func (s *fakeService) snapshot() (uint64, <-chan struct{}, func() (*http.Response, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index, s.changed, s.fail
}

// roundTrip is a fakeTransport that answers a long poll for an index above the
// given one.
func (s *fakeService) roundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return nil, err
	}
	over := time.After(wait)
	for {
		index, changed, fail := s.snapshot()
		switch {
		case fail != nil:
			return fail()
		case index > since:
			return newResponse(http.StatusOK, index, strconv.FormatUint(index, 10)), nil
		case s.ignoresWait:
			return newResponse(http.StatusNotModified, index, ""), nil
		}
		select {
		case <-changed:
		case <-over:
			if s.absent {
				return newResponse(http.StatusNotFound, 0, ""), nil
			}
			return newResponse(http.StatusNotModified, index, ""), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// startWatch watches the key of the service; stop ends the watch.
func startWatch(t *testing.T, s *fakeService, since uint64) (c *Client, events <-chan Event, stop func()) {
	c = newTestClient(t, s.roundTrip)
	ctx, cancel := context.WithCancel(context.Background())
	events = c.Watch(ctx, "k", since)
	return c, events, func() {
		cancel()
		for range events {
		}
	}
}

func TestWatchDeliversNewerValues(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(3)
		c, events, stop := startWatch(t, s, 0)
		defer stop()
		assert.Equal(t, (<-events).Value.Index, uint64(3))
		time.Sleep(5 * DefaultWait / 2)
		s.update(func() { s.index = 7 })
		start := time.Now()
		assert.Equal(t, (<-events).Value.Index, uint64(7))
		assert.Equal(t, time.Since(start), time.Duration(0))
		got := c.Stats()
		assert.Equal(t, got.Values, uint64(2))
		assert.Equal(t, got.Unchanged, uint64(2))
	})
}

func TestWatchReportsOldDataAndGoesOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(5)
		_, events, stop := startWatch(t, s, 9)
		defer stop()
		var old *StaleError
		assert.Assert(t, errors.As((<-events).Err, &old))
		assert.Equal(t, old.Seen, uint64(9))
		assert.Equal(t, old.Got.Index, uint64(5))
		assert.Equal(t, old.Age, DefaultWait)
		s.update(func() { s.index = 10 })
		assert.Equal(t, (<-events).Value.Index, uint64(10))
	})
}

func TestWatchBacksOffWhileDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(1)
		s.fail = func() (*http.Response, error) { return nil, connectionError{} }
		_, events, stop := startWatch(t, s, 0)
		defer stop()
		end := time.Now().Add(10 * time.Minute)
		for time.Now().Before(end) {
			assert.Assert(t, errors.As((<-events).Err, new(*UnavailableError)))
		}
		// The backoff doubles from 200 ms to 15 s within 8 polls; then there is one
		// poll every 7.5 to 22.5 s.
		assert.Assert(t, s.calls >= 30 && s.calls <= 90, "%d calls", s.calls)
		s.update(func() { s.fail = nil })
		for e := range events {
			if e.Err == nil {
				assert.Equal(t, e.Value.Index, uint64(1))
				break
			}
		}
	})
}

// TestWatchSeesAnAbsentKeyAppear guards against backoff on long polls of an absent
// key: however long the key was absent, its first value must be delivered without
// delay.
func TestWatchSeesAnAbsentKeyAppear(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(0)
		s.absent = true
		_, events, stop := startWatch(t, s, 0)
		defer stop()
		for range 20 {
			assert.Assert(t, errors.As((<-events).Err, new(*NotFoundError)))
		}
		synctest.Wait()
		s.update(func() { s.index = 1 })
		start := time.Now()
		assert.Equal(t, (<-events).Value.Index, uint64(1))
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

func TestWatchHonoursRetryAfter(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(1)
		s.fail = func() (*http.Response, error) {
			r := newResponse(http.StatusTooManyRequests, 0, "")
			r.Header.Set(headerRetryAfter, "20")
			return r, nil
		}
		_, events, stop := startWatch(t, s, 0)
		defer stop()
		<-events
		start := time.Now()
		<-events
		assert.Assert(t, time.Since(start) > 20*time.Second)
	})
}

func TestWatchBoundsCallsToAnImpatientService(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(1)
		s.ignoresWait = true
		_, events, stop := startWatch(t, s, 0)
		assert.Equal(t, (<-events).Value.Index, uint64(1))
		time.Sleep(time.Minute)
		stop()
		assert.Assert(t, s.calls <= 602, "%d calls", s.calls)
	})
}

func TestWatchEndsWithItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newService(1)
		c := newTestClient(t, s.roundTrip)
		ctx, cancel := context.WithCancel(context.Background())
		events := c.Watch(ctx, "k", 0)
		// The watch must end although nothing receives its event.
		synctest.Wait()
		cancel()
		synctest.Wait()
		_, open := <-events
		assert.Assert(t, !open)
	})
}
