package meter

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Process is what this process has cost so far.
type Process struct {
	// CPU is its processor time, user and system.
	CPU time.Duration
	// RSS is its resident memory in bytes, 0 where the system doesn't say, and
	// PeakRSS the highest so far.
	RSS     uint64
	PeakRSS uint64
}

// Lines of /proc/self/status; sizes are in kB. The peak of getrusage is of no use:
// it counts the memory of the process that started this one.
const (
	fileStatus = "/proc/self/status"
	lineRSS    = "VmRSS:"
	linePeak   = "VmHWM:"
	sizeUnit   = 1 << 10
)

// ReadProcess reads what this process has cost. What cannot be read is 0.
func ReadProcess() Process {
	var p Process
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		p.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	p.RSS, p.PeakRSS = resident()
	return p
}

// resident reads the resident memory and its peak, in bytes.
func resident() (now, peak uint64) {
	b, err := os.ReadFile(fileStatus)
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(b) {
		fields := bytes.Fields(line)
		switch {
		case len(fields) < 2:
		case string(fields[0]) == lineRSS:
			now = size(fields[1])
		case string(fields[0]) == linePeak:
			peak = size(fields[1])
		}
	}
	return now, peak
}

// size reads a size, 0 if it is none.
func size(text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 54)
	if err != nil {
		return 0
	}
	return n * sizeUnit
}
