package configservice

import (
	"net/http"
	"time"
)

// checkFresh records the index of a value. It returns a *StaleError if a higher
// index was seen before.
func (c *Client) checkFresh(key string, v Value) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seen[key]
	if ok && v.Index < s.index {
		return staleError(key, s, v)
	}
	if !ok || v.Index > s.index {
		c.seen[key] = seenIndex{index: v.Index, at: time.Now()}
	}
	return nil
}

// checkUnchanged returns a *StaleError for a 304 response whose index is lower
// than one seen before.
func (c *Client) checkUnchanged(key string, resp *http.Response) error {
	index, ok := readIndex(resp.Header)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, seen := c.seen[key]; seen && index < s.index {
		return staleError(key, s, Value{Index: index})
	}
	return nil
}

// staleError returns the error for a value older than the newest one seen.
func staleError(key string, s seenIndex, v Value) error {
	return &StaleError{Key: key, Seen: s.index, Got: v, Age: time.Since(s.at)}
}

// raiseIndex raises the highest index seen to one that the caller of Watch
// already has.
func (c *Client) raiseIndex(key string, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.seen[key]; index > 0 && (!ok || index > s.index) {
		c.seen[key] = seenIndex{index: index, at: time.Now()}
	}
}
