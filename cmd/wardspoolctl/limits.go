package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/wardspool/wardspool/gateway/limit"
)

// limitsCmd is the subcommand "limits".
type limitsCmd struct {
	instanceFlags `embed:""`
}

// Help returns the text that "limits --help" adds.
func (limitsCmd) Help() string {
	return `Shows the limit of each workspace, and since the instances asked have started: what their
callers were granted of it, refused, and gave back for requests that did not run, all in the
limit's unit. LEFT is what the accounts hold that the instances asked keep, one for each
availability zone; ACCOUNTS is how many those are. Below 0, the next requests wait until
what is running is paid for.

  wardspoolctl limits --instances 127.0.0.1:9401,127.0.0.1:9402

Exit codes: 0, or 2 if an instance gave no answer.`
}

// limitRow is a workspace's limit, with its use summed over the instances queried. Accounts is the
// number of them that hold an account, and Level the sum of these accounts' levels.
type limitRow struct {
	limit.Status
	Accounts int `json:"accounts"`
}

// limitsReport is the combined result of all instances.
type limitsReport struct {
	Workspaces  []limitRow `json:"workspaces"`
	Unreachable []string   `json:"unreached"`
}

// Run queries the instances and prints the combined result.
func (c *limitsCmd) Run(ctx context.Context) error {
	a := c.collect(ctx)
	return c.print(a, a.Unreachable)
}

// collect queries the instances and adds up their figures.
func (c *limitsCmd) collect(ctx context.Context) *limitsReport {
	a := &limitsReport{Workspaces: []limitRow{}}
	rows := map[string]*limitRow{}
	a.Unreachable = queryInstances(ctx, &c.instanceFlags, "/limits", func(statuses []limit.Status) {
		for _, s := range statuses {
			if rows[s.Workspace] == nil {
				rows[s.Workspace] = &limitRow{Status: limit.Status{Workspace: s.Workspace, Rate: s.Rate, Burst: s.Burst, Unit: s.Unit}}
			}
			rows[s.Workspace].add(s)
		}
	})
	for _, r := range rows {
		a.Workspaces = append(a.Workspaces, *r)
	}
	slices.SortFunc(a.Workspaces, func(x, y limitRow) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Workspace, y.Workspace))
	})
	return a
}

// add adds the figures of one instance.
func (r *limitRow) add(s limit.Status) {
	r.Granted += s.Granted
	r.Refused += s.Refused
	r.Returned += s.Returned
	if s.Owns {
		r.Level += s.Level
		r.Accounts++
	}
}

// Write implements report.
func (a *limitsReport) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tUNIT\tRATE/S\tBURST\tLEFT\tACCOUNTS\tGRANTED\tREFUSED\tRETURNED")
	for _, r := range a.Workspaces {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%.0f\t%.0f\t%.0f\n",
			r.Workspace, r.Unit, r.Rate, r.Burst, r.Level, r.Accounts, r.Granted, r.Refused, r.Returned)
	}
	writeUnreachable(w, a.Unreachable)
	return w.Flush()
}
