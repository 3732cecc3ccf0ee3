// Package feed defines the messages that an agent and the entry on the same host
// exchange over jsonrpc2 on loopback. The agent calls MethodUpdate on every change,
// and at least once per heartbeat interval; the entry's reply carries the evidence
// that it has collected since the last call. If the agent dies, the entry
// continues with the last view that it received.
package feed

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// MethodUpdate is the jsonrpc2 method with which an agent updates its entry. It
// takes an Update and returns a Reply.
const MethodUpdate = "feed.update"

// Update holds the changes since the last call. Absent parts are unchanged.
type Update struct {
	// Agent and Incarnation identify the calling agent process. A new incarnation
	// must send all parts once.
	Agent       ident.InstanceID  `json:"agent"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Bundle      *Bundle           `json:"bundle,omitempty"`
	View        *View             `json:"view,omitempty"`
	// Ready is true once the agent knows the version floor, below which no bundle
	// may be in force. An entry is not ready before that.
	Ready bool `json:"ready"`
	// PauseMS is the length of a pause that the agent detected in its own
	// execution, 0 if there was none.
	PauseMS int64 `json:"pause_ms,omitempty"`
}

// Bundle is the version in force on this instance, with its content in full or as
// changes. An agent sends changes only to an entry whose last Reply named their
// base.
type Bundle struct {
	Version uint64          `json:"version"`
	Digest  string          `json:"digest"`
	Content *config.Content `json:"content,omitempty"`
	Changes *Changes        `json:"changes,omitempty"`
}

// View is the agent's view of the fleet, in full or as changes. Ages are relative
// to the time at which the update is sent, so that the two processes need no common
// clock.
type View struct {
	Version uint64 `json:"version"`
	// Number is the sequence number of the view, from 1. Base is 0 in a full view.
	// In a view of changes it is the Number of the view that the changes apply to:
	// Instances and Upstreams then hold only entries that differ from it; all
	// others are unchanged and their ages continue to increase. An agent sends
	// changes only to an entry whose last Reply named the base.
	Number    uint64     `json:"number,omitempty"`
	Base      uint64     `json:"base,omitempty"`
	Trusted   bool       `json:"trusted"`
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// Instance is the state of one entry instance.
type Instance struct {
	ID          ident.InstanceID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Liveness    kernel.Liveness   `json:"life"`
	// PeerAddress is the address on which its entry accepts jsonrpc2 calls from
	// peers, "IP:port".
	PeerAddress string `json:"peer_address"`
}

// Upstream is the state of one upstream.
type Upstream struct {
	ID          ident.UpstreamID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Address     string            `json:"address"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Liveness    kernel.Liveness   `json:"life"`
	// SoftwareVersion is the version of the incarnation's software, "" if it is
	// not known or the agent is of a release that does not state it.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Load is the latest load report, absent if none is known. LoadAgeMS is its
	// age.
	Load      *kernel.Load `json:"load,omitempty"`
	LoadAgeMS int64        `json:"load_age_ms"`
}

// Reply is the entry's reply to an Update.
type Reply struct {
	// Incarnation identifies the entry process. The agent must send all parts again
	// to a new one.
	Incarnation ident.Incarnation `json:"incarnation"`
	// BundleVersion is the version that the entry uses for its decisions.
	BundleVersion uint64 `json:"bundle_version"`
	// Rejected is a version above BundleVersion that the entry received and cannot
	// use, nil if there is none.
	Rejected *Rejection `json:"rejected,omitempty"`
	// Base is the digest of the bundle whose content the entry keeps as the base of
	// changes, "" if it has none or is of a release that accepts only full
	// contents.
	Base string `json:"base,omitempty"`
	// View is the Number of the view that the entry has, 0 if it has none or is of
	// a release that accepts only full views.
	View     uint64     `json:"view,omitempty"`
	Stopping bool       `json:"stopping"`
	InFlight int        `json:"in_flight"`
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Rejection is the reason why an entry cannot use a bundle version: its binary
// lacks a plug-in that the version names, or the plug-in rejects its settings.
type Rejection struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// EvidenceKind classifies an entry's observation of an upstream or a peer.
type EvidenceKind string

// The kinds of evidence.
const (
	EvidenceSucceeded EvidenceKind = "succeeded"
	EvidenceRefused   EvidenceKind = "connection_refused"
	EvidenceTimeout   EvidenceKind = "timeout"
	// EvidenceBroken is a connection that was closed without a response, or on which
	// nothing was received for too long. It is not proof of a failure by itself.
	EvidenceBroken   EvidenceKind = "broken"
	EvidenceDraining EvidenceKind = "draining"
	EvidenceLoad     EvidenceKind = "load"
)

// Evidence is one observation from live traffic, the latest of its kind for an
// upstream or peer.
type Evidence struct {
	Kind     EvidenceKind     `json:"kind"`
	Upstream ident.UpstreamID `json:"upstream,omitempty"`
	Peer     ident.InstanceID `json:"peer,omitempty"`
	AgeMS    int64            `json:"age_ms"`
	Load     *kernel.Load     `json:"load,omitempty"`
}

// Age converts a duration to the milliseconds used on the wire.
func Age(d time.Duration) int64 { return d.Milliseconds() }
