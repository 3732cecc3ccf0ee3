package console

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/entry/stats"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/inquiry"
	"github.com/wardspool/wardspool/peer"
)

// InForce is the number of instances that use a bundle version for their
// decisions.
type InForce struct {
	Version   uint64 `json:"version"`
	Instances int    `json:"instances"`
}

// Snapshot is the sum of the statistics of all instances at one time.
type Snapshot struct {
	At       time.Time `json:"at"`
	InFlight int       `json:"in_flight"`
	InForce  []InForce `json:"in_force"`
	// Versions holds the statistics per bundle version since the start of the
	// observed instances.
	Versions    []stats.Version       `json:"versions"`
	Unreachable []inquiry.Unreachable `json:"unreached,omitempty"`
}

// Watcher takes snapshots of a set of instances. It keeps the counts of processes
// that no longer run, so that totals do not decrease when one is replaced.
type Watcher struct {
	pool      *peer.Pool
	addresses []string
	// latest holds the latest counts of each incarnation of each instance.
	latest map[incarnationKey][]stats.Version
}

// incarnationKey identifies one incarnation of one instance.
type incarnationKey struct {
	instance    ident.InstanceID
	incarnation ident.Incarnation
}

// NewWatcher returns a watcher of the instances at the given operators' addresses.
func NewWatcher(pool *peer.Pool, addresses []string) *Watcher {
	return &Watcher{pool: pool, addresses: addresses, latest: map[incarnationKey][]stats.Version{}}
}

// Query requests the statistics of all instances and returns their sum.
func (w *Watcher) Query(ctx context.Context, now time.Time) Snapshot {
	replies, unreachable := inquiry.CallAll[peering.StatsReply](ctx, w.pool, w.addresses, peering.MethodStats, peering.Empty{})
	s := Snapshot{At: now, Unreachable: unreachable}
	inForce := map[uint64]int{}
	for _, r := range replies {
		s.InFlight += r.InFlight
		inForce[r.BundleVersion]++
		w.latest[incarnationKey{r.Instance, r.Incarnation}] = r.Versions
	}
	for version, n := range inForce {
		s.InForce = append(s.InForce, InForce{Version: version, Instances: n})
	}
	slices.SortFunc(s.InForce, func(a, b InForce) int { return cmp.Compare(a.Version, b.Version) })
	all := make([][]stats.Version, 0, len(w.latest))
	for _, v := range w.latest {
		all = append(all, v)
	}
	s.Versions = stats.Sum(all...)
	return s
}

// Write writes the snapshot as tables.
func (s *Snapshot) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s  in flight %d", s.At.Format(time.TimeOnly), s.InFlight)
	for _, f := range s.InForce {
		fmt.Fprintf(w, "  bundle %d on %d", f.Version, f.Instances)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BUNDLE\tKIND\tOFFERED\tON TIME\tGOODPUT\tLATE\tNOT RUN\tUNKNOWN\tTOKENS")
	for _, v := range s.Versions {
		writeKinds(t, v)
	}
	fmt.Fprintln(t, "\nBUNDLE\tPREFILL TOKENS\tWASTED\tSHARE")
	for _, v := range s.Versions {
		fmt.Fprintf(t, "%d\t%d\t%d\t%s\n", v.Version, v.PrefillTokens, v.WastedTokens, percentage(v.WastedTokens, v.PrefillTokens))
	}
	fmt.Fprintln(t, "\nBUNDLE\tGIVEN UP\tREASON\tCOUNT\tMEANING")
	for _, v := range s.Versions {
		for _, r := range v.Refusals {
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\n", v.Version, r.Step, r.Reason, r.Count, Meaning(r.Reason))
		}
	}
	inquiry.WriteUnreachable(t, s.Unreachable)
	return t.Flush()
}

// writeKinds writes one row per kind of request.
func writeKinds(w io.Writer, v stats.Version) {
	for _, k := range v.Kinds {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\n", v.Version, k.Kind, k.Offered, k.OnTime,
			percentage(k.OnTime, k.Offered), k.Complete-k.OnTime, k.NotRun, k.Unknown, k.Tokens)
	}
}

// percentage formats part as a percentage of whole, "-" if whole is 0.
func percentage(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}
