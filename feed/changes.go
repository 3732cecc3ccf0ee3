package feed

import (
	"fmt"
	"reflect"

	"github.com/wardspool/wardspool/config"
)

// Splice describes a new list relative to the previous one: the first Keep entries
// of the previous list, then Insert, then its last Tail entries.
type Splice[T any] struct {
	Keep   int `json:"keep"`
	Insert []T `json:"insert,omitempty"`
	Tail   int `json:"tail"`
}

// Changes describes a bundle's content relative to that of another version: the
// two long lists as splices, all other fields in full.
type Changes struct {
	// Base is the digest of the bundle that the changes apply to.
	Base string `json:"base"`
	// Rest is the new content, without workspaces and upstreams.
	Rest       config.Content           `json:"rest"`
	Workspaces Splice[config.Workspace] `json:"workspaces"`
	Upstreams  Splice[config.Upstream]  `json:"upstreams"`
}

// SpliceError reports a splice that keeps more entries than the list has.
type SpliceError struct {
	// Keep and Tail are those of the splice. Length is the number of entries in
	// the list.
	Keep, Tail, Length int
}

// Error implements error.
func (e *SpliceError) Error() string {
	return fmt.Sprintf("a splice keeps %d and %d entries of %d", e.Keep, e.Tail, e.Length)
}

// NewChanges returns the changes from before, the content of the bundle with the
// digest base, to after.
func NewChanges(base string, before, after *config.Content) *Changes {
	c := &Changes{
		Base: base, Rest: *after,
		Workspaces: newSplice(before.Workspaces, after.Workspaces),
		Upstreams:  newSplice(before.Upstreams, after.Upstreams),
	}
	c.Rest.Workspaces, c.Rest.Upstreams = nil, nil
	return c
}

// Apply applies the changes to before and returns the new content. It does not modify
// before, but the two share memory. The error is a *SpliceError.
func (c *Changes) Apply(before *config.Content) (*config.Content, error) {
	after := c.Rest
	var err error
	if after.Workspaces, err = c.Workspaces.apply(before.Workspaces); err != nil {
		return nil, err
	}
	if after.Upstreams, err = c.Upstreams.apply(before.Upstreams); err != nil {
		return nil, err
	}
	return &after, nil
}

// newSplice returns the splice from before to after, with the longest common prefix
// and then the longest common suffix kept.
func newSplice[T any](before, after []T) Splice[T] {
	shorter := min(len(before), len(after))
	keep := 0
	for keep < shorter && reflect.DeepEqual(&before[keep], &after[keep]) {
		keep++
	}
	tail := 0
	for tail < shorter-keep && reflect.DeepEqual(&before[len(before)-1-tail], &after[len(after)-1-tail]) {
		tail++
	}
	return Splice[T]{Keep: keep, Insert: after[keep : len(after)-tail], Tail: tail}
}

// apply applies the splice to before and returns the new list.
func (s Splice[T]) apply(before []T) ([]T, error) {
	if s.Keep < 0 || s.Tail < 0 || s.Keep > len(before) || s.Tail > len(before)-s.Keep {
		return nil, &SpliceError{Keep: s.Keep, Tail: s.Tail, Length: len(before)}
	}
	if s.Keep+len(s.Insert)+s.Tail == 0 {
		return nil, nil
	}
	after := make([]T, 0, s.Keep+len(s.Insert)+s.Tail)
	after = append(after, before[:s.Keep]...)
	after = append(after, s.Insert...)
	return append(after, before[len(before)-s.Tail:]...), nil
}
