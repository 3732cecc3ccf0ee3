package configservice

import "sync/atomic"

// Stats counts a Reader's calls by outcome. Each call, including each poll of a
// watch, counts against the platform's rate limit.
type Stats struct {
	Calls       uint64
	Values      uint64
	Unchanged   uint64
	NotFound    uint64
	RateLimited uint64
	Unavailable uint64
	Stale       uint64
	// Invalid counts responses that were too large or violated the protocol.
	Invalid uint64
	// Bytes is the total size of the response bodies read.
	Bytes uint64
}

// counters holds a client's counters.
type counters struct {
	calls, values, unchanged, notFound, rateLimited, unavailable, stale, faulty, bytes atomic.Uint64
}

// read returns the current values of the counters.
func (c *counters) read() Stats {
	return Stats{
		Calls:       c.calls.Load(),
		Values:      c.values.Load(),
		Unchanged:   c.unchanged.Load(),
		NotFound:    c.notFound.Load(),
		RateLimited: c.rateLimited.Load(),
		Unavailable: c.unavailable.Load(),
		Stale:       c.stale.Load(),
		Invalid:     c.faulty.Load(),
		Bytes:       c.bytes.Load(),
	}
}

// failure counts a failed call.
func (c *counters) failure(err error) {
	switch err.(type) {
	case *NotFoundError:
		c.notFound.Add(1)
	case *RateLimitedError:
		c.rateLimited.Add(1)
	case *UnavailableError:
		c.unavailable.Add(1)
	case *StaleError:
		c.stale.Add(1)
	default:
		c.faulty.Add(1)
	}
}
