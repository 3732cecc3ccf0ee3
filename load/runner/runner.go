// Package runner offers a workload to running instances over HTTP as an open-loop
// load generator: requests start when they are due, regardless of the progress of
// earlier ones, and all times count from when a request was due. Its callers behave
// as callers of wardspool should: they take tickets, honour Retry-After, and try
// another instance when a connection breaks and a retry is safe.
package runner

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/load/workload"
)

// Options describes a run.
type Options struct {
	Spec *workload.Spec
	// Targets are the instances' addresses, as IP:port. Requests are distributed
	// over them round-robin, as the platform's load balancer does.
	Targets []string
	// Rate is in requests per second, over Duration.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// RunID is the prefix of every request ID.
	RunID string
	// Tickets makes callers take tickets for calls that are not repeatable.
	Tickets bool
	// Progress, if not nil, is called about once per second.
	Progress func(started, done int)
}

// runner holds the state of one run.
type runner struct {
	opts          Options
	client        *client.Client
	targetCounter atomic.Uint64
	start         time.Time

	started, done atomic.Int64
	records       chan Record
}

// recordsBuffer decouples callers from the goroutine that collects their records.
const recordsBuffer = 1024

// Run offers the workload and returns one record per request when all have ended.
// It stops offering early when the context is done.
func Run(ctx context.Context, opts Options) []Record {
	r := &runner{
		opts:    opts,
		client:  client.New(),
		start:   time.Now(),
		records: make(chan Record, recordsBuffer),
	}
	defer r.client.Close()
	stop := r.reportProgress()
	defer stop()

	collected := make(chan []Record)
	go func() {
		var all []Record
		for rec := range r.records {
			all = append(all, rec)
		}
		collected <- all
	}()
	r.offer(ctx)
	close(r.records)
	return <-collected
}

// offer starts every request when it is due and waits for all to end.
func (r *runner) offer(ctx context.Context) {
	generator := workload.NewGenerator(r.opts.Spec, r.opts.Rate, r.opts.Seed)
	var callers sync.WaitGroup
	defer callers.Wait()
	for {
		a := generator.Next()
		if a.At >= r.opts.Duration || !pause.For(ctx, time.Until(r.start.Add(a.At))) {
			return
		}
		r.started.Add(1)
		callers.Go(func() {
			c := caller{runner: r, arrival: &a, due: r.start.Add(a.At)}
			r.records <- c.run(ctx)
			r.done.Add(1)
		})
	}
}

// target returns the next instance's address, round-robin.
func (r *runner) target() string {
	n := r.targetCounter.Add(1) - 1
	return r.opts.Targets[n%uint64(len(r.opts.Targets))]
}

// requestID returns the ID of a request, which all its sendings share.
func (r *runner) requestID(a *workload.Arrival) string {
	return r.opts.RunID + "-" + strconv.Itoa(a.Number)
}

// reportProgress calls Progress every second until the returned function is
// called.
func (r *runner) reportProgress() (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for {
			select {
			case <-ticker.C:
				r.opts.Progress(int(r.started.Load()), int(r.done.Load()))
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-finished
	}
}
