package ledger

import "github.com/wardspool/wardspool/bundle"

// SourceKind says what kind of thing told the ledger something.
type SourceKind string

// The kinds of source.
const (
	// SourcePlatform is the platform's configuration service. It may be stale.
	SourcePlatform SourceKind = "platform"
	// SourcePeer is another instance.
	SourcePeer SourceKind = "peer"
	// SourceUpstream is an upstream that checks fencing numbers.
	SourceUpstream SourceKind = "upstream"
	// SourcePreload is what the instance was given with its settings.
	SourcePreload SourceKind = "preload"
)

// Source names who told the ledger something. Name is empty for the platform
// and the preload.
type Source struct {
	Kind SourceKind
	Name string
}

// String renders the source as "kind" or "kind name".
func (s Source) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + " " + s.Name
}

// Event is something that happened to the instance. The documents in events must
// be as bundle.DecodeHead and bundle.DecodeRoll returned them; the ledger keeps
// them and does not change them.
type Event interface{ apply(*Ledger) }

// HeadSeen reports a bundle head that a source gave.
type HeadSeen struct {
	From Source
	Head *bundle.Head
}

// RollSeen reports a roll that a source gave.
type RollSeen struct {
	From Source
	Roll *bundle.SignedRoll
}

// PartsSeen reports parts that a source gave.
type PartsSeen struct {
	From  Source
	Parts []bundle.Part
}

// Garbled reports bytes from a source that could not be decoded.
type Garbled struct {
	From Source
	// Document is what the bytes should have been.
	Document Document
	Err      error
}

// Document is a kind of document that a source gives.
type Document string

// The kinds of document.
const (
	DocumentRoll Document = "roll"
	DocumentHead Document = "head"
	DocumentPart Document = "part"
)

// Roster says whom a starting instance must ask for the floor, and whose answers
// count. It replaces the roster before. It should name every live peer of the
// instance's own zone, a few of each other zone, and the zone's upstreams that
// check fencing numbers.
type Roster struct{ Sources []Source }

// FloorReport is a source's answer to AskFloor.
type FloorReport struct {
	From Source
	// Round repeats that of the question. A report of an earlier round, which
	// may have waited while the process was paused, does not count.
	Round uint64
	// Ready says that a peer is ready; it is ignored from other sources.
	Ready bool
	// InForce is the bundle in force on a peer, zero if there is none.
	InForce bundle.Ref
	// Roll is the newest roll that a peer or the platform has, nil if none.
	Roll *bundle.SignedRoll
	// Fence is the highest fencing number that an upstream has seen. Fencing
	// numbers are bundle versions.
	Fence uint64
}

// Unreachable reports that a source did not answer. The ledger asks again.
type Unreachable struct{ From Source }

// EntryDecides reports under which version the instance's entry decides, and which
// higher one it cannot run: its binary lacks a plug-in, say. Zero is none.
type EntryDecides struct {
	Version, Rejected uint64
	// Err is the entry's reason.
	Err error
}

// Announced reports a peer's Summary.
type Announced struct {
	From    Source
	Summary Summary
}

// Tick reports that time passed. The caller sends one at least every
// RetryInterval.
type Tick struct{}
