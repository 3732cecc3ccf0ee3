package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// benchTestBed returns a test bed with 24 instances, of which the first has a load
// report for each engine. All engines but the middle one are reported full.
func benchTestBed(engines int) *testBed {
	b := newTestBed(slottest.Options{Seed: 1, Instances: 24, Engines: engines, Slots: 20, Pieces: 200}, Settings{})
	b.Run(2 * time.Second)
	for _, n := range b.Nodes[:1] {
		for i, e := range b.Engines {
			load := kernel.Load{At: b.Now(), Running: 20, Slots: 20}
			if i == engines/2 {
				load.Running = 10
			}
			n.ReceiveLoad(e.ID, load)
		}
	}
	return b
}

// BenchmarkReserve measures a reservation and its release, both at the grantor
// and at another instance, which sends an Ask and a Release.
func BenchmarkReserve(b *testing.B) {
	for _, engines := range []int{9, 100, 600} {
		bed := benchTestBed(engines)
		e := bed.Engines[engines/2]
		grantor := bed.grantor(bed.Nodes[0], e)
		b.Run(fmt.Sprintf("grantor/%d", engines), func(b *testing.B) { benchReserve(b, grantor, e) })
		holder := bed.Nodes[0]
		if holder == grantor {
			holder = bed.Nodes[1]
		}
		b.Run(fmt.Sprintf("holder/%d", engines), func(b *testing.B) { benchReserve(b, holder, e) })
	}
}

// benchReserve measures a reservation and its release at one node, which does
// not send its messages.
func benchReserve(b *testing.B, n *slottest.Node, e *slottest.Engine) {
	n.Silent = true
	defer func() { n.Silent = false }()
	request := kernel.SlotRequest{Upstream: e.ID, Pieces: 3, Lead: 300 * time.Millisecond, OutputTokens: 400}
	b.ReportAllocs()
	for b.Loop() {
		request.Reservation = n.Reservation(time.Minute)
		n.Policy.Reserve(request)
		n.Policy.Release(request.Reservation)
	}
}

// BenchmarkAvailability measures one Availability call for each of the engines,
// as the kernel makes them for each placement decision.
func BenchmarkAvailability(b *testing.B) {
	for _, engines := range []int{9, 100, 600} {
		bed := benchTestBed(engines)
		n := bed.Nodes[0]
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for i := range n.View().Upstreams {
					n.Policy.Availability(&n.View().Upstreams[i])
				}
			}
		})
	}
}

// BenchmarkAsk measures how a grantor handles an Ask and the Release that
// follows it.
func BenchmarkAsk(b *testing.B) {
	bed := benchTestBed(9)
	e := bed.Engines[0]
	g := bed.grantor(bed.Nodes[0], e)
	holder := without(bed.Nodes, g)[0]
	p := policyOf(g)
	g.Silent = true
	b.ReportAllocs()
	for b.Loop() {
		id := holder.Reservation(time.Minute)
		ask := Ask{Reservation: slotkit.Reservation(id), Upstream: e.ID, Seq: 2 * id.Sequence, Pieces: 3}
		p.Receive(holder.ID(), &ask)
		p.Receive(holder.ID(), &Release{Reservation: slotkit.Reservation(id), Upstream: e.ID, Seq: ask.Seq + 1})
	}
}
