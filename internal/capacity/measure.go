package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// operatorName is the peer identity used for status calls to the agents.
const operatorName = "capacity"

// Timeouts and the polling interval of a measurement.
const (
	inForceTimeout = 60 * time.Second
	statusTimeout  = 10 * time.Second
	pollInterval   = 5 * time.Millisecond
)

// row holds the measurements for one fleet size. Unless noted otherwise, rates are
// means over the agents and times are maxima over all agents.
type row struct {
	agents, simulated, zones, upstreams int
	// loadAverage is the machine's one-minute load average at the end of the measurement;
	// other processes on a shared machine disturb the results.
	loadAverage float64
	// cpuMean and cpuMax are in per cent of a core, rssMean and rssMax in MB.
	cpuMean, cpuMax float64
	rssMean, rssMax float64
	// rssPeak is the highest peak RSS of any agent since its start, in MB.
	rssPeak float64
	// peers, engines, platform and feed are in bytes per second, sent plus received.
	peers, engines, platform, feed float64
	// bytesMax is the traffic of the busiest agent, excluding its feed.
	bytesMax float64
	// platformCalls is the number of platform calls per second, summed over all agents.
	platformCalls float64
	// platformCallsPeak is the most platform calls within one second, which occurs at start-up.
	platformCallsPeak int
	// heartbeatInterval is the mean heartbeat interval of a pair of agents, partners
	// the mean number of heartbeat partners of an agent.
	heartbeatInterval time.Duration
	partners          float64
	// inForce is the longest time from publishing a roll until the last entry has the
	// version, changeBytes the mean traffic of one agent for one change.
	inForce     time.Duration
	changeBytes float64
	// changeCPU is the mean processor time of one agent for one change.
	changeCPU time.Duration
}

// bytes returns the mean control traffic of an agent, in bytes per second.
func (r *row) bytes() float64 { return r.peers + r.engines + r.platform }

// NotInForceError reports a version that did not come into force within inForceLimit.
type NotInForceError struct {
	Version uint64
	Entries int
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force on %d entries after %v", e.Version, e.Entries, inForceTimeout)
}

// measure runs a fleet of n agents and returns its measurements.
func measure(ctx context.Context, o *options, n int) (row, error) {
	b, err := newFleet(o, n)
	defer b.close()
	if err != nil {
		return row{}, err
	}
	pool := peer.NewPool(peer.Config{
		Self:   peer.Identity{Instance: operatorName, Incarnation: ident.NewIncarnation(time.Now()), Zone: "operators"},
		Allow:  func(peer.Identity) bool { return true },
		Limits: peer.Limits{Frame: 16 << 20},
	})
	defer pool.Close()
	if _, err := b.awaitInForce(ctx, time.Now()); err != nil {
		return row{}, err
	}
	if err := sleep(ctx, o.Warmup); err != nil {
		return row{}, err
	}
	before, err := b.statuses(ctx, pool)
	if err != nil {
		return row{}, err
	}
	calls := b.platform.Judge().Calls
	if err := sleep(ctx, o.Duration); err != nil {
		return row{}, err
	}
	after, err := b.statuses(ctx, pool)
	if err != nil {
		return row{}, err
	}
	r := summary(o, before, after)
	r.upstreams = len(b.upstreams)
	r.loadAverage = loadAverage()
	r.platformCallsPeak = b.platform.Judge().PeakPerSecond
	r.platformCalls = float64(b.platform.Judge().Calls-calls) / elapsedSeconds(before[0], after[0])
	return r, b.measureChanges(ctx, pool, &r)
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitInForce waits until all entries have the version published last. It returns the time
// from since to the last arrival.
func (b *fleet) awaitInForce(ctx context.Context, since time.Time) (time.Duration, error) {
	version := b.publisher.version()
	deadline := time.Now().Add(inForceTimeout)
	for {
		missing, last := 0, since
		for _, x := range b.nodes {
			at, ok := x.entry.arrival(version)
			if !ok {
				missing++
			}
			if at.After(last) {
				last = at
			}
		}
		if missing == 0 {
			return last.Sub(since), nil
		}
		if time.Now().After(deadline) {
			return 0, &NotInForceError{Version: version, Entries: missing}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// statuses returns the status of every agent, in the order of b.nodes.
func (b *fleet) statuses(ctx context.Context, pool *peer.Pool) ([]wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := make([]wire.Status, len(b.nodes))
	for i, x := range b.nodes {
		s, err := peer.Call[wire.Status](ctx, pool, x.operatorAddress, wire.MethodStatus, wire.Empty{})
		if err != nil {
			return nil, err
		}
		out[i] = s
	}
	return out, nil
}

// elapsedSeconds returns the time between two statuses of an agent.
func elapsedSeconds(before, after wire.Status) float64 {
	return float64(after.Process.UptimeMS-before.Process.UptimeMS) / 1000
}

// totalBytes returns the bytes sent plus the bytes received.
func totalBytes(t wire.Traffic) float64 { return float64(t.Sent + t.Received) }

// summary computes rates from the agents' statuses before and after an interval.
func summary(o *options, before, after []wire.Status) row {
	r := row{agents: len(after), simulated: o.Simulated, zones: o.Zones}
	n := float64(len(after))
	for i := range after {
		a, z := &before[i], &after[i]
		s := elapsedSeconds(*a, *z)
		cpu := float64(z.Process.CPUMS-a.Process.CPUMS) / 10 / s
		r.cpuMean += cpu / n
		r.cpuMax = max(r.cpuMax, cpu)
		rss := float64(z.Process.RSSBytes) / (1 << 20)
		r.rssMean += rss / n
		r.rssMax = max(r.rssMax, rss)
		r.rssPeak = max(r.rssPeak, float64(z.Process.PeakRSSBytes)/(1<<20))
		peers := (totalBytes(z.Traffic.Peers) - totalBytes(a.Traffic.Peers)) / s
		engines := (totalBytes(z.Traffic.Upstreams) - totalBytes(a.Traffic.Upstreams)) / s
		platform := (totalBytes(z.Traffic.Platform) - totalBytes(a.Traffic.Platform)) / s
		r.peers += peers / n
		r.engines += engines / n
		r.platform += platform / n
		r.bytesMax = max(r.bytesMax, peers+engines+platform)
		r.feed += (totalBytes(z.Traffic.Entry) - totalBytes(a.Traffic.Entry)) / s / n
		r.heartbeatInterval += time.Duration(z.Fleet.IntervalMS) * time.Millisecond / time.Duration(n)
		r.partners += float64(z.Fleet.Partners) / n
	}
	return r
}

// loadAverage returns the machine's one-minute load average, or 0 if it can't be read.
func loadAverage() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	text, _, _ := strings.Cut(string(b), " ")
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return load
}

// settleTime is the wait after a change for its remaining traffic to be counted.
const settleTime = 3 * time.Second

// measureChanges rolls out bundle versions. It measures how long they take to come into
// force and their cost above the idle cost of an agent.
func (b *fleet) measureChanges(ctx context.Context, pool *peer.Pool, r *row) error {
	if b.options.Changes == 0 {
		return nil
	}
	before, err := b.statuses(ctx, pool)
	if err != nil {
		return err
	}
	for range b.options.Changes {
		since := time.Now()
		if err := b.publisher.publish(); err != nil {
			return err
		}
		took, err := b.awaitInForce(ctx, since)
		if err != nil {
			return err
		}
		r.inForce = max(r.inForce, took)
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	after, err := b.statuses(ctx, pool)
	if err != nil {
		return err
	}
	c := summary(b.options, before, after)
	r.rssPeak = c.rssPeak
	extra := (c.cpuMean - r.cpuMean) / 100 * elapsedSeconds(before[0], after[0]) / float64(b.options.Changes)
	r.changeCPU = time.Duration(extra * float64(time.Second))
	r.changeBytes = (c.bytes() - r.bytes()) * elapsedSeconds(before[0], after[0]) / float64(b.options.Changes)
	return nil
}
