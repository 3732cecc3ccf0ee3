package wire

import (
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/ident"
)

// Status describes an agent and its view of the fleet, for operators.
type Status struct {
	Instance    ident.InstanceID  `json:"instance"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Version     string            `json:"version"`
	Bundle      BundleStatus      `json:"bundle"`
	Alarms      []AlarmStatus     `json:"alarms,omitempty"`
	Entry       EntryStatus       `json:"entry"`
	Fleet       FleetStatus       `json:"fleet"`
	Platform    PlatformStatus    `json:"platform"`
	Counters    Counters          `json:"counters"`
	Traffic     TrafficStatus     `json:"traffic"`
	Process     ProcessStatus     `json:"process"`
}

// BundleStatus describes the bundle in force and the roll that selected it.
type BundleStatus struct {
	// Version is the version in force, 0 while there is none.
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// InForceSinceMS is the Unix time at which it came into force, in
	// milliseconds on this instance's clock.
	InForceSinceMS int64         `json:"in_force_since_ms,omitempty"`
	Status         ledger.Status `json:"status"`
	RollSequence   uint64        `json:"roll_sequence"`
	RollStage      string        `json:"roll_stage,omitempty"`
	// Newest is the highest signed version known, whether or not it is rolled out.
	Newest       uint64 `json:"newest"`
	MissingParts int    `json:"missing_parts,omitempty"`
}

// AlarmStatus is an active alarm.
type AlarmStatus struct {
	Type ledger.AlarmType `json:"type"`
	// Text is the full text of the alarm, Step the action that operators take.
	Text string `json:"text"`
	Step string `json:"step"`
}

// EntryStatus describes the entry on the agent's host.
type EntryStatus struct {
	// Incarnation is 0 until an entry has replied.
	Incarnation   ident.Incarnation `json:"incarnation"`
	BundleVersion uint64            `json:"bundle_version"`
	Answers       bool              `json:"answers"`
	Stopping      bool              `json:"stopping,omitempty"`
	InFlight      int               `json:"in_flight"`
}

// FleetStatus is the agent's view of the other instances and of the upstreams.
type FleetStatus struct {
	ViewVersion uint64 `json:"view_version"`
	Trusted     bool   `json:"trusted"`
	Leaving     bool   `json:"leaving,omitempty"`
	Superseded  bool   `json:"superseded,omitempty"`
	// IntervalMS is the interval between two heartbeats with one partner.
	IntervalMS int64            `json:"interval_ms"`
	Partners   int              `json:"partners"`
	Instances  []InstanceStatus `json:"instances"`
	Upstreams  []UpstreamStatus `json:"upstreams"`
}

// InstanceStatus is the agent's view of another instance.
type InstanceStatus struct {
	ID          ident.InstanceID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       string            `json:"state"`
	Leaving     bool              `json:"leaving,omitempty"`
	Reachable   bool              `json:"reachable"`
	Listed      bool              `json:"listed"`
	// AgeMS is the time since the last evidence that it was alive, -1 if there
	// was none.
	AgeMS int64 `json:"age_ms"`
}

// UpstreamStatus is the agent's view of an upstream.
type UpstreamStatus struct {
	ID          ident.UpstreamID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       string            `json:"state"`
	Leaving     bool              `json:"leaving,omitempty"`
	Listed      bool              `json:"listed"`
	// LoadAgeMS is the age of the latest load report, -1 if there is none.
	LoadAgeMS int64 `json:"load_age_ms"`
}

// PlatformStatus describes the agent's reads from the platform.
type PlatformStatus struct {
	// Watches lists the keys that this instance watches for its zone.
	Watches []string `json:"watches,omitempty"`
	// Instances and Upstreams are the indexes of the lists in use.
	Instances uint64 `json:"instances"`
	Upstreams uint64 `json:"upstreams"`
	// LastResponseAgeMS is the time since the latest response of the platform, to any
	// instance, that this instance knows of; -1 if there was none.
	LastResponseAgeMS int64 `json:"seen_age_ms"`
	// Calls counts the calls of this instance; the fields after it count calls by
	// their result.
	Calls       uint64 `json:"calls"`
	Unavailable uint64 `json:"unavailable"`
	Stale       uint64 `json:"stale"`
	RateLimited uint64 `json:"rate_limited"`
}

// Counters are the agent's event counts since its start.
type Counters struct {
	Heartbeats       uint64 `json:"heartbeats"`
	HeartbeatsFailed uint64 `json:"heartbeats_failed"`
	HeartbeatsTaken  uint64 `json:"heartbeats_taken"`
	Probes           uint64 `json:"probes"`
	FeedUpdates      uint64 `json:"feed_updates"`
	FeedFailures     uint64 `json:"feed_failures"`
	LoadPolls        uint64 `json:"load_polls"`
	LoadPollsFailed  uint64 `json:"load_polls_failed"`
	HeldReads        uint64 `json:"held_reads"`
	HeldReadsFailed  uint64 `json:"held_reads_failed"`
	Releases         uint64 `json:"releases"`
	Released         uint64 `json:"released"`
	OrderReads       uint64 `json:"order_reads"`
	Orders           uint64 `json:"orders"`
	OrdersRefused    uint64 `json:"orders_refused"`
	PartsFetched     uint64 `json:"parts_fetched"`
	PartsServed      uint64 `json:"parts_served"`
	ListsFetched     uint64 `json:"lists_fetched"`
	Refused          uint64 `json:"refused"`
	BundlesInForce   uint64 `json:"bundles_in_force"`
	Pauses           uint64 `json:"pauses"`
}

// Traffic is a number of bytes sent and received, without IP and TCP headers.
type Traffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// TrafficStatus is the agent's traffic since its start, by type of remote process.
type TrafficStatus struct {
	Peers     Traffic `json:"peers"`
	Upstreams Traffic `json:"upstreams"`
	Platform  Traffic `json:"platform"`
	// Entry is traffic over loopback, which is not part of the control budget.
	Entry Traffic `json:"entry"`
}

// ProcessStatus is the resource usage of the agent's process.
type ProcessStatus struct {
	UptimeMS int64 `json:"uptime_ms"`
	// CPUMS is the CPU time, user and system, in milliseconds.
	CPUMS int64 `json:"cpu_ms"`
	// RSSBytes is the current resident memory, PeakRSSBytes its maximum so far.
	RSSBytes     uint64 `json:"rss_bytes"`
	PeakRSSBytes uint64 `json:"peak_rss_bytes"`
	Goroutines   int    `json:"goroutines"`
}
