package orders

import "time"

// Settings are the parameters of a planner. All must be positive.
type Settings struct {
	// Loads is the number of engines of a zone that may load at once. It is
	// limited because the weight store is rate-limited.
	Loads int
	// TurnLimit is the longest time that an engine waits for the one ahead of it
	// to load.
	TurnLimit time.Duration
	// Steady is the interval between reads of an engine that runs the desired
	// placement. Recheck is that of all other engines; after each order it
	// doubles, up to Steady.
	Steady  time.Duration
	Recheck time.Duration
	// Confirm is how long a report that the bundle is the newest remains valid.
	Confirm time.Duration
	// DrainMargin is added to the longest deadline of any kind of request. After
	// that time no caller waits for requests that were sent under an older
	// bundle.
	DrainMargin time.Duration
}

// DefaultSettings returns settings for a bundle that comes into force on all
// instances within 16 s.
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
