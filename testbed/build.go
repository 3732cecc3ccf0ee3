package testbed

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
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

// Next returns a free "127.0.0.1:port" that no earlier call returned.
func (p *Ports) Next() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &ProcessError{Name: "port", Op: "start", Err: err}
	}
	p.held = append(p.held, l)
	return l.Addr().String(), nil
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
