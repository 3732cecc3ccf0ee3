// Package prefix rates a prefill engine by how likely it is to hold, or to be
// the right one to hold, a prompt's prefix.
package prefix

import (
	"github.com/wardspool/wardspool/kernel"
)

// Scorer implements kernel.Scorer.
type Scorer struct{ kernel.NoCost }
