package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
)

// quarantineCmd is the subcommand "quarantine".
type quarantineCmd struct {
	instanceFlags `embed:""`
}

// Help returns the text that "quarantine --help" adds.
func (quarantineCmd) Help() string {
	return `Shows the requests, by their content or by a part of their prompts, that are kept from
upstreams because upstreams crashed under them, or are tried one at a time: how many
crashed, under how many of them the request had produced nothing yet, which, how much
longer it lasts, and how many of the instances asked know of it. Log lines name the same
content, and as part_hash the same part.

  wardspoolctl quarantine --instances 127.0.0.1:9401,127.0.0.1:9402

Exit codes: 0, or 2 if an instance gave no answer.`
}

// quarantinedContent is the status of a content or part and the number of instances that reported it.
type quarantinedContent struct {
	quarantine.ContentStatus
	KnownBy int `json:"known_by"`
}

// quarantineReport is the combined result of all instances.
type quarantineReport struct {
	Contents    []quarantinedContent `json:"contents"`
	Asked       int                  `json:"asked"`
	Unreachable []string             `json:"unreached"`
}

// Run queries the instances and prints the combined result.
func (c *quarantineCmd) Run(ctx context.Context) error {
	a := c.collect(ctx)
	return c.print(a, a.Unreachable)
}

// collect queries the instances. For each content, it takes the status of the instance that counted
// most crashes.
func (c *quarantineCmd) collect(ctx context.Context) *quarantineReport {
	a := &quarantineReport{Asked: len(c.Instances), Contents: []quarantinedContent{}}
	known := map[string]*quarantinedContent{}
	a.Unreachable = queryInstances(ctx, &c.instanceFlags, "/quarantine", func(contents []quarantine.ContentStatus) {
		for _, h := range contents {
			k := known[h.Content]
			if k == nil || h.Crashes > k.Crashes {
				k = &quarantinedContent{ContentStatus: h, KnownBy: knownBy(k)}
				known[h.Content] = k
			}
			k.KnownBy++
		}
	})
	for _, k := range known {
		a.Contents = append(a.Contents, *k)
	}
	slices.SortFunc(a.Contents, func(x, y quarantinedContent) int {
		return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(x.Content, y.Content))
	})
	return a
}

// knownBy returns the number of instances that reported a content, 0 if k is nil.
func knownBy(k *quarantinedContent) int {
	if k == nil {
		return 0
	}
	return k.KnownBy
}

// Write implements report.
func (a *quarantineReport) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tHASH\tSTANDING\tCRASHES\tEARLY\tLEFT\tKNOWN BY\tUPSTREAMS")
	for _, c := range a.Contents {
		left := "-"
		if c.RemainingSeconds > 0 {
			left = time.Duration(c.RemainingSeconds * float64(time.Second)).Round(time.Second).String()
		}
		kind := "content"
		if c.Part {
			kind = "part"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d of %d\t%s\n", kind, c.Content, c.Standing, c.Crashes, c.Early, left, c.KnownBy, a.Asked, joinIDs(c.Upstreams))
	}
	writeUnreachable(w, a.Unreachable)
	return w.Flush()
}

// joinIDs returns the upstream IDs separated by spaces.
func joinIDs(ids []ident.UpstreamID) string {
	var names []string
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}
