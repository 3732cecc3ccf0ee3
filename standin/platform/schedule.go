package platform

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// schedule is the seeded sequence of up and down phases of a flapping platform, starting
// with an up phase. Times passed to it must not decrease.
type schedule struct {
	random           *rand.Rand
	meanUp, meanDown time.Duration
	down             bool
	phaseEnd         time.Time // end of the current phase
}

// newSchedule returns the schedule with the mode's parameters, starting at now.
func newSchedule(mode control.PlatformMode, now time.Time) *schedule {
	s := &schedule{
		random:   rand.New(rand.NewPCG(mode.Seed, mode.Seed)),
		meanUp:   meanPhase(mode.MeanUpMS),
		meanDown: meanPhase(mode.MeanDownMS),
	}
	s.phaseEnd = now.Add(s.randomPhase(s.meanUp))
	return s
}

// meanPhase converts a mean phase duration from milliseconds. A value of 0 or less means
// control.DefaultPhaseMS.
func meanPhase(ms int64) time.Duration {
	if ms <= 0 {
		ms = control.DefaultPhaseMS
	}
	return time.Duration(ms) * time.Millisecond
}

// randomPhase returns a random phase duration between 0.5 and 1.5 times the mean.
func (s *schedule) randomPhase(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// at reports whether the platform is down at the given time, and when that changes.
func (s *schedule) at(now time.Time) (down bool, until time.Time) {
	for !s.phaseEnd.After(now) {
		s.down = !s.down
		mean := s.meanUp
		if s.down {
			mean = s.meanDown
		}
		s.phaseEnd = s.phaseEnd.Add(s.randomPhase(mean))
	}
	return s.down, s.phaseEnd
}
