package feed

import (
	"fmt"
	"reflect"

	"github.com/wardspool/wardspool/config"
)

// Splice says how a list came from the one before: its first Keep entries, then
// Insert, then its last Tail entries.
type Splice[T any] struct {
	Keep   int `json:"keep"`
	Insert []T `json:"insert,omitempty"`
	Tail   int `json:"tail"`
}

// Changes says how a bundle's content differs from that of another version: the
// two long lists by what changed, all else whole.
type Changes struct {
	// Base is the digest of the bundle that they belong on.
	Base string `json:"base"`
	// Rest is the new content without workspaces and upstreams.
	Rest       config.Content           `json:"rest"`
	Workspaces Splice[config.Workspace] `json:"workspaces"`
	Upstreams  Splice[config.Upstream]  `json:"upstreams"`
}

// SpliceError reports a splice of a list that is shorter than it keeps.
type SpliceError struct {
	// Keep and Tail are the splice's, Length is the list's, in entries.
	Keep, Tail, Length int
}

// Error implements error.
func (e *SpliceError) Error() string {
	return fmt.Sprintf("a splice keeps %d and %d entries of %d", e.Keep, e.Tail, e.Length)
}

// NewChanges returns how after differs from before, the content of the bundle with
// the digest base.
func NewChanges(base string, before, after *config.Content) *Changes {
	c := &Changes{
		Base: base, Rest: *after,
		Workspaces: splice(before.Workspaces, after.Workspaces),
		Upstreams:  splice(before.Upstreams, after.Upstreams),
	}
	c.Rest.Workspaces, c.Rest.Upstreams = nil, nil
	return c
}

// On returns the content that the changes make of before, which stays as it is;
// the two share memory. The error is a *SpliceError.
func (c *Changes) On(before *config.Content) (*config.Content, error) {
	after := c.Rest
	var err error
	if after.Workspaces, err = c.Workspaces.on(before.Workspaces); err != nil {
		return nil, err
	}
	if after.Upstreams, err = c.Upstreams.on(before.Upstreams); err != nil {
		return nil, err
	}
	return &after, nil
}

// splice returns how after came from before.
func splice[T any](before, after []T) Splice[T] {
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

// on returns the list that the splice makes of before.
func (s Splice[T]) on(before []T) ([]T, error) {
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
