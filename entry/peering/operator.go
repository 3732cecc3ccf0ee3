package peering

import (
	"context"

	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/entry/stats"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// Methods for operators' tools.
const (
	// MethodExplain returns the decision records of a request.
	MethodExplain = "entry.explain"
	// MethodStats returns the numbers of requests by outcome, for each bundle version.
	MethodStats = "entry.stats"
)

// ExplainRequest is the parameter of MethodExplain.
type ExplainRequest struct {
	Request ident.RequestID `json:"request"`
}

// ExplainReply is the result of MethodExplain. Records and Presentations are empty if
// the instance never saw the request or no longer has its records.
type ExplainReply struct {
	Instance ident.InstanceID `json:"instance"`
	Zone     ident.Zone       `json:"zone"`
	Records  []kernel.Record  `json:"records"`
	// Presentations lists the calls by which the request reached this instance with a
	// ticket. The records of the run carry the run's ID instead of the request's.
	Presentations []journal.Presentation `json:"presentations,omitempty"`
}

// StatsReply is the result of MethodStats.
type StatsReply struct {
	Instance ident.InstanceID `json:"instance"`
	Zone     ident.Zone       `json:"zone"`
	// Incarnation identifies the process; counts start at 0 in each incarnation.
	Incarnation ident.Incarnation `json:"incarnation"`
	// BundleVersion is the version in force.
	BundleVersion uint64          `json:"bundle_version"`
	InFlight      int             `json:"in_flight"`
	Versions      []stats.Version `json:"versions"`
}

// Source provides the data of an entry for operators' tools.
type Source interface {
	Explain(id ident.RequestID) ExplainReply
	Stats() StatsReply
}

// HandleOperators registers the methods for operators' tools on a server.
func HandleOperators(s *peer.Server, src Source) {
	peer.Handle(s, MethodExplain, func(_ context.Context, _ peer.Identity, r ExplainRequest) (ExplainReply, error) {
		return src.Explain(r.Request), nil
	})
	peer.Handle(s, MethodStats, func(context.Context, peer.Identity, Empty) (StatsReply, error) {
		return src.Stats(), nil
	})
}
