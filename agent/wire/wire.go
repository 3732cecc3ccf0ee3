// Package wire defines what agents tell each other over jsonrpc2, besides the
// heartbeats of package membership. docs/design/agent.md gives the reasons.
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
	// MethodHeartbeat exchanges Heartbeats: one each way.
	MethodHeartbeat = membership.MethodHeartbeat
	// MethodLists takes a ListsRequest and returns Lists.
	MethodLists = "fleet.lists"
	// MethodProbe is called at entries only to learn whether they answer; they
	// need not know it.
	MethodProbe = "fleet.probe"
	// MethodRoll and MethodManifest take Nothing and return a Document: the
	// newest signed roll and the newest signed bundle head.
	MethodRoll     = "bundle.roll"
	MethodManifest = "bundle.manifest"
	// MethodParts takes a PartsRequest and returns Parts.
	MethodParts = "bundle.parts"
	// MethodFloor takes Nothing and returns a Floor.
	MethodFloor = "bundle.floor"
	// MethodInForce takes Nothing and returns an InForce.
	MethodInForce = "bundle.in_force"
	// MethodStatus takes Nothing and returns a Status.
	MethodStatus = "agent.status"
)

// Nothing is the parameter of methods that have none.
type Nothing struct{}

// Heartbeat is a heartbeat of package membership and what agents add to it.
type Heartbeat struct {
	membership.Heartbeat
	// Mark is the sender's News.Mark. Partners with equal marks know the same
	// bundles and lists.
	Mark uint64 `json:"k"`
	// News is there if the receiver's mark is another, as far as the sender
	// knows.
	News *News `json:"n,omitempty"`
	// Version is the bundle version in force on the sender, 0 if there is none.
	Version uint64 `json:"v,omitempty"`
	// PlatformAge is the time since the platform last answered an instance that
	// the sender has word of, in seconds plus one; 0 is never.
	PlatformAge int `json:"p,omitempty"`
}

// News is the newest that an agent has of what all instances should have.
type News struct {
	RollSequence uint64        `json:"roll_sequence,omitempty"`
	RollDigest   bundle.Digest `json:"roll_digest"`
	// Newest is the highest signed bundle.
	Newest bundle.Ref `json:"newest"`
	// Instances and Upstreams are the platform's indexes of its lists.
	Instances uint64 `json:"instances,omitempty"`
	Upstreams uint64 `json:"upstreams,omitempty"`
}

// Mark is a fingerprint of the news.
func (n *News) Mark() uint64 {
	h := xxhash.New()
	var b [8]byte
	for _, v := range []uint64{n.RollSequence, n.Newest.Version, n.Instances, n.Upstreams} {
		binary.BigEndian.PutUint64(b[:], v)
		// A Digest's writes never fail.
		_, _ = h.Write(b[:])
	}
	_, _ = h.Write(n.RollDigest[:])
	_, _ = h.Write(n.Newest.Digest[:])
	return h.Sum64()
}

// Summary returns the part of the news that is the ledger's.
func (n *News) Summary() ledger.Summary {
	return ledger.Summary{RollSequence: n.RollSequence, RollDigest: n.RollDigest, Newest: n.Newest}
}

// Document is a document in its canonical form; empty if there is none.
type Document struct {
	Bytes []byte `json:"bytes,omitempty"`
}

// PartsRequest asks for parts of bundles.
type PartsRequest struct {
	Digests []bundle.Digest `json:"digests"`
}

// Parts are those of the parts asked for that the sender has and that fit.
type Parts struct {
	Parts []Part `json:"parts"`
}

// Part is one part of a bundle.
type Part struct {
	Digest bundle.Digest `json:"digest"`
	Bytes  []byte        `json:"bytes"`
}

// Floor is what an instance knows of the version below which none may serve.
type Floor struct {
	// Ready says that the instance itself may serve.
	Ready   bool       `json:"ready"`
	InForce bundle.Ref `json:"in_force"`
	// Roll is its newest signed roll, empty if it has none.
	Roll []byte `json:"roll,omitempty"`
}

// InForce names the bundle version in force on an instance, 0 if there is none.
type InForce struct {
	Version uint64 `json:"version"`
}

// ListsRequest asks for the platform's lists that are newer than those of the
// given indexes.
type ListsRequest struct {
	Instances uint64 `json:"instances"`
	Upstreams uint64 `json:"upstreams"`
}

// Lists are the platform's lists, nil where the sender has none that is newer.
type Lists struct {
	Instances *List `json:"instances,omitempty"`
	Upstreams *List `json:"upstreams,omitempty"`
}

// List is one of the platform's lists.
type List struct {
	// Index is the platform's.
	Index uint64 `json:"index"`
	// AgeMS is how long ago it was read from the platform.
	AgeMS int64 `json:"age_ms"`
	// Gzip is the document, compressed.
	Gzip []byte `json:"gzip"`
}
