package testbed

import (
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
)

// Programs are the paths of the built binaries.
type Programs struct {
	Entry, Agent, Gateway, Ctl, Standin, Load string
}

// Build compiles the programs of the module at root into dir, with the race
// detector if race is set.
func Build(root, dir string, race bool) (Programs, error) {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if race {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Programs{}, &ProcessError{Name: "go build", Op: "start", Err: err, Output: string(out)}
	}
	return ProgramsIn(dir), nil
}

// ProgramsIn returns the paths of the binaries that an earlier Build wrote to dir.
func ProgramsIn(dir string) Programs {
	return Programs{
		Entry:   filepath.Join(dir, "wardspool-entry"),
		Agent:   filepath.Join(dir, "wardspool-agent"),
		Gateway: filepath.Join(dir, "wardspool-gateway"),
		Ctl:     filepath.Join(dir, "wardspoolctl"),
		Standin: filepath.Join(dir, "wardspool-standin"),
		Load:    filepath.Join(dir, "wardspool-load"),
	}
}

// Ports allocates free loopback ports. A port is only known to be free at the time
// of its allocation; the process that uses it must start soon.
type Ports struct {
	listeners []net.Listener
}

// reservations holds a listener at reservationHost for each port that this program has
// allocated. While it is open, no other call, in this program or another on this machine,
// allocates the port, even if the process that it is for has not bound it yet. The listeners
// stay open until the program ends; the map keeps them from being garbage collected, which
// would close them.
var reservations sync.Map

// reservationHost is a loopback address that no process of a testbed binds.
const reservationHost = "127.255.255.254"

// reserve reserves the port by listening on it at reservationHost. Errors are those of
// net.Listen.
func reserve(port int) error {
	l, err := net.Listen("tcp", net.JoinHostPort(reservationHost, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	reservations.Store(port, l)
	return nil
}

// Ports are allocated below Linux's ephemeral port range: otherwise an outgoing
// connection could take the port of a process that has not started yet or is
// stopped for a while.
const (
	firstPort       = 10_000
	lastPort        = 32_000
	maxPortAttempts = 1000
)

// Next returns a free "127.0.0.1:port" that no earlier call returned, in this program or in
// another one that is still running.
func (p *Ports) Next() (string, error) {
	var failed error
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if err := reserve(port); err != nil {
			failed = err
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			failed = err
			continue
		}
		p.listeners = append(p.listeners, l)
		return l.Addr().String(), nil
	}
	return "", &ProcessError{Name: "port", Op: "start", Err: failed}
}

// Release closes the listeners on the allocated ports, so that the processes can bind them.
// The reservations stay.
func (p *Ports) Release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.listeners = nil
}

// ModuleRoot returns the nearest directory with a go.mod, from the working directory upwards.
func ModuleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", &ProcessError{Name: "module root", Op: "start", Err: err}
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", &ProcessError{Name: "module root", Op: "start", Err: os.ErrNotExist}
		}
		dir = parent
	}
}
