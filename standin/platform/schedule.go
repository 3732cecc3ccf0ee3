package platform

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// schedule is the seeded sequence of up and down phases of a flapping platform,
// which begins up. Times must not decrease.
type schedule struct {
	random           *rand.Rand
	meanUp, meanDown time.Duration
	down             bool
	until            time.Time // the end of the present phase
}

// newSchedule returns the schedule that mode describes, starting now.
func newSchedule(mode control.PlatformMode, now time.Time) *schedule {
	s := &schedule{
		random:   rand.New(rand.NewPCG(mode.Seed, mode.Seed)),
		meanUp:   phase(mode.MeanUpMS),
		meanDown: phase(mode.MeanDownMS),
	}
	s.until = now.Add(s.draw(s.meanUp))
	return s
}

// phase returns a mean length, or the default if none is given.
func phase(ms int64) time.Duration {
	if ms <= 0 {
		ms = control.DefaultPhaseMS
	}
	return time.Duration(ms) * time.Millisecond
}

// draw returns the length of a phase: half to one and a half times the mean.
func (s *schedule) draw(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// at reports whether the platform is down, and when that changes.
func (s *schedule) at(now time.Time) (down bool, until time.Time) {
	for !s.until.After(now) {
		s.down = !s.down
		mean := s.meanUp
		if s.down {
			mean = s.meanDown
		}
		s.until = s.until.Add(s.draw(mean))
	}
	return s.down, s.until
}
