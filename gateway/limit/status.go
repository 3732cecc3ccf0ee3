package limit

import "github.com/wardspool/wardspool/gateway/routing"

// Status is the state of a workspace's limit as an instance reports it to operators, in the
// limit's unit.
type Status struct {
	Workspace string       `json:"workspace"`
	Rate      float64      `json:"rate"`
	Burst     float64      `json:"burst"`
	Unit      routing.Unit `json:"unit"`
	// Use counts the requests of the instance's own callers.
	Use
	// Owns reports whether the instance owns its zone's account. Level is then its balance.
	Owns  bool    `json:"keeps"`
	Level float64 `json:"level"`
}
