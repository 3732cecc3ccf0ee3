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

// Sizes of units that the system reports in.
const (
	rssUnit = 1 << 10 // Rusage.Maxrss on Linux
	// statm lists sizes in pages; the resident one is the second.
	residentField = 1
)

// ReadProcess reads what this process has cost. What cannot be read is 0.
func ReadProcess() Process {
	var p Process
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		p.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
		p.PeakRSS = uint64(u.Maxrss) * rssUnit
	}
	p.RSS = resident()
	return p
}

// resident reads the resident memory, in bytes.
func resident() uint64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(b)
	if len(fields) <= residentField {
		return 0
	}
	pages, err := strconv.ParseUint(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
