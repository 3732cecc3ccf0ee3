package meter

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Process is the resource usage of this process so far.
type Process struct {
	// CPU is the CPU time, user and system.
	CPU time.Duration
	// RSS is the resident memory in bytes and PeakRSS its maximum so far. Both
	// are 0 if the operating system doesn't report them.
	RSS     uint64
	PeakRSS uint64
}

// Lines of /proc/self/status; sizes are in kB. The maximum that getrusage reports
// is not used, because it includes the memory of the process that started this one.
const (
	fileStatus = "/proc/self/status"
	lineRSS    = "VmRSS:"
	linePeak   = "VmHWM:"
	sizeUnit   = 1 << 10
)

// ReadProcess returns the resource usage of this process. Values that cannot be
// read are 0.
func ReadProcess() Process {
	var p Process
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		p.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	p.RSS, p.PeakRSS = residentMemory()
	return p
}

// residentMemory returns the resident memory and its peak, in bytes.
func residentMemory() (now, peak uint64) {
	b, err := os.ReadFile(fileStatus)
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(b) {
		fields := bytes.Fields(line)
		switch {
		case len(fields) < 2:
		case string(fields[0]) == lineRSS:
			now = parseSize(fields[1])
		case string(fields[0]) == linePeak:
			peak = parseSize(fields[1])
		}
	}
	return now, peak
}

// parseSize parses a size in kB and returns it in bytes, 0 if it is not valid. A
// limit of 54 bits keeps the product within 64 bits.
func parseSize(text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 54)
	if err != nil {
		return 0
	}
	return n * sizeUnit
}
