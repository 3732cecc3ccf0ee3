package routing

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// Regions are the regions in which requests are allowed. A nil list allows all regions; a
// non-nil empty list allows none.
type Regions []ident.Region

// Allow reports whether a region is allowed.
func (r Regions) Allow(region ident.Region) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both lists allow.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case r == nil:
		return o
	case o == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(o, region) {
			both = append(both, region)
		}
	}
	return both
}
