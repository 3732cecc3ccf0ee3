package lease

import "time"

// leadError learns by how much slots are put to use earlier than their asks
// predicted, so that a slot leased ahead is free in time.
type leadError struct {
	mean, deviation time.Duration
}

const (
	// firstDeviation is assumed before anything was observed.
	firstDeviation = 250 * time.Millisecond
	// meanShare and deviationShare are the inverse weights of the newest
	// observation, as in TCP's estimate of the round-trip time.
	meanShare      = 8
	deviationShare = 4
	// deviations is how many deviations a slot may come early.
	deviations = 2
)

// observe adds a slot that was put to use early by d, late if negative.
func (e *leadError) observe(d time.Duration) {
	off := d - e.mean
	e.mean += off / meanShare
	e.deviation += (off.Abs() - e.deviation) / deviationShare
}

// earliest returns the shortest time until a slot is likely put to use.
func (e *leadError) earliest(lead time.Duration) time.Duration {
	return max(lead-e.mean-deviations*e.deviation, 0)
}

// likely returns the time until a slot is put to use on average.
func (e *leadError) likely(lead time.Duration) time.Duration {
	return max(lead-e.mean, 0)
}
