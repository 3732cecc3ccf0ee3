package orders

import (
	"slices"

	"github.com/wardspool/wardspool/config"
)

// Placement is the role, models, adapters and version that an engine runs. Models
// and Adapters are sorted.
type Placement struct {
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
}

// Desired returns the placement that the bundle declares for an upstream.
func Desired(u *config.Upstream) Placement {
	return NewPlacement(u.Role, u.Models, u.Adapters, u.Version)
}

// NewPlacement returns a placement with sorted copies of the lists, without
// duplicates.
func NewPlacement(role config.Role, models, adapters []string, version string) Placement {
	return Placement{Role: role, Models: sorted(models), Adapters: sorted(adapters), Version: version}
}

// sorted returns a sorted copy without duplicates.
func sorted(names []string) []string {
	out := slices.Clone(names)
	slices.Sort(out)
	return slices.Compact(out)
}

// Equal reports whether two placements are the same.
func (p Placement) Equal(o Placement) bool {
	return p.Role == o.Role && p.Version == o.Version &&
		slices.Equal(p.Models, o.Models) && slices.Equal(p.Adapters, o.Adapters)
}

// Fence returns the fencing number of the orders of a bundle version. A version
// gives each upstream a single order, so the version number itself is sufficient.
func Fence(version uint64) uint64 { return version }
