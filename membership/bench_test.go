package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// zoneSizes holds the zone sizes of fleets by number of instances: 8 is the
// current deployment, 410 the size expected in two years.
var zoneSizes = map[int][]int{
	8:   {3, 3, 2},
	24:  {8, 8, 8},
	48:  {16, 16, 16},
	410: {69, 69, 68, 68, 68, 68},
}

// Upstreams of each zone: in the current deployment, and with 410 instances,
// 600 in all.
const (
	upstreamsToday   = 4
	upstreamsPerZone = 100
)

// addUpstreams adds upstreams to each zone and lists them to every node.
func (f *fleet) addUpstreams(zones, perZone int) {
	var list []ListedUpstream
	for z := range zones {
		for i := range perZone {
			list = append(list, ListedUpstream{
				ID: ident.UpstreamID(fmt.Sprintf("up-%c%d", 'a'+z, i)), Zone: ident.Zone(fmt.Sprintf("hall-%c", 'a'+z)), Incarnation: 1,
			})
		}
	}
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 1, list)
	}
}

// reportLoads has every node report the load of the upstreams that it polls.
func (f *fleet) reportLoads(seq uint32) {
	for _, n := range f.nodes {
		for _, id := range n.machine.PolledUpstreams(f.now) {
			n.machine.UpstreamReport(f.now, f.now, id, Report{Incarnation: 1, Sequence: seq, Running: int(seq % 20), Slots: 20, PiecesUsed: 100})
		}
	}
}

// quantile returns the q quantile of d, which it sorts.
func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// BenchmarkFleet simulates whole fleets for 40 s of virtual time after 2
// minutes of warm-up, with each upstream's load read every 2 s. Per node it
// reports the bytes per second of all heartbeats sent and received, the size of
// a heartbeat, CPU time, and the age of the information held.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 24, 48, 410} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, Config{}, zoneSizes[size])
			}
		})
	}
}

// BenchmarkFanout compares fanouts in two zones of 69 instances.
func BenchmarkFanout(b *testing.B) {
	for _, fanout := range []int{3, 4, 5} {
		b.Run(fmt.Sprintf("fanout=%d", fanout), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, Config{Fanout: fanout}, zoneSizes[410][:2])
			}
		})
	}
}

// BenchmarkAllToAll compares partial and all-to-all exchange in zones of 12.
func BenchmarkAllToAll(b *testing.B) {
	for _, limit := range []int{6, 12} {
		b.Run(fmt.Sprintf("alltoall=%d", limit), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, Config{AllToAll: limit}, []int{12, 12, 12})
			}
		})
	}
}

// benchmarkFleet simulates one fleet and reports its metrics.
func benchmarkFleet(b *testing.B, cfg Config, sizes []int) {
	f := newFleet(b, cfg, sizes...)
	perZone := upstreamsPerZone
	if len(f.nodes) == 8 {
		perZone = upstreamsToday
	}
	f.addUpstreams(len(sizes), perZone)
	f.step = 100 * time.Millisecond
	f.run(2 * time.Minute)
	f.reset()
	const seconds = 40
	begin := time.Now()
	for s := range seconds {
		if s%2 == 0 {
			f.reportLoads(uint32(s + 1))
		}
		f.run(time.Second)
	}
	cpu := time.Since(begin)
	nodes := float64(len(f.nodes))
	b.ReportMetric(float64(f.bytes())/nodes/seconds, "B/s/node")
	b.ReportMetric(float64(f.maxBytes())/seconds, "B/s/busiest")
	b.ReportMetric(float64(f.bytes())/float64(f.frames()), "B/frame")
	b.ReportMetric(float64(cpu.Microseconds())/nodes/seconds, "us/s/node")
	own, remote, loads := f.ages()
	b.ReportMetric(quantile(own, 0.99).Seconds(), "s-own-p99")
	b.ReportMetric(quantile(remote, 0.99).Seconds(), "s-remote-p99")
	b.ReportMetric(quantile(loads, 0.5).Seconds(), "s-load-p50")
	b.ReportMetric(quantile(loads, 0.99).Seconds(), "s-load-p99")
	b.ReportMetric(f.nodes[0].machine.Interval().Seconds(), "s-interval")
	b.ReportMetric(f.notAlive(), "not-alive")
	leaver := f.nodes[0]
	leaver.machine.Leave(f.now)
	f.reset()
	took := f.runUntil(time.Minute, func() bool { return f.allOthers(leaver, func(x Instance) bool { return x.Leaving }) })
	b.ReportMetric(took.Seconds(), "s-leaving")
	b.ReportMetric(float64(f.bytes())/nodes, "B-leaving")
}

// reset clears the counters of all nodes.
func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.frames, n.bytes = 0, 0
	}
}

// bytes, maxBytes and frames aggregate the counters of all nodes.
func (f *fleet) bytes() (sum int) {
	for _, n := range f.nodes {
		sum += n.bytes
	}
	return sum
}

func (f *fleet) maxBytes() (most int) {
	for _, n := range f.nodes {
		most = max(most, n.bytes)
	}
	return most
}

func (f *fleet) frames() (sum int) {
	for _, n := range f.nodes {
		sum += n.frames
	}
	return sum
}

// ages returns the ages of the information about instances of the own zone, of
// other zones and about the own zone's upstream loads, on a sample of at most
// 40 nodes.
func (f *fleet) ages() (own, remote, loads []time.Duration) {
	for i := 0; i < len(f.nodes); i += 1 + len(f.nodes)/40 {
		n := f.nodes[i]
		v := n.machine.View(f.now)
		for _, x := range v.Instances {
			if x.Zone == n.zone {
				own = append(own, x.Age)
			} else {
				remote = append(remote, x.Age)
			}
		}
		for _, u := range v.Upstreams {
			if u.Zone == n.zone {
				loads = append(loads, u.ReportAge)
			}
		}
	}
	return own, remote, loads
}

// notAlive returns the average number of instances per node that the node
// wrongly considers not alive.
func (f *fleet) notAlive() float64 {
	wrong := 0
	for _, n := range f.nodes {
		for _, x := range n.machine.View(f.now).Instances {
			if x.State != Alive {
				wrong++
			}
		}
	}
	return float64(wrong) / float64(len(f.nodes))
}

// BenchmarkView measures building a view of 409 instances and 600 upstreams.
func BenchmarkView(b *testing.B) {
	m := newLargeMachine()
	b.ReportAllocs()
	for b.Loop() {
		m.View(start.Add(time.Second))
	}
}

// BenchmarkHeartbeat measures composing a heartbeat and processing the answer
// to it.
func BenchmarkHeartbeat(b *testing.B) {
	m, peer := newLargeMachine(), newLargeMachine()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		answer := peer.Heartbeat(now, "entry-a2")
		m.Heartbeat(now, "entry-a1")
		assert.NilError(b, m.HeartbeatAnswered(now, now, "entry-a1", answer))
	}
}

// newLargeMachine returns a machine that knows 409 instances and 600 upstreams.
func newLargeMachine() *Machine {
	m := New(Self{Instance: "entry-a0", Zone: "hall-a"}, Config{}, start)
	m.SetSelf(start, SelfState{Incarnation: 1000})
	var list []ListedInstance
	for z, size := range zoneSizes[410] {
		for i := range size {
			list = append(list, ListedInstance{ID: ident.InstanceID(fmt.Sprintf("entry-%c%d", 'a'+z, i)), Zone: ident.Zone(fmt.Sprintf("hall-%c", 'a'+z)), Incarnation: 1000})
		}
	}
	m.ApplyInstanceList(start, start, 1, list)
	f := fleet{now: start, nodes: []*node{{machine: m}}}
	f.addUpstreams(len(zoneSizes[410]), upstreamsPerZone)
	for _, u := range m.sortedUpstreams {
		m.UpstreamReport(start, start, u.id, Report{Incarnation: 1, Sequence: 1})
	}
	return m
}
