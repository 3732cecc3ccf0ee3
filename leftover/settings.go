package leftover

import "time"

// Settings are the parameters of a planner. All must be positive.
type Settings struct {
	// Margin is added to an attempt's deadline; after that the attempt is
	// released whatever the state of its owner. It must exceed the difference
	// between the wall clocks of any two instances.
	Margin time.Duration
	// Watchers is the number of instances that read each engine's list. The first
	// one releases at once; each further one releases what is still held after
	// another TakeOver.
	Watchers int
	TakeOver time.Duration
	// IdleInterval is the interval between reads by the first watcher while no
	// leftovers are expected; BackupIdleInterval is that of the further watchers.
	IdleInterval       time.Duration
	BackupIdleInterval time.Duration
	// ActiveInterval is the interval between reads while leftovers are expected:
	// for ActiveDuration after an instance died, and while any are held.
	ActiveInterval time.Duration
	ActiveDuration time.Duration
	// RetryInterval is the time after which an unacknowledged order is repeated.
	// It doubles with each repetition, up to RetryMax.
	RetryInterval time.Duration
	RetryMax      time.Duration
}

// DefaultSettings returns the settings whose cost docs/design/leftovers.md gives.
func DefaultSettings() Settings {
	return Settings{
		Margin:             2 * time.Second,
		Watchers:           2,
		TakeOver:           5 * time.Second,
		IdleInterval:       20 * time.Second,
		BackupIdleInterval: 60 * time.Second,
		ActiveInterval:     2 * time.Second,
		ActiveDuration:     4 * time.Second,
		RetryInterval:      500 * time.Millisecond,
		RetryMax:           8 * time.Second,
	}
}
