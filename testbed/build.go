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
	Entry, Agent, Ctl, Standin, Load string
}

// Build compiles the programs from the module at root into dir. With race set
// they are built with the race detector.
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

// ProgramsIn names the binaries that an earlier Build left in dir.
func ProgramsIn(dir string) Programs {
	return Programs{
		Entry:   filepath.Join(dir, "wardspool-entry"),
		Agent:   filepath.Join(dir, "wardspool-agent"),
		Ctl:     filepath.Join(dir, "wardspoolctl"),
		Standin: filepath.Join(dir, "wardspool-standin"),
		Load:    filepath.Join(dir, "wardspool-load"),
	}
}

// Ports hands out free loopback ports. A port is free when it is handed out;
// the process that uses it must start soon.
type Ports struct {
	held []net.Listener
}

// reservations holds a listener at reservationHost for each port that this program has handed
// out. While it is open, no other call, in this program or another on this machine, hands out
// the port, even if the process that it is for has not bound it yet. The listeners stay open
// until the program ends; the map keeps them from being garbage collected, which closes them.
var reservations sync.Map

// reservationHost is a loopback address that no process of a test bed binds.
const reservationHost = "127.255.255.254"

// reserve listens on the port at reservationHost. The error is the network's.
func reserve(port int) error {
	l, err := net.Listen("tcp", net.JoinHostPort(reservationHost, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	reservations.Store(port, l)
	return nil
}

// Ports are taken from below the range from which Linux chooses the local ends
// of connections: otherwise a connection could take the port of a process that
// is not started yet, or is away for a while.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 1000
)

// Next returns a free "127.0.0.1:port" that no earlier call returned, in this program or in
// another one that is still running.
func (p *Ports) Next() (string, error) {
	var failed error
	for range portTries {
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
		p.held = append(p.held, l)
		return l.Addr().String(), nil
	}
	return "", &ProcessError{Name: "port", Op: "start", Err: failed}
}

// Release makes the handed-out ports bindable for the processes.
func (p *Ports) Release() {
	for _, l := range p.held {
		_ = l.Close()
	}
	p.held = nil
}

// ModuleRoot finds the folder with go.mod, from the working directory upwards.
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
