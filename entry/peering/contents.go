package peering

import (
	"sync"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
)

// Contents holds the content of the bundle that came last, so that an agent need
// send only what changed. The zero value holds none. It is safe for concurrent use.
type Contents struct {
	mu      sync.Mutex
	digest  string
	content *config.Content
}

// Digest names the bundle whose content is held, "" if there is none.
func (c *Contents) Digest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Take takes a bundle and returns its whole content, which must not be changed. It
// returns nil for changes of another content than the one held: the agent sends it
// whole when it learns from the reply which one that is.
func (c *Contents) Take(b *feed.Bundle) *config.Content {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := b.Content
	if next == nil {
		next = c.changed(b.Changes)
	}
	if next != nil {
		c.digest, c.content = b.Digest, next
	}
	return next
}

// changed returns the content that changes make of the one held, nil if they are
// not of it.
func (c *Contents) changed(by *feed.Changes) *config.Content {
	if by == nil || c.content == nil || by.Base != c.digest {
		return nil
	}
	next, err := by.On(c.content)
	if err != nil {
		return nil
	}
	return next
}
