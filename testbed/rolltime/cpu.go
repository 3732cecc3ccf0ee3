package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/wardspool/wardspool/testbed"
)

// clockTick is the unit of processor times in /proc, which is the same on all common
// Linux platforms.
const clockTick = 10 * time.Millisecond

// Indexes of the user and system time in /proc/PID/stat, counted after the closing
// parenthesis of the command name.
const (
	userField   = 11
	systemField = 12
)

// StatError reports a /proc/PID/stat whose format is not as expected.
type StatError struct{ PID int }

// Error implements error.
func (e *StatError) Error() string { return fmt.Sprintf("process %d: processor time not found", e.PID) }

// processorTime returns the processor time that a process has used so far.
func processorTime(p *testbed.Process) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= systemField {
		return 0, &StatError{PID: p.PID()}
	}
	user, userErr := strconv.Atoi(fields[userField])
	system, systemErr := strconv.Atoi(fields[systemField])
	if userErr != nil || systemErr != nil {
		return 0, &StatError{PID: p.PID()}
	}
	return time.Duration(user+system) * clockTick, nil
}

// usage is the processor time that a fleet's agents and entries have used at a point
// in time.
type usage struct {
	at              time.Time
	agents, entries time.Duration
}

// measureUsage sums the processor time of the agents and of the entries so far.
func measureUsage(fleet *testbed.Fleet) (usage, error) {
	u := usage{at: time.Now()}
	for _, in := range fleet.Instances {
		agent, err := processorTime(in.Agent)
		if err != nil {
			return u, err
		}
		entry, err := processorTime(in.Entry)
		if err != nil {
			return u, err
		}
		u.agents += agent
		u.entries += entry
	}
	return u, nil
}

// printUsage prints the processor time that one version costs an agent and an entry
// beyond their idle use, given the usages before and after an idle period and after
// the rolls.
func printUsage(idleStart, rollsStart, rollsEnd usage, instances, versions int) {
	share := rollsEnd.at.Sub(rollsStart.at).Seconds() / rollsStart.at.Sub(idleStart.at).Seconds()
	extra := func(idleStart, rollsStart, rollsEnd time.Duration) time.Duration {
		rolls := rollsEnd - rollsStart - time.Duration(share*float64(rollsStart-idleStart))
		return (rolls / time.Duration(instances*versions)).Round(time.Millisecond)
	}
	fmt.Printf("processor time of a version: agent %v, entry %v\n",
		extra(idleStart.agents, rollsStart.agents, rollsEnd.agents), extra(idleStart.entries, rollsStart.entries, rollsEnd.entries))
}
