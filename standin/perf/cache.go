package perf

import (
	"container/list"

	"github.com/wardspool/wardspool/tokens"
)

// Cache is a prefix cache: a set of block hashes of bounded size from which the
// least recently used is evicted first. It is not safe for concurrent use.
type Cache struct {
	capacity int
	order    *list.List // of tokens.BlockHash, most recently used first
	index    map[tokens.BlockHash]*list.Element
}

// NewCache returns an empty cache of the given capacity in blocks.
func NewCache(capacity int) *Cache {
	return &Cache{
		capacity: capacity,
		order:    list.New(),
		index:    make(map[tokens.BlockHash]*list.Element),
	}
}

// Len returns the number of blocks held.
func (c *Cache) Len() int { return len(c.index) }

// Hashes returns the blocks held, most recently used first.
func (c *Cache) Hashes() []tokens.BlockHash {
	out := make([]tokens.BlockHash, 0, len(c.index))
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(tokens.BlockHash))
	}
	return out
}

// Match returns how many leading blocks of a prompt are held, without marking
// them as used.
func (c *Cache) Match(prompt []tokens.BlockHash) int {
	for i, h := range prompt {
		if _, ok := c.index[h]; !ok {
			return i
		}
	}
	return len(prompt)
}

// Insert marks a prompt's blocks as used, adds those not yet held, and evicts
// what no longer fits. It returns the blocks added and the blocks evicted, each
// in order. Of a prompt larger than the cache, the leading blocks are kept.
func (c *Cache) Insert(prompt []tokens.BlockHash) (added, evicted []tokens.BlockHash) {
	prompt = prompt[:min(len(prompt), c.capacity)]
	// From the last to the first, so that the first block, which the most
	// prompts share, ends up as the most recently used.
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

// evict drops the least recently used block and returns it.
func (c *Cache) evict() tokens.BlockHash {
	last := c.order.Back()
	h := last.Value.(tokens.BlockHash)
	c.order.Remove(last)
	delete(c.index, h)
	return h
}

// Clear drops all blocks.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.index)
}
