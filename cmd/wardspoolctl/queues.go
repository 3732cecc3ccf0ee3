package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/wardspool/wardspool/gateway/admission"
)

// queuesCmd is the subcommand "queues".
type queuesCmd struct {
	instanceFlags `embed:""`
}

// Help returns the text that "queues --help" adds.
func (queuesCmd) Help() string {
	return `Shows, by service and priority, the requests that wait for an engine. WAITING is the sum
of the queues of the instances asked. OTHERS is the largest number that one of them knows
to wait at all other instances, and AGE how old that is. RETURNING are refused callers
that were told to return within the next 5 s. REQUESTS/S and CORRECTION, which is added to
expected waits, are means over the instances asked. ALONE is how many of them have no
recent sums of the others and decide by their own queue. A priority of - means that
nobody waits or is expected.

  wardspoolctl queues --instances 127.0.0.1:9401,127.0.0.1:9402

Exit codes: 0, or 2 if an instance gave no answer.`
}

// queuePriority is the queue of a service at one priority.
type queuePriority struct {
	Priority int `json:"priority"`
	// Waiting is the sum of the own queues of the instances queried, Returning the sum of the callers
	// that they told to return.
	Waiting   int `json:"waiting"`
	Returning int `json:"returning"`
	// Others is the largest number of requests that an instance with recent sums knows to wait at the
	// other instances, as of OthersAgeMS milliseconds ago.
	Others      int   `json:"others"`
	OthersAgeMS int64 `json:"others_age_ms"`
}

// queueService is the state of a service's queues.
type queueService struct {
	Service string `json:"service"`
	// Instances is the number of instances that know the service, Alone how many of them have no
	// recent sums of the others.
	Instances int `json:"instances"`
	Alone     int `json:"alone"`
	// RequestRate is the rate of requests to all instances, per second: the mean of the instances that
	// have recent sums, or of all if none has. CorrectionMS is the mean correction of all.
	RequestRate  float64 `json:"request_rate"`
	CorrectionMS float64 `json:"correction_ms"`
	// Priorities holds the priorities at which requests wait or callers were told to return.
	Priorities []queuePriority `json:"priorities"`
}

// queuesReport is the combined result of all instances.
type queuesReport struct {
	Services    []queueService `json:"services"`
	Unreachable []string       `json:"unreached"`
}

// Run queries the instances and prints the combined result.
func (c *queuesCmd) Run(ctx context.Context) error {
	a := c.collect(ctx)
	return c.print(a, a.Unreachable)
}

// collect queries the instances and combines their figures.
func (c *queuesCmd) collect(ctx context.Context) *queuesReport {
	a := &queuesReport{Services: []queueService{}}
	known := map[string][]admission.Status{}
	a.Unreachable = queryInstances(ctx, &c.instanceFlags, "/queues", func(statuses []admission.Status) {
		for _, s := range statuses {
			known[s.Service] = append(known[s.Service], s)
		}
	})
	for _, statuses := range known {
		a.Services = append(a.Services, combineQueues(statuses))
	}
	slices.SortFunc(a.Services, func(x, y queueService) int { return cmp.Compare(x.Service, y.Service) })
	return a
}

// combineQueues combines what instances report about one service. There is at least one report.
func combineQueues(statuses []admission.Status) queueService {
	out := queueService{Service: statuses[0].Service, Instances: len(statuses), Priorities: []queuePriority{}}
	all, informed := 0.0, 0.0
	var priorities [admission.Priorities]queuePriority
	for _, s := range statuses {
		all += s.RequestRate
		out.CorrectionMS += float64(s.CorrectionMS) / float64(len(statuses))
		if s.Alone {
			out.Alone++
		} else {
			informed += s.RequestRate
		}
		for p := range priorities {
			priorities[p].add(&s, p)
		}
	}
	if recent := out.Instances - out.Alone; recent > 0 {
		out.RequestRate = informed / float64(recent)
	} else {
		out.RequestRate = all / float64(out.Instances)
	}
	for p, row := range priorities {
		if row != (queuePriority{}) {
			row.Priority = p
			out.Priorities = append(out.Priorities, row)
		}
	}
	return out
}

// add adds what one instance reports about a priority. Sums of an instance that receives no recent
// ones are left out.
func (q *queuePriority) add(s *admission.Status, priority int) {
	if priority < len(s.Own.Waiting) {
		q.Waiting += s.Own.Waiting[priority]
	}
	if priority < len(s.Own.Returns) {
		for _, n := range s.Own.Returns[priority] {
			q.Returning += n
		}
	}
	if s.Alone || priority >= len(s.Peers.Waiting) {
		return
	}
	if n := s.Peers.Waiting[priority]; n > q.Others {
		q.Others, q.OthersAgeMS = n, s.AgeMS
	}
}

// Write implements report.
func (a *queuesReport) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tPRIORITY\tWAITING\tOTHERS\tAGE\tRETURNING\tREQUESTS/S\tCORRECTION\tALONE")
	for _, s := range a.Services {
		for _, p := range s.Priorities {
			s.writeRow(w, strconv.Itoa(p.Priority), p)
		}
		if len(s.Priorities) == 0 {
			s.writeRow(w, "-", queuePriority{})
		}
	}
	writeUnreachable(w, a.Unreachable)
	return w.Flush()
}

// writeRow writes the row of one priority.
func (s *queueService) writeRow(w io.Writer, priority string, p queuePriority) {
	age := "-"
	if p.Others > 0 {
		age = (time.Duration(p.OthersAgeMS) * time.Millisecond).String()
	}
	correction := time.Duration(s.CorrectionMS * float64(time.Millisecond)).Round(time.Millisecond)
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%.1f\t%s\t%d of %d\n",
		s.Service, priority, p.Waiting, p.Others, age, p.Returning, s.RequestRate, correction, s.Alone, s.Instances)
}
