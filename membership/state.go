package membership

import "github.com/wardspool/wardspool/kernel"

// State is what is believed of a process, from best to worst.
type State int

const (
	// Alive means a recent sign of life.
	Alive State = iota + 1
	// Suspect means no recent sign of life and nothing to the contrary.
	Suspect
	// Unreachable means that no sign of life came for long. The process may
	// still run behind a cut.
	Unreachable
	// Frozen means that its kernel answers and the process does not: it may be
	// paused, and then wakes up with its requests.
	Frozen
	// Dead means that the process is known not to run: its kernel refuses
	// connections, or its own agent said so.
	Dead
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Unreachable:
		return "unreachable"
	case Frozen:
		return "frozen"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Life maps a state and the leaving mark to the kernel's scale.
func Life(s State, leaving bool) kernel.Liveness {
	switch {
	case s == Dead:
		return kernel.Dead
	case s == Unreachable || s == Frozen:
		return kernel.Unreachable
	case leaving:
		return kernel.Leaving
	case s == Suspect:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}
