package membership

import "github.com/wardspool/wardspool/kernel"

// State is the state of a process as determined by this instance, from best to
// worst.
type State int

const (
	// Alive means that there is recent evidence of liveness.
	Alive State = iota + 1
	// Suspect means that there is no recent evidence of liveness, and none to
	// the contrary.
	Suspect
	// Unreachable means that there has been no evidence of liveness for long.
	// The process may still run behind a network partition.
	Unreachable
	// Unresponsive means that the host's operating system accepts connections
	// and the process does not answer. The process may be paused, in which case
	// it still has its requests when it continues.
	Unresponsive
	// Dead means that the process is known not to run: its host refuses
	// connections, or its own agent reported its end.
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
	case Unresponsive:
		return "frozen"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// LivenessOf maps a state and the leaving mark to the kernel's liveness scale.
func LivenessOf(s State, leaving bool) kernel.Liveness {
	switch {
	case s == Dead:
		return kernel.Dead
	case s == Unreachable || s == Unresponsive:
		return kernel.Unreachable
	case leaving:
		return kernel.Leaving
	case s == Suspect:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}
