package orders

import "time"

// Settings are the parameters of a planner. All must be positive.
type Settings struct {
	// MaxLoads is the number of engines of a zone that may load at once. It is
	// limited because the weight store is rate-limited.
	MaxLoads int
	// TurnLimit is the longest time that an engine waits for the one ahead of it
	// to load.
	TurnLimit time.Duration
	// SteadyInterval is the interval between reads of an engine that runs the
	// desired placement. RecheckInterval is that of all other engines; after each
	// order it doubles, up to SteadyInterval.
	SteadyInterval  time.Duration
	RecheckInterval time.Duration
	// ReportTTL is how long a report that the bundle is the newest remains valid.
	ReportTTL time.Duration
	// DrainMargin is added to the longest deadline of any kind of request. After
	// that time no caller waits for requests that were sent under an older
	// bundle.
	DrainMargin time.Duration
}

// DefaultSettings returns settings for a bundle that comes into force on all
// instances within 16 s.
func DefaultSettings() Settings {
	return Settings{
		MaxLoads:        2,
		TurnLimit:       5 * time.Minute,
		SteadyInterval:  30 * time.Second,
		RecheckInterval: 2 * time.Second,
		ReportTTL:       5 * time.Second,
		DrainMargin:     20 * time.Second,
	}
}
