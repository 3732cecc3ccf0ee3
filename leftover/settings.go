package leftover

import "time"

// Settings of a planner. All are positive.
type Settings struct {
	// Margin is the time beyond an attempt's deadline after which it is released
	// whoever owns it. It must exceed the difference between any two instances'
	// wall clocks.
	Margin time.Duration
	// Watchers is how many instances read one engine's list: the first of them
	// releases, each further one only what is still held TakeOver later.
	Watchers int
	TakeOver time.Duration
	// Quiet is the time between reads of a list while nothing is to be found;
	// for the further watchers it is QuietBackup.
	Quiet       time.Duration
	QuietBackup time.Duration
	// Alert is the time between reads while there is something to be found: for
	// AlertFor after an instance died, and while leftovers are held.
	Alert    time.Duration
	AlertFor time.Duration
	// Retry is the time after which an order that was not acknowledged is given
	// again; it doubles up to RetryMax.
	Retry    time.Duration
	RetryMax time.Duration
}

// DefaultSettings returns settings for which docs/design/leftovers.md gives the
// cost.
func DefaultSettings() Settings {
	return Settings{
		Margin:      2 * time.Second,
		Watchers:    2,
		TakeOver:    5 * time.Second,
		Quiet:       20 * time.Second,
		QuietBackup: 60 * time.Second,
		Alert:       2 * time.Second,
		AlertFor:    4 * time.Second,
		Retry:       500 * time.Millisecond,
		RetryMax:    8 * time.Second,
	}
}
