package ledger

import "github.com/wardspool/wardspool/bundle"

// SourceKind is the kind of a Source.
type SourceKind string

// The source kinds.
const (
	// SourcePlatform is the platform's configuration service. Its data may be stale.
	SourcePlatform SourceKind = "platform"
	// SourcePeer is another instance.
	SourcePeer SourceKind = "peer"
	// SourceUpstream is an upstream that checks fencing numbers.
	SourceUpstream SourceKind = "upstream"
	// SourcePreload is the bundle supplied with the instance's settings.
	SourcePreload SourceKind = "preload"
)

// Source identifies the origin of an event. Name is empty for the platform and
// the preload.
type Source struct {
	Kind SourceKind
	Name string
}

// String formats the source as "kind" or "kind name".
func (s Source) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + " " + s.Name
}

// Event is an input of Step. Its documents must be as returned by
// bundle.DecodeHead and bundle.DecodeRoll; the ledger retains them and does not
// modify them.
type Event interface{ apply(*Ledger) }

// HeadReceived reports a bundle head received from a source.
type HeadReceived struct {
	From Source
	Head *bundle.Head
}

// RollReceived reports a roll received from a source.
type RollReceived struct {
	From Source
	Roll *bundle.SignedRoll
}

// PartsReceived reports parts received from a source.
type PartsReceived struct {
	From  Source
	Parts []bundle.Part
}

// Undecodable reports bytes received from a source that could not be decoded.
type Undecodable struct {
	From Source
	// Document is the expected kind of document.
	Document Document
	Err      error
}

// Document is a kind of document that sources provide.
type Document string

// The document kinds.
const (
	DocumentRoll Document = "roll"
	DocumentHead Document = "head"
	DocumentPart Document = "part"
)

// SourceSet lists the sources that a starting instance must query for the floor;
// answers of other sources are ignored. It replaces the previous set and
// should list every live peer of the instance's own zone, a few of each other
// zone, and the zone's upstreams that check fencing numbers.
type SourceSet struct{ Sources []Source }

// FloorReport is a source's answer to QueryFloor.
type FloorReport struct {
	From Source
	// Round is the Round of the QueryFloor. Reports of earlier rounds are ignored,
	// since they may have been queued while the process was paused.
	Round uint64
	// Ready reports that a peer is ready; it is ignored for other sources.
	Ready bool
	// InForce is the bundle in force on a peer, zero if there is none.
	InForce bundle.Ref
	// Roll is the newest roll that a peer or the platform has, nil if none.
	Roll *bundle.SignedRoll
	// Fence is the highest fencing number that an upstream has received.
	// Fencing numbers are bundle versions.
	Fence uint64
}

// Unreachable reports that a source did not answer. The ledger queries it again.
type Unreachable struct{ From Source }

// EntryVersion reports the version that the instance's entry makes its decisions
// with, and a higher one that it cannot run, for example because its binary
// lacks a plug-in. Zero means none.
type EntryVersion struct {
	Version, Rejected uint64
	// Err is why the entry rejected the version.
	Err error
}

// SummaryReceived reports a Summary received from a peer.
type SummaryReceived struct {
	From    Source
	Summary Summary
}

// Tick reports that time has passed. The caller must send one at least every
// RetryInterval.
type Tick struct{}
