// Package wire defines the messages that agents exchange over jsonrpc2, besides
// the heartbeats of package membership. See docs/design/agent.md for the reasons.
package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/membership"
)

// Methods of agents.
const (
	// MethodHeartbeat takes a Heartbeat and returns the receiver's Heartbeat.
	MethodHeartbeat = membership.MethodHeartbeat
	// MethodLists takes a ListsRequest and returns Lists.
	MethodLists = "fleet.lists"
	// MethodProbe is called on entries only to check that they reply; an entry
	// need not implement it.
	MethodProbe = "fleet.probe"
	// MethodRoll and MethodManifest take Empty and return a Document: the
	// newest signed roll and the newest signed bundle head.
	MethodRoll     = "bundle.roll"
	MethodManifest = "bundle.manifest"
	// MethodParts takes a PartsRequest and returns Parts.
	MethodParts = "bundle.parts"
	// MethodFloor takes Empty and returns a Floor.
	MethodFloor = "bundle.floor"
	// MethodInForce takes Empty and returns an InForce.
	MethodInForce = "bundle.in_force"
	// MethodStatus takes Empty and returns a Status.
	MethodStatus = "agent.status"
)

// Empty is the parameter of methods that take no parameters.
type Empty struct{}

// Heartbeat is a heartbeat of package membership with the fields that agents add.
type Heartbeat struct {
	membership.Heartbeat
	// Fingerprint is the sender's Revisions.Fingerprint. Partners with equal
	// fingerprints have the same bundles and lists.
	Fingerprint uint64 `json:"k"`
	// Revisions is set if the receiver's fingerprint, as last known to the sender,
	// differs from Fingerprint.
	Revisions *Revisions `json:"n,omitempty"`
	// Version is the bundle version in force on the sender, 0 if there is none.
	Version uint64 `json:"v,omitempty"`
	// PlatformAge is the time since the latest response of the platform, to any
	// instance, that the sender knows of, in seconds plus one; 0 if there was
	// none.
	PlatformAge int `json:"p,omitempty"`
}

// Revisions identifies the latest versions that an agent has of the data that all
// instances should have: the roll, the bundle and the platform's lists.
type Revisions struct {
	RollSequence uint64        `json:"roll_sequence,omitempty"`
	RollDigest   bundle.Digest `json:"roll_digest"`
	// Newest is the signed bundle with the highest version.
	Newest bundle.Ref `json:"newest"`
	// Instances and Upstreams are the platform's indexes of the two lists.
	Instances uint64 `json:"instances,omitempty"`
	Upstreams uint64 `json:"upstreams,omitempty"`
}

// Fingerprint returns a hash of the revisions, for comparison with that of a partner.
func (r *Revisions) Fingerprint() uint64 {
	h := xxhash.New()
	var b [8]byte
	for _, v := range []uint64{r.RollSequence, r.Newest.Version, r.Instances, r.Upstreams} {
		binary.BigEndian.PutUint64(b[:], v)
		// Write of xxhash.Digest never returns an error.
		_, _ = h.Write(b[:])
	}
	_, _ = h.Write(r.RollDigest[:])
	_, _ = h.Write(r.Newest.Digest[:])
	return h.Sum64()
}

// Summary returns the part of the revisions that the ledger uses.
func (r *Revisions) Summary() ledger.Summary {
	return ledger.Summary{RollSequence: r.RollSequence, RollDigest: r.RollDigest, Newest: r.Newest}
}

// Document is a document in canonical form, empty if there is none.
type Document struct {
	Bytes []byte `json:"bytes,omitempty"`
}

// PartsRequest asks for parts of bundles.
type PartsRequest struct {
	Digests []bundle.Digest `json:"digests"`
}

// Parts holds the requested parts that the sender has, as many as fit in a reply.
type Parts struct {
	Parts []Part `json:"parts"`
}

// Part is one part of a bundle.
type Part struct {
	Digest bundle.Digest `json:"digest"`
	Bytes  []byte        `json:"bytes"`
}

// Floor is what an instance knows of the version floor, below which no instance
// may serve.
type Floor struct {
	// Ready reports whether the instance itself may serve.
	Ready   bool       `json:"ready"`
	InForce bundle.Ref `json:"in_force"`
	// Roll is the instance's latest signed roll, empty if it has none.
	Roll []byte `json:"roll,omitempty"`
}

// InForce is the bundle version in force on an instance, 0 if there is none.
type InForce struct {
	Version uint64 `json:"version"`
}

// ListsRequest requests the platform's lists that have higher indexes than the
// given ones.
type ListsRequest struct {
	Instances uint64 `json:"instances"`
	Upstreams uint64 `json:"upstreams"`
}

// Lists holds the platform's lists; a list is nil if the sender has no newer one.
type Lists struct {
	Instances *List `json:"instances,omitempty"`
	Upstreams *List `json:"upstreams,omitempty"`
}

// List is one of the platform's lists.
type List struct {
	// Index is the platform's index of the list.
	Index uint64 `json:"index"`
	// AgeMS is the time since the list was read from the platform.
	AgeMS int64 `json:"age_ms"`
	// Gzip is the document, compressed with gzip.
	Gzip []byte `json:"gzip"`
}
