// Package control defines the bench-only interface under /control/ by which a
// test or a demo brings about the failures of a stand-in. Nothing of the system
// uses it.
package control

import "fmt"

// Paths of the control interface.
const (
	// PathFaults takes Faults of an engine or a service: GET reads them, PUT
	// replaces them all.
	PathFaults = "/control/faults"
	// PathCrash takes a Crash, by POST.
	PathCrash = "/control/crash"
	// PathMode takes a PlatformMode of the platform, by GET and PUT.
	PathMode = "/control/mode"
	// PathKeys prefixes the platform's keys: PUT writes a value, DELETE
	// removes it.
	PathKeys = "/control/keys/"
	// PathJudge is where every stand-in reports what really happened.
	PathJudge = "/judge"
)

// EngineFaults are the faults of a stand-in engine; the zero value is none.
type EngineFaults struct {
	// StallTransfers stops the progress of KV transfers out of the engine.
	StallTransfers bool `json:"stall_transfers"`
	// Refuse makes the engine refuse new work as not started.
	Refuse bool `json:"refuse"`
	// Draining makes the engine refuse new work because it leaves.
	Draining bool `json:"draining"`
	// FailAfterTokens makes each generation fail, without a word to its
	// reader, after this many tokens of its run; 0 is never.
	FailAfterTokens int `json:"fail_after_tokens"`
	// SlowFactor multiplies the duration of every step; 0 and 1 change nothing.
	SlowFactor float64 `json:"slow_factor"`
	// DropConnections closes every connection but the bench's, old and new;
	// the work itself goes on.
	DropConnections bool `json:"drop_connections"`
}

// Crash is an order to behave like a process that is killed and started again:
// everything but the judge's counters is lost.
type Crash struct {
	// DownMS is how long the process stays away, in milliseconds.
	DownMS int64 `json:"down_ms"`
}

// ServiceFaults are the faults of a stand-in plain service; the zero value is
// none.
type ServiceFaults struct {
	// DieBeforeRun closes the connection in place of running the call.
	DieBeforeRun bool `json:"die_before_run"`
	// DieAfterRun runs the call and closes the connection without an answer.
	DieAfterRun bool `json:"die_after_run"`
	// DelayMS is added to the duration of every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// ErrorRate is the share of calls, 0 to 1, that run and then answer 500.
	ErrorRate float64 `json:"error_rate"`
	// Refuse makes the service refuse calls as not started.
	Refuse bool `json:"refuse"`
	// Draining makes the service refuse calls because it leaves.
	Draining bool `json:"draining"`
}

// Mode is how the stand-in platform behaves.
type Mode string

// The modes.
const (
	// ModeUp serves what was written, subject to lags.
	ModeUp Mode = "up"
	// ModeDown serves nothing.
	ModeDown Mode = "down"
	// ModeStale serves an older snapshot with its older indexes.
	ModeStale Mode = "stale"
	// ModeFlapping goes down and up by a seeded schedule.
	ModeFlapping Mode = "flapping"
)

// DownBy is what a reader meets while the stand-in platform is down.
type DownBy string

// What readers meet.
const (
	// DownByStatus answers 503. It is the default.
	DownByStatus DownBy = "status"
	// DownByClose closes connections without an answer.
	DownByClose DownBy = "close"
	// DownByHang gives no answer until the reader leaves or the mode changes.
	DownByHang DownBy = "hang"
)

// PlatformMode sets how the stand-in platform behaves.
type PlatformMode struct {
	Mode Mode `json:"mode"`
	// DownBy is for ModeDown and ModeFlapping.
	DownBy DownBy `json:"down_by,omitempty"`
	// StaleIndex is the index of the snapshot that ModeStale serves; 0 stands
	// for the index in force when the mode is set.
	StaleIndex uint64 `json:"stale_index,omitempty"`
	// Seed makes the schedule of ModeFlapping.
	Seed uint64 `json:"seed,omitempty"`
	// MeanUpMS and MeanDownMS are the mean lengths of the phases of
	// ModeFlapping, in milliseconds; each phase lasts half to one and a half
	// times its mean. Default: DefaultPhaseMS.
	MeanUpMS   int64 `json:"mean_up_ms,omitempty"`
	MeanDownMS int64 `json:"mean_down_ms,omitempty"`
	// Lags delays what readers see of the keys with a prefix; of several that
	// fit, the longest prefix counts.
	Lags []Lag `json:"lags,omitempty"`
}

// DefaultPhaseMS is the default mean length of a phase of ModeFlapping.
const DefaultPhaseMS = 1000

// Lag delays what readers see of some keys.
type Lag struct {
	Prefix string `json:"prefix"`
	LagMS  int64  `json:"lag_ms"`
}

// InvalidError reports a control document that makes no sense.
type InvalidError struct {
	// Field names the member at fault.
	Field string
	// Value is what it holds.
	Value string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("control: %s cannot be %q", e.Field, e.Value)
}

// Validate returns an *InvalidError if the mode is unknown.
func (m PlatformMode) Validate() error {
	switch m.Mode {
	case ModeUp, ModeDown, ModeStale, ModeFlapping:
	default:
		return &InvalidError{Field: "mode", Value: string(m.Mode)}
	}
	switch m.DownBy {
	case "", DownByStatus, DownByClose, DownByHang:
		return nil
	default:
		return &InvalidError{Field: "down_by", Value: string(m.DownBy)}
	}
}
