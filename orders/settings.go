package orders

import "time"

// Settings of a planner. All are positive.
type Settings struct {
	// Loads is how many engines of a zone may load at once; the weight store is
	// rate-limited.
	Loads int
	// TurnLimit is how long an engine waits for the one before it.
	TurnLimit time.Duration
	// Steady is the time between reads of an engine that runs what is wanted,
	// Recheck that of others; it doubles with each order given, up to Steady.
	Steady  time.Duration
	Recheck time.Duration
	// Confirm is how long a peer's word counts that the bundle is current.
	Confirm time.Duration
	// DrainMargin is added to the longest deadline of a kind of request: after
	// that time nobody waits for work that was sent under an older bundle.
	DrainMargin time.Duration
}

// DefaultSettings returns settings for a bundle that is in force everywhere
// within 16 s.
func DefaultSettings() Settings {
	return Settings{
		Loads:       2,
		TurnLimit:   5 * time.Minute,
		Steady:      30 * time.Second,
		Recheck:     2 * time.Second,
		Confirm:     5 * time.Second,
		DrainMargin: 20 * time.Second,
	}
}
