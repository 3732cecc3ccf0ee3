// Package control defines the HTTP interface under /control/ by which a test or a demo
// injects faults into a stand-in. The system under test does not use it.
package control

import "fmt"

// Paths of the control interface.
const (
	// PathFaults is the path of an engine's EngineFaults or a service's ServiceFaults:
	// GET reads them, PUT replaces all of them.
	PathFaults = "/control/faults"
	// PathCrash is the path to which a Crash is posted.
	PathCrash = "/control/crash"
	// PathMode is the path of the platform's PlatformMode: GET reads it, PUT replaces it.
	PathMode = "/control/mode"
	// PathKeys is the path prefix of the platform's keys: PUT writes a value, DELETE
	// removes it.
	PathKeys = "/control/keys/"
	// PathJudge is the path of every stand-in's report on what it actually did.
	PathJudge = "/judge"
)

// EngineFaults are the faults of a stand-in engine. The zero value has no faults.
type EngineFaults struct {
	// StallTransfers stops the progress of KV transfers out of the engine.
	StallTransfers bool `json:"stall_transfers"`
	// Refuse makes the engine refuse new work with CodeNotStarted.
	Refuse bool `json:"refuse"`
	// Draining makes the engine refuse new work with CodeDraining.
	Draining bool `json:"draining"`
	// FailAfterTokens makes each generation fail after this many tokens of its run,
	// without an error to the reader of its stream; 0 disables it.
	FailAfterTokens int `json:"fail_after_tokens"`
	// SlowFactor multiplies the duration of every step; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// DropConnections closes all existing and new connections except those of the
	// test harness. The work itself continues.
	DropConnections bool `json:"drop_connections"`
}

// Crash makes a stand-in behave like a process that is killed and restarted. All state
// except the counters of its report is lost.
type Crash struct {
	// DownMS is the time until the restart, in milliseconds.
	DownMS int64 `json:"down_ms"`
}

// ServiceFaults are the faults of a stand-in plain service. The zero value has no
// faults.
type ServiceFaults struct {
	// CloseBeforeRun closes the connection instead of running the call.
	CloseBeforeRun bool `json:"die_before_run"`
	// CloseAfterRun runs the call, then closes the connection without a response.
	CloseAfterRun bool `json:"die_after_run"`
	// DelayMS is added to the duration of every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// ErrorRate is the fraction of calls, 0 to 1, that run and then fail with status 500.
	ErrorRate float64 `json:"error_rate"`
	// Refuse makes the service refuse calls with CodeNotStarted.
	Refuse bool `json:"refuse"`
	// Draining makes the service refuse calls with CodeDraining.
	Draining bool `json:"draining"`
}

// Mode selects how the stand-in platform behaves.
type Mode string

// The modes.
const (
	// ModeUp serves the written values, delayed by the lags.
	ModeUp Mode = "up"
	// ModeDown serves no reads; DownBehavior selects how they fail.
	ModeDown Mode = "down"
	// ModeStale serves an older snapshot, with the indexes it had.
	ModeStale Mode = "stale"
	// ModeFlapping alternates between up and down by a seeded schedule.
	ModeFlapping Mode = "flapping"
)

// DownBehavior selects how reads fail while the stand-in platform is down.
type DownBehavior string

// The ways in which reads fail.
const (
	// DownByStatus responds with status 503. It is the default.
	DownByStatus DownBehavior = "status"
	// DownByClose closes connections without a response.
	DownByClose DownBehavior = "close"
	// DownByHang sends no response until the reader disconnects or the mode changes; it
	// then closes the connection.
	DownByHang DownBehavior = "hang"
)

// PlatformMode is a Mode of the stand-in platform with its parameters.
type PlatformMode struct {
	Mode Mode `json:"mode"`
	// DownBehavior applies to ModeDown and ModeFlapping.
	DownBehavior DownBehavior `json:"down_by,omitempty"`
	// StaleIndex is the index of the snapshot that ModeStale serves. Default: the
	// latest index when the mode is set.
	StaleIndex uint64 `json:"stale_index,omitempty"`
	// Seed is the random seed of the schedule of ModeFlapping.
	Seed uint64 `json:"seed,omitempty"`
	// MeanUpMS and MeanDownMS are the mean durations of the phases of ModeFlapping, in
	// milliseconds. The duration of a phase is distributed uniformly between 0.5 and
	// 1.5 times the mean. Default: DefaultPhaseMS.
	MeanUpMS   int64 `json:"mean_up_ms,omitempty"`
	MeanDownMS int64 `json:"mean_down_ms,omitempty"`
	// Lags delays the visibility of writes to keys with a prefix. If several prefixes
	// match, the longest one applies.
	Lags []Lag `json:"lags,omitempty"`
}

// DefaultPhaseMS is the default mean duration of a phase of ModeFlapping, in milliseconds.
const DefaultPhaseMS = 1000

// Lag delays the visibility of writes to the keys with a prefix.
type Lag struct {
	Prefix string `json:"prefix"`
	LagMS  int64  `json:"lag_ms"`
}

// InvalidError reports a control document with an invalid member.
type InvalidError struct {
	// Field is the name of the invalid member.
	Field string
	// Value is the value of the member.
	Value string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("control: %s cannot be %q", e.Field, e.Value)
}

// Validate returns an *InvalidError if Mode or DownBehavior is unknown.
func (m PlatformMode) Validate() error {
	switch m.Mode {
	case ModeUp, ModeDown, ModeStale, ModeFlapping:
	default:
		return &InvalidError{Field: "mode", Value: string(m.Mode)}
	}
	switch m.DownBehavior {
	case "", DownByStatus, DownByClose, DownByHang:
		return nil
	default:
		return &InvalidError{Field: "down_by", Value: string(m.DownBehavior)}
	}
}
