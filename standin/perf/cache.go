package perf

import (
	"container/list"

	"github.com/wardspool/wardspool/tokens"
)

// Cache models a prefix cache: a set of block hashes of bounded size with
// least-recently-used eviction. It is not safe for concurrent use.
type Cache struct {
	capacity int
	order    *list.List // of tokens.BlockHash, most recently used first
	index    map[tokens.BlockHash]*list.Element
}

// NewCache returns an empty cache with the given capacity in blocks.
func NewCache(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		order:    list.New(),
		index:    make(map[tokens.BlockHash]*list.Element),
	}
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return len(c.index) }

// Hashes returns the cached blocks, most recently used first.
func (c *Cache) Hashes() []tokens.BlockHash {
	out := make([]tokens.BlockHash, 0, len(c.index))
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(tokens.BlockHash))
	}
	return out
}

// Match returns the number of leading blocks of a prompt that are cached. It does not mark
// them as used.
func (c *Cache) Match(prompt []tokens.BlockHash) int {
	for i, h := range prompt {
		if _, ok := c.index[h]; !ok {
			return i
		}
	}
	return len(prompt)
}

// Insert marks the blocks of a prompt as used, adds those that are not cached, and evicts
// blocks beyond the capacity. It returns the added blocks in prompt order and the evicted
// blocks in order of eviction. Of a prompt larger than the cache, it inserts only the
// leading blocks.
func (c *Cache) Insert(prompt []tokens.BlockHash) (added, evicted []tokens.BlockHash) {
	prompt = prompt[:min(len(prompt), c.capacity)]
	// Insert from last to first, so that the first block, which is shared by the most
	// prompts, becomes the most recently used one.
	for i := len(prompt) - 1; i >= 0; i-- {
		h := prompt[i]
		if e, ok := c.index[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.index[h] = c.order.PushFront(h)
		added = append(added, h)
	}
	for left, right := 0, len(added)-1; left < right; left, right = left+1, right-1 {
		added[left], added[right] = added[right], added[left]
	}
	for len(c.index) > c.capacity {
		evicted = append(evicted, c.evict())
	}
	return added, evicted
}

// evict removes and returns the least recently used block.
func (c *Cache) evict() tokens.BlockHash {
	last := c.order.Back()
	h := last.Value.(tokens.BlockHash)
	c.order.Remove(last)
	delete(c.index, h)
	return h
}

// Clear removes all blocks.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.index)
}
