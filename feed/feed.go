// Package feed defines what an agent and the entry beside it exchange over
// jsonrpc2 on loopback. The agent calls MethodUpdate whenever something changed,
// and at least once per heartbeat interval; the entry's reply carries the
// evidence it has gathered since the last call. When the agent dies, the entry
// goes on with its last view.
package feed

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// MethodUpdate is the jsonrpc2 method by which an agent feeds its entry: the
// parameters are an Update, the result a Reply.
const MethodUpdate = "feed.update"

// Update is what changed since the last call. Absent parts are unchanged.
type Update struct {
	// Agent and Incarnation identify the calling agent's life. A new
	// incarnation must send everything once.
	Agent       ident.InstanceID  `json:"agent"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Bundle      *Bundle           `json:"bundle,omitempty"`
	View        *View             `json:"view,omitempty"`
	// Ready is true once the agent knows the floor below which no bundle may be
	// in force; an entry is not ready before.
	Ready bool `json:"ready"`
	// PauseMS is the length of a pause the agent noticed in itself, 0 if none.
	PauseMS int64 `json:"pause_ms,omitempty"`
}

// Bundle is the version in force on this instance: its content, or what changed in
// it. An agent sends changes only to an entry whose last Reply named their base.
type Bundle struct {
	Version uint64          `json:"version"`
	Digest  string          `json:"digest"`
	Content *config.Content `json:"content,omitempty"`
	Changes *Changes        `json:"changes,omitempty"`
}

// View is the agent's view of the fleet, or what changed in it. Ages are relative
// to the sending of the update, so that the two processes need no common clock.
type View struct {
	Version uint64 `json:"version"`
	// Number counts the views that an agent sends, from 1. Base is 0 in a whole
	// view. In one of changes it is the Number of the view that they belong on:
	// Instances and Upstreams are then those that differ from it, all others
	// are as they were and their ages go on. An agent sends changes only to an
	// entry whose last Reply named the base.
	Number    uint64     `json:"number,omitempty"`
	Base      uint64     `json:"base,omitempty"`
	Trusted   bool       `json:"trusted"`
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// Instance is one entry instance.
type Instance struct {
	ID          ident.InstanceID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Life        kernel.Liveness   `json:"life"`
	// PeerAddress is where its entry takes jsonrpc2 from peers, "IP:port".
	PeerAddress string `json:"peer_address"`
}

// Upstream is one back end.
type Upstream struct {
	ID          ident.UpstreamID  `json:"id"`
	Zone        ident.Zone        `json:"zone"`
	Address     string            `json:"address"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Life        kernel.Liveness   `json:"life"`
	// Load is absent when no report is known; LoadAgeMS is its age.
	Load      *kernel.Load `json:"load,omitempty"`
	LoadAgeMS int64        `json:"load_age_ms"`
}

// Reply is the entry's answer to an Update.
type Reply struct {
	// Incarnation identifies the entry's life; a new one must be sent
	// everything again.
	Incarnation ident.Incarnation `json:"incarnation"`
	// BundleVersion is the version the entry decides under.
	BundleVersion uint64 `json:"bundle_version"`
	// Rejected is a version above BundleVersion that the entry was given and cannot
	// decide under, nil if there is none.
	Rejected *Rejection `json:"rejected,omitempty"`
	// Base is the digest of the bundle whose content the entry holds for changes,
	// "" if it has none or is of a release that takes whole contents only.
	Base string `json:"base,omitempty"`
	// View is the Number of the view that the entry holds, 0 if it has none or
	// is of a release that takes whole views only.
	View     uint64     `json:"view,omitempty"`
	Stopping bool       `json:"stopping"`
	InFlight int        `json:"in_flight"`
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Rejection says why an entry does not take a bundle version: its binary lacks a
// plug-in that the version names, or the plug-in refuses its settings.
type Rejection struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// EvidenceKind classifies what an entry saw of an upstream or a peer.
type EvidenceKind string

// The kinds of evidence.
const (
	EvidenceSucceeded EvidenceKind = "succeeded"
	EvidenceRefused   EvidenceKind = "connection_refused"
	EvidenceTimeout   EvidenceKind = "timeout"
	// EvidenceBroken is a connection that ended without an answer, or on which
	// nothing came for too long. It proves nothing by itself.
	EvidenceBroken   EvidenceKind = "broken"
	EvidenceDraining EvidenceKind = "draining"
	EvidenceLoad     EvidenceKind = "load"
)

// Evidence is one observation from live traffic, newest per upstream or peer
// and kind.
type Evidence struct {
	Kind     EvidenceKind     `json:"kind"`
	Upstream ident.UpstreamID `json:"upstream,omitempty"`
	Peer     ident.InstanceID `json:"peer,omitempty"`
	AgeMS    int64            `json:"age_ms"`
	Load     *kernel.Load     `json:"load,omitempty"`
}

// Age converts a duration to the milliseconds used on the wire.
func Age(d time.Duration) int64 { return d.Milliseconds() }
