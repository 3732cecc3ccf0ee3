package peering

import (
	"sync"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
)

// ContentCache holds the content of the last bundle received, so that the agent needs to
// send only changes to it. The zero value is empty. It is safe for concurrent use.
type ContentCache struct {
	mu      sync.Mutex
	digest  string
	content *config.Content
}

// Digest returns the digest of the bundle whose content is held, "" if there is none.
func (c *ContentCache) Digest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Apply stores a bundle's content and returns it in full; the result must not be
// modified. It returns nil if the bundle has only changes and they do not apply to the
// content held. The reply to the agent names the content held, and the agent then
// sends the content in full.
func (c *ContentCache) Apply(b *feed.Bundle) *config.Content {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := b.Content
	if next == nil {
		next = c.applyChanges(b.Changes)
	}
	if next != nil {
		c.digest, c.content = b.Digest, next
	}
	return next
}

// applyChanges applies changes to the content held. It returns nil if their base is another
// content or they do not fit.
func (c *ContentCache) applyChanges(changes *feed.Changes) *config.Content {
	if changes == nil || c.content == nil || changes.Base != c.digest {
		return nil
	}
	next, err := changes.Apply(c.content)
	if err != nil {
		return nil
	}
	return next
}
