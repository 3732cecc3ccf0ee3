package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is what happened, in the order in which it was seen.
type Record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{started: time.Now()} }

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Add adds a line with pairs of names and values.
func (r *Record) Add(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.4f s  %-12s", r.Now().Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, b.String())
}

// Write writes the record to a file, after a summary.
func (r *Record) Write(path string, summary []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(summary, "\n") + "\n\n" + strings.Join(r.lines, "\n") + "\n"
	must(os.WriteFile(path, []byte(text), 0o644))
}
