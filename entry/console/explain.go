// Package console is what operators see of running entries: why a request went
// where it did, and what each bundle version does. wardspoolctl uses it.
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

// Explanation is what the instances know of a request.
type Explanation struct {
	Request ident.RequestID        `json:"request"`
	Found   []peering.ExplainReply `json:"found"`
	// Unreached lists instances whose answer is missing: the explanation may
	// lack their part.
	Unreached []inquiry.Unreached `json:"unreached,omitempty"`
}

// Explain asks the instances at the given operators' addresses for the decision
// records of a request.
func Explain(ctx context.Context, pool *peer.Pool, addresses []string, id ident.RequestID) Explanation {
	out := Explanation{Request: id}
	req := peering.ExplainRequest{Request: id}
	replies, unreached := inquiry.All[peering.ExplainReply](ctx, pool, addresses, peering.MethodExplain, req)
	out.Unreached = unreached
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
	inquiry.WriteUnreached(w, e.Unreached)
	return nil
}

// writeFound writes what one instance knows.
func (e *Explanation) writeFound(w io.Writer, f *peering.ExplainReply) error {
	for _, p := range f.Presentations {
		fmt.Fprintf(w, "request %s on %s (%s) at %s: %s\n",
			p.Request, f.Instance, f.Zone, p.Time.Format(time.RFC3339Nano), presentation(&p))
	}
	if len(f.Records) == 0 {
		return nil
	}
	first := f.Records[0]
	fmt.Fprintf(w, "request %s on %s (%s): kind %s, workspace %s, bundle version %d\n",
		first.Request, f.Instance, f.Zone, first.Kind, first.Workspace, first.BundleVersion)
	return writeRecords(w, f.Records)
}

// writeRecords writes one line a decision, and what its reason means.
func writeRecords(w io.Writer, records []kernel.Record) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AFTER\tSTEP\tREASON\tWHERE\tWHY")
	for i := range records {
		r := &records[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", round(r.Waited), r.Step, r.Reason, where(r), why(r))
	}
	return t.Flush()
}

// round makes a duration readable.
func round(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}

// where names the upstreams concerned.
func where(r *kernel.Record) string {
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

// why puts a decision's figures into words.
func why(r *kernel.Record) string {
	parts := []string{Meaning(r.Reason)}
	if r.Cost != 0 {
		parts = append(parts, fmt.Sprintf("cost %.3f", r.Cost))
	}
	for _, a := range r.RunnersUp {
		parts = append(parts, "not "+alternative(a))
	}
	if r.PredictedFirstOutput > 0 {
		parts = append(parts, "first output expected in "+round(r.PredictedFirstOutput).String())
	}
	if r.ViewAge > 0 {
		parts = append(parts, "view "+round(r.ViewAge).String()+" old")
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
		parts = append(parts, "retry after "+round(r.RetryAfter).String())
	}
	return strings.Join(parts, "; ")
}

// alternative names a placement that was not chosen.
func alternative(a kernel.Alternative) string {
	r := kernel.Record{Prefill: a.Prefill, Decode: a.Decode}
	return fmt.Sprintf("%s (%.3f)", where(&r), a.Cost)
}
