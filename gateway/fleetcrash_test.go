package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/internal/clock"
)

const (
	// tellAll is how long after the third crash all instances must know of it, and
	// mostAfter how often the content may still reach engines later.
	tellAll   = 3 * time.Second
	mostAfter = 3
	// mostEnded is how many engines may end under a content that comes one attempt after the
	// other: two crashes before anything was produced convict it, a third may be under way.
	mostEnded = 3
	// innocentsPerEngine is how many innocent streams begin a second for each engine: eight
	// run at a time, of twelve.
	innocentsPerEngine = 4
)

// fleetSize is a fleet of a size that users have, or the one that is planned for.
type fleetSize struct{ instances, zones, prefill, decode int }

func (s fleetSize) String() string { return strconv.Itoa(s.instances) }

var fleetSizes = []fleetSize{{7, 3, 3, 6}, {85, 3, 10, 34}, {295, 5, 16, 48}}

// innocents are the streams beside the deadly one, and what became of them.
type innocents struct {
	mu sync.Mutex
	// whole were served, late those whose first event came after the objective, hit those
	// whose engine crashed under them, refused those that got nothing, by reason.
	all, whole, late, hit int
	refused               map[string]int
}

// runInnocents sends innocent streams at random instances until the returned function is
// called, which waits for the last. Their callers resume what broke off, once.
func (w *fleetWorld) runInnocents(engines int) (stop func() *innocents) {
	in := &innocents{refused: map[string]int{}}
	done := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second / time.Duration(innocentsPerEngine*engines)):
			}
			body := fmt.Sprintf("innocent %d", n)
			all.Go(func() { w.innocent(in, body) })
		}
	})
	return func() *innocents {
		close(done)
		all.Wait()
		return in
	}
}

// innocent is one caller of an innocent stream.
func (w *fleetWorld) innocent(in *innocents, body string) {
	start := time.Now()
	last, events := "", 0
	var first time.Time
	for try := range 3 {
		g := w.send(w.instances[rand.IntN(len(w.instances))], body, last)
		if g == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if first.IsZero() {
			first = g.first
		}
		events += strings.Count(g.text.String(), "id: ")
		if g.whole() {
			in.note(func() {
				in.whole++
				if first.Sub(start) > 900*time.Millisecond {
					in.late++
				}
				if try > 0 {
					in.hit++
				}
			})
			return
		}
		if events > 0 {
			last = strconv.Itoa(events)
		}
		if try == 2 {
			in.note(func() { in.refused[reasonOf(g)]++ })
			return
		}
		time.Sleep(retryAfter(g))
	}
	in.note(func() { in.refused["no instance"]++ })
}

func (in *innocents) note(count func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.all++
	count()
}

// reasonOf returns the status and title of a refusal.
func reasonOf(g *got) string {
	if g.broken {
		return "broken off"
	}
	text := g.text.String()
	if _, rest, ok := strings.Cut(text, `"title":"`); ok {
		text, _, _ = strings.Cut(rest, `"`)
	}
	return fmt.Sprint(g.status, " ", text)
}

// retryAfter is when a caller comes back, at most a second later.
func retryAfter(g *got) time.Duration {
	seconds, err := strconv.ParseFloat(g.header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0.2
	}
	return min(time.Second, time.Duration(seconds*float64(time.Second)))
}

// atOnce sends the deadly request to all instances at the same moment, and waits for the
// answers.
func (w *fleetWorld) atOnce() {
	var all sync.WaitGroup
	for _, i := range w.instances {
		all.Go(func() { w.send(i, deadly, "") })
	}
	all.Wait()
}

// repeat sends the deadly request to an instance at random after each pause, for a time.
// Answers are not waited for.
func (w *fleetWorld) repeat(pause, during time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(pause) {
		i := w.instances[w.random.IntN(len(w.instances))]
		all.Go(func() { w.send(i, deadly, "") })
	}
	all.Wait()
}

// third is when the third engine ended; false if none did.
func (w *fleetWorld) third() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ended) < 3 {
		return time.Time{}, false
	}
	return w.ended[2], true
}

// judge checks what holds however the deadly request came.
func (w *fleetWorld) judge(in *innocents, what string) {
	sent, ended := w.counts()
	w.t.Logf("%s: sent %d times, %d engines ended; innocents: %d, whole %d, late %d, hit %d, lost %v", what, sent, ended, in.all, in.whole, in.late, in.hit, in.refused)
	if third, ok := w.third(); ok {
		after := w.sentAfter(third.Add(tellAll))
		assert.Check(w.t, after <= mostAfter, "%s: sent %d times more, %v after the third engine had ended", what, after, tellAll)
	}
	for reason, n := range in.refused {
		assert.Check(w.t, !strings.Contains(reason, "quarantined"), "%s: %d innocents refused: %s", what, n, reason)
	}
}

// playSizes plays a fleet of each size in virtual time.
func playSizes(t *testing.T, play func(t *testing.T, s fleetSize, w *fleetWorld)) {
	t.Helper()
	playThese(t, fleetSizes, play)
}

// playThese plays a fleet of each of some sizes.
func playThese(t *testing.T, sizes []fleetSize, play func(t *testing.T, s fleetSize, w *fleetWorld)) {
	t.Helper()
	for _, s := range sizes {
		if raceDetector && s.instances > fleetSizes[0].instances {
			// Larger fleets take minutes, as bubbles are limited to one processor.
			continue
		}
		t.Run(s.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newFleetWorld(t, s.instances, s.zones, s.prefill, s.decode)
				defer w.close()
				play(t, s, w)
			})
		})
	}
}

// TestRepeatsOneAfterTheOther: a caller repeats the deadly request each 400 ms, wherever it
// lands, beside innocent streams. Three engines end at most, and no innocent stream is lost
// but with them.
func TestRepeatsOneAfterTheOther(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		stop := w.runInnocents(s.decode)
		time.Sleep(2 * time.Second)
		w.repeat(400*time.Millisecond, 8*time.Second)
		in := stop()
		w.judge(in, "one after the other")
		_, ended := w.counts()
		assert.Check(t, ended <= mostEnded, "%d engines ended", ended)
		lost := 0
		for _, n := range in.refused {
			lost += n
		}
		assert.Check(t, lost <= in.all/100, "%d of %d innocents were lost: %v", lost, in.all, in.refused)
	})
}

// TestEnginesThatFallSilent: the engines that crash under the deadly request answer nothing and
// end no connection until they are back. What they met is known only then, so that more of
// them end; the request is kept from the others three seconds after the third. At 295, which
// takes 38 s more, 12 ended once.
func TestEnginesThatFallSilent(t *testing.T) {
	playThese(t, fleetSizes[:2], func(t *testing.T, s fleetSize, w *fleetWorld) {
		w.silent = true
		stop := w.runInnocents(s.decode)
		time.Sleep(2 * time.Second)
		w.repeat(400*time.Millisecond, 10*time.Second)
		w.judge(stop(), "silent engines")
	})
}

// TestRepeatsAtTheSameMoment: the worst case. Each instance has a repeat in flight at the
// same moment, before anybody can know, then repeats come at random, then again each
// instance has one. Those of the first moment end what they reach; none is sent later.
func TestRepeatsAtTheSameMoment(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		stop := w.runInnocents(s.decode)
		time.Sleep(2 * time.Second)
		w.atOnce()
		first, _ := w.counts()
		w.repeat(400*time.Millisecond, 5*time.Second)
		w.atOnce()
		in := stop()
		w.judge(in, "at the same moment")
		sent, _ := w.counts()
		assert.Check(t, sent-first <= 1, "sent %d times after the first moment", sent-first)
	})
}

// TestStartedInstancesAskFirst: once the content is quarantined, some instances are killed
// and start again, knowing nothing, and get the request as soon as they are ready.
func TestStartedInstancesAskFirst(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		w.repeat(400*time.Millisecond, 3*time.Second)
		before, _ := w.counts()
		killed := w.instances[:3]
		for _, i := range killed {
			i.end()
		}
		time.Sleep(500 * time.Millisecond)
		for _, i := range killed {
			i.start()
		}
		for _, i := range killed {
			for !i.running().node.Snapshot().Ready() {
				time.Sleep(time.Millisecond)
			}
			w.send(i, deadly, "")
		}
		sent, _ := w.counts()
		assert.Equal(t, sent, before)
	})
}

// TestLossOfAllInstancesForgets: nothing is kept on disk. After a loss of all, as many
// engines may end as the first time, not more.
func TestLossOfAllInstancesForgets(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		w.repeat(400*time.Millisecond, 3*time.Second)
		_, before := w.counts()
		assert.Check(t, before <= mostEnded)
		for _, i := range w.instances {
			i.end()
		}
		for _, i := range w.instances {
			i.start()
		}
		w.await("ready again", func() bool {
			for _, i := range w.instances {
				if s := i.running(); !s.node.Snapshot().Ready() || !s.node.Informed() || s.node.Alive() != len(w.instances) {
					return false
				}
			}
			return true
		})
		w.repeat(400*time.Millisecond, 6*time.Second)
		_, ended := w.counts()
		assert.Check(t, ended-before <= mostEnded, "%d engines ended after the loss", ended-before)
	})
}

// TestHealedZoneLearns: a zone is cut off while the content is convicted elsewhere. It has
// its own crashes until it knows; three seconds after it has healed it sends none.
func TestHealedZoneLearns(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		w.cutZone("c")
		time.Sleep(500 * time.Millisecond)
		for range 6 {
			// Instances of the two other zones.
			w.send(w.instances[0], deadly, "")
			w.send(w.instances[1], deadly, "")
			time.Sleep(300 * time.Millisecond)
		}
		w.cutZone("")
		time.Sleep(tellAll)
		before, _ := w.counts()
		for n, i := range w.instances {
			if i.zone == "c" && n < 60 {
				g := w.send(i, deadly, "")
				assert.Equal(t, g.status, http.StatusServiceUnavailable)
			}
		}
		sent, _ := w.counts()
		assert.Equal(t, sent, before)
	})
}

// TestTrialsOutliveTheirOwners: half of a fleet dies at once and still counts as alive. A
// suspect that comes to another instance at that moment is tried all the same.
func TestTrialsOutliveTheirOwners(t *testing.T) {
	playSizes(t, func(t *testing.T, s fleetSize, w *fleetWorld) {
		suspect := func(i *worldInstance, body string) {
			i.running().register.Crashed(clock.Now(), contentOf(w, body), dialect.Upstream{ID: "gone"}, 0)
		}
		for _, i := range w.instances[s.instances/2:] {
			i.end()
		}
		var all sync.WaitGroup
		for n := range 10 {
			all.Go(func() {
				body := fmt.Sprintf("suspect %d", n)
				suspect(w.instances[0], body)
				g := w.send(w.instances[0], body, "")
				assert.Check(t, g.whole(), "suspect %d: %s", n, reasonOf(g))
			})
		}
		all.Wait()
	})
}

// contentOf returns the content of a request with a body.
func contentOf(w *fleetWorld, body string) quarantine.Content {
	r, err := http.NewRequest(http.MethodPost, "http://h/x", nil)
	assert.NilError(w.t, err)
	call, err := w.Read(r)
	assert.NilError(w.t, err)
	call.Body = []byte(body)
	return quarantine.ContentOf(call)
}
