// Package console shows operators the state of running entries: the decisions
// about a request, and statistics per bundle version. wardspoolctl uses it.
package console

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/inquiry"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// Explanation holds the decision records that the instances have of a request.
type Explanation struct {
	Request ident.RequestID        `json:"request"`
	Found   []peering.ExplainReply `json:"found"`
	// Unreachable lists instances that did not reply; the explanation lacks any
	// records that they have.
	Unreachable []inquiry.Unreachable `json:"unreached,omitempty"`
}

// Explain requests the decision records of a request from the instances at the
// given operators' addresses.
func Explain(ctx context.Context, pool *peer.Pool, addresses []string, id ident.RequestID) Explanation {
	out := Explanation{Request: id}
	req := peering.ExplainRequest{Request: id}
	replies, unreachable := inquiry.CallAll[peering.ExplainReply](ctx, pool, addresses, peering.MethodExplain, req)
	out.Unreachable = unreachable
	for _, r := range replies {
		if len(r.Records) > 0 || len(r.Presentations) > 0 {
			out.Found = append(out.Found, r)
		}
	}
	slices.SortFunc(out.Found, func(a, b peering.ExplainReply) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Write writes the explanation as a table.
func (e *Explanation) Write(w io.Writer) error {
	if len(e.Found) == 0 {
		fmt.Fprintf(w, "request %s: no instance asked knows it, or it was too long ago\n", e.Request)
	}
	for i := range e.Found {
		if err := e.writeFound(w, &e.Found[i]); err != nil {
			return err
		}
	}
	inquiry.WriteUnreachable(w, e.Unreachable)
	return nil
}

// writeFound writes the records of one instance.
func (e *Explanation) writeFound(w io.Writer, f *peering.ExplainReply) error {
	for _, p := range f.Presentations {
		fmt.Fprintf(w, "request %s on %s (%s) at %s: %s\n",
			p.Request, f.Instance, f.Zone, p.Time.Format(time.RFC3339Nano), presentationText(&p))
	}
	if len(f.Records) == 0 {
		return nil
	}
	first := f.Records[0]
	fmt.Fprintf(w, "request %s on %s (%s): kind %s, workspace %s, bundle version %d\n",
		first.Request, f.Instance, f.Zone, first.Kind, first.Workspace, first.BundleVersion)
	return writeRecords(w, f.Records)
}

// writeRecords writes one row per decision, with the meaning of its reason.
func writeRecords(w io.Writer, records []kernel.Record) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AFTER\tSTEP\tREASON\tWHERE\tWHY")
	for i := range records {
		r := &records[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", roundDuration(r.Waited), r.Step, r.Reason, upstreamsText(r), reasonText(r))
	}
	return t.Flush()
}

// roundDuration rounds a duration for display: to 1 ms from one second on, else to
// 0.1 ms.
func roundDuration(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}

// upstreamsText returns the upstreams of a decision, "-" if there are none.
func upstreamsText(r *kernel.Record) string {
	switch {
	case r.Prefill != "" && r.Decode != "":
		return string(r.Prefill) + " > " + string(r.Decode)
	case r.Prefill != "":
		return string(r.Prefill)
	case r.Decode != "":
		return string(r.Decode)
	default:
		return "-"
	}
}

// reasonText describes the reason of a decision and the figures recorded with it.
func reasonText(r *kernel.Record) string {
	parts := []string{Meaning(r.Reason)}
	if r.Cost != 0 {
		parts = append(parts, fmt.Sprintf("cost %.3f", r.Cost))
	}
	for _, a := range r.RunnersUp {
		parts = append(parts, "not "+alternativeText(a))
	}
	if r.PredictedFirstOutput > 0 {
		parts = append(parts, "first output expected in "+roundDuration(r.PredictedFirstOutput).String())
	}
	if r.ViewAge > 0 {
		parts = append(parts, "view "+roundDuration(r.ViewAge).String()+" old")
	}
	if r.QueueLength > 0 {
		parts = append(parts, fmt.Sprintf("%d waiting", r.QueueLength))
	}
	if r.Offset > 0 {
		parts = append(parts, fmt.Sprintf("caller has %d tokens", r.Offset))
	}
	if r.Outcome != "" {
		parts = append(parts, "outcome "+string(r.Outcome))
	}
	if r.RetryAfter > 0 {
		parts = append(parts, "retry after "+roundDuration(r.RetryAfter).String())
	}
	return strings.Join(parts, "; ")
}

// alternativeText formats a placement that was not chosen, with its cost.
func alternativeText(a kernel.Alternative) string {
	r := kernel.Record{Prefill: a.Prefill, Decode: a.Decode}
	return fmt.Sprintf("%s (%.3f)", upstreamsText(&r), a.Cost)
}
