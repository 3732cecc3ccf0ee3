package service

import (
	"sort"

	"github.com/wardspool/wardspool/standin/judge"
)

// counts keeps one counter for each name, for a bounded number of names.
type counts struct {
	cap     int
	byName  map[string]int
	dropped int // number of counts for names beyond the cap
}

// newCounts returns empty counts for at most limit names.
func newCounts(limit int) counts {
	return counts{cap: limit, byName: make(map[string]int)}
}

// add increments the count of a name. The empty name is not counted.
func (c *counts) add(name string) {
	if name == "" {
		return
	}
	if _, known := c.byName[name]; !known && len(c.byName) >= c.cap {
		c.dropped++
		return
	}
	c.byName[name]++
}

// list returns the counts, sorted by name.
func (c *counts) list() []judge.Count {
	out := make([]judge.Count, 0, len(c.byName))
	for name, n := range c.byName {
		out = append(out, judge.Count{Name: name, N: n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
