package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// evacuationDeadline is the time within which all instances must apply an evacuation.
const evacuationDeadline = 5 * time.Second

// evacuate sets the evacuated zones in the store; without arguments it ends the evacuation.
func (w *simFleet) evacuate(zones ...ident.Zone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = zones
	w.revision++
}

// sentTo returns the number of requests that reached engines of a zone between two times.
func (w *simFleet) sentTo(zone ident.Zone, from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.received {
		if s.zone == zone && s.at.After(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}

// streamLoad sends streams to all instances and counts those sent and those completed.
type streamLoad struct {
	mu              sync.Mutex
	sent, completed int
}

// run sends a stream to each instance at every interval until stop is closed.
func (l *streamLoad) run(w *simFleet, interval time.Duration, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n, i := range w.instances {
		wg.Go(func() {
			time.Sleep(interval * time.Duration(n) / time.Duration(len(w.instances)))
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				wg.Go(func() { l.send(w, i) })
			}
		})
	}
	return &wg
}

// send sends a stream to an instance.
func (l *streamLoad) send(w *simFleet, i *simInstance) {
	g := w.send(i, "harmless", "")
	if g == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if g.complete() {
		l.completed++
	}
}

// TestEvacuatedZoneGetsNoRequests guards, at several fleet sizes, against requests to an evacuated
// zone: from instances whose requests the store rejects, from instances that start during the
// evacuation, while the instance that reads the store for the zone is down, and during a network
// partition of a zone.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	sizes := []int{7, 60}
	if *largeFlag {
		sizes = append(sizes, 300, 585)
	}
	if raceDetector {
		sizes = []int{7}
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) { testEvacuation(t, n) })
		})
	}
}

func testEvacuation(t *testing.T, instances int) {
	w := newSimFleet(t, instances, 3, instances, 2*instances)
	defer w.close()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	load := &streamLoad{}
	wg := load.run(w, time.Second, stop)
	time.Sleep(2 * time.Second)

	// The store rejects the requests of a third of the instances, and the instance that reads the
	// store for zone a is down.
	for n, i := range w.instances {
		i.mu.Lock()
		i.storeDown = n%3 == 1
		i.mu.Unlock()
	}
	var reader *simInstance
	for _, i := range w.instances {
		duty := []dialect.Upstream{{ID: "store", Zone: i.zone}}
		if i.zone == "a" && len(i.running().node.AssignedInZone("", "", duty)) > 0 {
			reader = i
		}
	}
	reader.kill()
	asked := time.Now()
	w.evacuate("a")
	time.Sleep(evacuationDeadline)
	assert.Check(t, w.sentTo("a", asked.Add(-2*time.Second), asked) > 0, "no request was sent to the zone before the evacuation")

	// Two instances start during the evacuation, then a network partition separates zone b from the
	// others.
	reader.start()
	last := w.instances[len(w.instances)-1]
	last.kill()
	last.start()
	w.partitionZone("b")
	time.Sleep(3 * time.Second)
	w.partitionZone("")
	time.Sleep(2 * time.Second)
	assert.Equal(t, w.sentTo("a", asked.Add(evacuationDeadline), time.Now()), 0)

	// An evacuation that is cancelled and requested again within a second stays in force.
	w.evacuate()
	time.Sleep(400 * time.Millisecond)
	again := time.Now()
	w.evacuate("a", "c")
	time.Sleep(evacuationDeadline + 3*time.Second)
	for _, zone := range []ident.Zone{"a", "c"} {
		assert.Equal(t, w.sentTo(zone, again.Add(evacuationDeadline), time.Now()), 0, "zone %s", zone)
	}

	// With all zones evacuated, requests are refused at once. After the evacuation they are served
	// again.
	w.evacuate("a", "b", "c")
	time.Sleep(evacuationDeadline)
	began := time.Now()
	refused := w.send(w.instances[0], "harmless", "")
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Check(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
	w.evacuate()
	time.Sleep(evacuationDeadline)
	served := time.Now()
	time.Sleep(3 * time.Second)
	assert.Check(t, w.sentTo("a", served, time.Now()) > 0, "no request was sent to the zone after the evacuation")
	close(stop)
	wg.Wait()
}

// TestEvacuationInterruptsNoStreams guards against an evacuation breaking running streams or
// failing requests that other zones can serve.
func TestEvacuationInterruptsNoStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 7, 3, 7, 14)
		defer w.close()
		time.Sleep(3 * time.Second)
		stop := make(chan struct{})
		load := &streamLoad{}
		wg := load.run(w, 500*time.Millisecond, stop)
		time.Sleep(3 * time.Second)
		w.evacuate("a")
		time.Sleep(5 * time.Second)
		w.evacuate()
		time.Sleep(3 * time.Second)
		close(stop)
		wg.Wait()
		assert.Assert(t, load.sent > 100, "%d", load.sent)
		assert.Equal(t, load.completed, load.sent)
	})
}

// TestRequestsStayInAllowedRegions guards against requests being sent outside the regions of their
// route, for prefill, decode or the resumption of a stream and during a network partition of a
// zone, and against delays in refusing requests that no zone may serve.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 6, 3, 6, 12)
		defer w.close()
		// Streams are resumed here by callers who name neither the first attempt nor the prompt. Instances refuse
		// them until they know for certain that one software version serves.
		assert.Assert(t, !w.send(w.instances[0], "harmless", "3").complete())
		time.Sleep(origin.TTL + time.Second)
		restrict := func(regions ...ident.Region) {
			w.mu.Lock()
			next := *w.config
			next.Version++
			w.revision++
			next.Routes = append(next.Routes[:0:0], next.Routes...)
			next.Routes[0].Regions = regions
			w.config = &next
			w.mu.Unlock()
			w.awaitAll("the configuration is in force", func(s *Service) bool { return s.node.Snapshot().Version() >= next.Version })
		}
		restrict("east")
		began := time.Now()
		for range 3 {
			for _, i := range w.instances {
				assert.Assert(t, w.send(i, "harmless", "").complete())
				assert.Assert(t, w.send(i, "harmless", "3").complete())
			}
		}
		assert.Equal(t, w.sentTo("c", began, time.Now()), 0)
		assert.Assert(t, w.sentTo("a", began, time.Now()) > 0)

		// While the only allowed region is unreachable, no request goes to another one.
		restrict("west")
		began = time.Now()
		w.partitionZone("c")
		for _, i := range w.instances {
			w.send(i, "harmless", "")
		}
		w.partitionZone("")
		assert.Equal(t, w.sentTo("a", began, time.Now())+w.sentTo("b", began, time.Now()), 0)

		restrict("nowhere")
		began = time.Now()
		g := w.send(w.instances[0], "harmless", "")
		assert.Equal(t, g.status, 503)
		assert.Assert(t, g.header.Get("Retry-After") != "")
		assert.Check(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
	})
}
