package carry

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// disorders are the rests of a stream with two events that engines send at fault, and how much of each is
// in order.
var disorders = map[string]struct{ rest, ordered string }{
	"from the start":     {events(1, 5), ""},
	"from zero":          {events(0, 5), ""},
	"last event twice":   {events(2, 5), ""},
	"event skipped":      {events(4, 5), ""},
	"event twice":        {events(3, 4) + events(4, 5), events(3, 4)},
	"event missing":      {events(3, 3) + events(5, 5), events(3, 3)},
	"started over":       {events(3, 4) + events(1, 5), events(3, 4)},
	"two in wrong order": {events(3, 3) + events(5, 5) + events(4, 4), events(3, 3)},
	"CR LF":              {"id: 3\r\ndata: x\r\n\r\nid: 3\r\ndata: x\r\n\r\n", "id: 3\r\ndata: x\r\n\r\n"},
}

// TestEventOutOfOrderIsNotDelivered guards against a caller who gets an event twice, or misses one, in a
// response that looks complete, because an engine did not go on after the last event.
func TestEventOutOfOrderIsNotDelivered(t *testing.T) {
	for name, d := range disorders {
		faulty := reply{verdict: dialect.Success, status: http.StatusOK, body: d.rest}
		t.Run("resumed by the caller, "+name, func(t *testing.T) {
			env := newStreamEnv(t)
			env.serveStreams(faulty)
			j := job(resumable)
			j.Route.MaxAttempts = 1
			j.Call.LastEvent = "2"
			var got streamRecorder
			_, err := env.Stream(t.Context(), j, &got)
			var disorder *EventOrderError
			assert.Assert(t, errors.As(err, &disorder), "%v", err)
			assert.Equal(t, got.body.String(), d.ordered)
			assert.Equal(t, got.heads > 0, d.ordered != "")
		})
		t.Run("in one run, "+name, func(t *testing.T) {
			env := newStreamEnv(t)
			env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2) + d.rest})
			var got streamRecorder
			_, err := env.Stream(t.Context(), job(singleRun), &got)
			var interrupted *InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
			assert.Equal(t, got.body.String(), events(1, 2)+d.ordered)
		})
		t.Run("moved, "+name, func(t *testing.T) {
			env := startStreamAtD1(t, singleRun)
			env.d.mu.Lock()
			env.d.do["d2"] = []reply{faulty}
			env.d.mu.Unlock()
			env.migrate(t)
			<-env.ended
			var interrupted *InterruptedError
			assert.Assert(t, errors.As(env.err, &interrupted), "%v", env.err)
			assert.Equal(t, env.got.body.String(), events(1, 2)+d.ordered)
		})
	}
}

// TestStreamGoesOnAfterAnEventOutOfOrder guards against a resumable stream that ends because one engine sends
// an event out of order while another one can go on.
func TestStreamGoesOnAfterAnEventOutOfOrder(t *testing.T) {
	env := newStreamEnv(t)
	faulty := reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 3) + events(3, 5)}
	rest := reply{verdict: dialect.Success, status: http.StatusOK, body: events(4, 5)}
	env.serveStreams(faulty)
	env.o.Count = func(name string) {
		if name == "stream_restarted" {
			env.d.mu.Lock()
			defer env.d.mu.Unlock()
			env.serveStreams(rest)
		}
	}
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 5))
	assert.Assert(t, env.d.sends[0].To.ID != env.d.sends[1].To.ID)
}

// TestSilentEngineKeepsItsStreamFromAnEventOutOfOrder guards against a stream that is taken from a silent
// engine by one that does not go on after the last event.
func TestSilentEngineKeepsItsStreamFromAnEventOutOfOrder(t *testing.T) {
	for _, rest := range []string{events(1, 5), events(2, 5), events(4, 5)} {
		t.Run(fmt.Sprintf("%.5s", rest), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
				body := newControlledBody()
				env.d.silent = map[ident.UpstreamID]bool{"d1": true}
				env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: body}}
				env.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, body: rest}}
				env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
				go func() {
					_, _ = body.w.Write([]byte(events(1, 2)))
					time.Sleep(2 * time.Second)
					_, _ = body.w.Write([]byte(events(3, 5)))
					_ = body.w.Close()
				}()
				r := resumable
				r.PaceObjective = 300 * time.Millisecond
				got := &streamRecorder{}
				_, err := env.Stream(t.Context(), job(r), got)
				assert.NilError(t, err)
				assert.Equal(t, got.body.String(), events(1, 5))
				assert.Equal(t, env.d.count("do d2"), 1)
			})
		})
	}
}

// TestFirstEventIsNotMissing guards against a stream whose first event is missing.
func TestFirstEventIsNotMissing(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(2, 5)})
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	assert.Equal(t, outcomeOf(t, err), Unknown)
	assert.Equal(t, got.heads, 0)
}

// TestCallerCannotHaveAnEnginePassedOver guards against callers who take engines out of service by a wrong
// Last-Event-Id.
func TestCallerCannotHaveAnEnginePassedOver(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 5)})
	env.o.Count = func(name string) { assert.Check(t, name != "engine_passed_over") }
	j := job(resumable)
	j.Call.LastEvent = "1000"
	_, err := env.Stream(t.Context(), j, &streamRecorder{})
	var disorder *EventOrderError
	assert.Assert(t, errors.As(err, &disorder), "%v", err)
}

// TestOtherEventIDsAreForwarded checks that only IDs that are numbers are checked.
func TestOtherEventIDsAreForwarded(t *testing.T) {
	for _, text := range []string{
		"id: a-7\ndata: x\n\nid: a-3\ndata: x\n\n", ": comment\n\nid: 0\ndata: x\n\ndata: without an ID\n\nid: 1\ndata: x\n\n",
		"id: 1\rdata: x\r\rid: 2\rdata: x\r\r", "weight-versions: 5\nid: 1\ndata: id: 9\n\nid: 2\n\n",
	} {
		ordered, err := (&numbering{}).inOrder([]byte(text), "")
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, string(ordered), text)
	}
}

// TestEndOfAnEventIsDeliveredWhole guards against two events that are joined because the first one was delivered
// with only the CR of its last CR LF when its engine crashed.
func TestEndOfAnEventIsDeliveredWhole(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	whole := crlf(events(1, 3))
	for cut := 1; cut < len(whole); cut++ {
		env := newStreamEnv(t)
		body := io.MultiReader(strings.NewReader(whole[:cut]), brokenReader{})
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, stream: io.NopCloser(body)})
		env.o.Count = func(name string) {
			if name == "stream_restarted" {
				env.d.mu.Lock()
				defer env.d.mu.Unlock()
				env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1+cut*3/len(whole), 3)})
			}
		}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err, "cut after %d bytes", cut)
		delivered := cut * 3 / len(whole)
		assert.Equal(t, got.body.String(), crlf(events(1, delivered))+events(1+delivered, 3), "cut after %d bytes", cut)
	}
}

// TestMissingEventsSoonAfterTheStartAreNotDelivered guards against an instance that takes gaps in the numbers of
// events for usual because engines omitted events in the first streams that it saw.
func TestMissingEventsSoonAfterTheStartAreNotDelivered(t *testing.T) {
	env := newStreamEnv(t)
	for n := range 3 {
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 5) + events(7, 12)})
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(singleRun), &got)
		assert.Check(t, err != nil, "stream %d", n)
		assert.Equal(t, got.body.String(), events(1, 5), "stream %d", n)
	}
}

// TestEventsWithGapsInTheirNumbersAreServed guards against a service whose streams are all broken off because its
// engines don't number events one by one, which only have to increase.
func TestEventsWithGapsInTheirNumbersAreServed(t *testing.T) {
	env := newStreamEnv(t)
	body := "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 30\ndata: c\n\n"
	served := 0
	for range 10 {
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: body})
		var got streamRecorder
		if _, err := env.Stream(t.Context(), job(singleRun), &got); err == nil {
			assert.Equal(t, got.body.String(), body)
			served++
		}
	}
	assert.Assert(t, served >= 10-minUsualGaps, "%d of 10", served)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: "id: 10\ndata: a\n\nid: 10\ndata: a\n\n"})
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.Assert(t, err != nil, "an event came twice")
}

// TestNothingIsSentBeforeAFirstEventOutOfOrder guards against a response of comments only, which looks begun, from an engine whose
// first event is out of order.
func TestNothingIsSentBeforeAFirstEventOutOfOrder(t *testing.T) {
	for _, before := range []string{": ping\n\n", "\n\n", ": ping\n\n: ping\n\n"} {
		env := newStreamEnv(t)
		env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: before + events(1, 5)})
		j := job(resumable)
		j.Route.MaxAttempts = 1
		j.Call.LastEvent = "2"
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		var disorder *EventOrderError
		assert.Assert(t, errors.As(err, &disorder), "%v", err)
		assert.Equal(t, got.heads, 0, "%q was sent", got.body.String())
	}
}

// TestSilentEngineKeepsItsStreamFromCommentsBeforeDisorder guards against a stream that is taken from a silent
// engine by one that sends comments and then an event out of order.
func TestSilentEngineKeepsItsStreamFromCommentsBeforeDisorder(t *testing.T) {
	assertSilentEngineKeepsStream(t, &partsReader{parts: []string{": ping\n\n" + events(1, 5)}, err: io.EOF})
}

// TestSilentEngineKeepsItsStreamFromDisorderAtTheEnd guards against a stream that is taken from a silent engine by
// one whose events out of order arrive together with the end of the body.
func TestSilentEngineKeepsItsStreamFromDisorderAtTheEnd(t *testing.T) {
	assertSilentEngineKeepsStream(t, &partsReader{parts: []string{events(1, 5)}, err: io.EOF, together: true})
}

// assertSilentEngineKeepsStream checks that a stream whose engine is silent for a time is not taken from it by one
// that sends the given body.
func assertSilentEngineKeepsStream(t *testing.T, second io.Reader) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		body := newControlledBody()
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: body}}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: io.NopCloser(second)}}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = body.w.Write([]byte(events(1, 2)))
			time.Sleep(2 * time.Second)
			_, _ = body.w.Write([]byte(events(3, 5)))
			_ = body.w.Close()
		}()
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(r), got)
		<-written
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Equal(t, env.d.count("do d2"), 1)
	})
}

// TestRareGapsInTheNumbersOfEventsBreakNoStream guards against sound streams that are broken off because a few of
// their numbers, which only have to increase, are not one by one.
func TestRareGapsInTheNumbersOfEventsBreakNoStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		passedOver := 0
		env.o.Count = func(name string) {
			if name == "engine_passed_over" {
				passedOver++
			}
		}
		body, number := "", 0
		for i := range 60 {
			number++
			if i%20 == 19 {
				number++
			}
			body += fmt.Sprintf("id: %d\ndata: x\n\n", number)
		}
		served := 0
		for range 20 {
			env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: body})
			j := job(singleRun)
			j.Deadline = j.Arrived.Add(10 * time.Second)
			var got streamRecorder
			if _, err := env.Stream(t.Context(), j, &got); err == nil {
				assert.Equal(t, got.body.String(), body)
				served++
			}
			time.Sleep(time.Minute)
		}
		assert.Check(t, served >= 20-minUsualGaps, "%d of 20", served)
		assert.Check(t, passedOver <= minUsualGaps, "engines were passed over %d times", passedOver)
	})
}

// TestOmittedEventsAreNotTakenForTheNumbering guards against a service whose missing events count as gaps in its
// numbers because a part of its streams, at any place, has one.
func TestOmittedEventsAreNotTakenForTheNumbering(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := &numbering{}
		for stream := range 300 {
			omitted := 0
			if random.IntN(3) == 0 {
				omitted = 2 + random.IntN(18)
			}
			for event := 2; event <= 20; event++ {
				if event == omitted {
					assert.Assert(t, !n.mayFollow(event+1, strconv.Itoa(event-1)), "seed %d, stream %d, event %d", seed, stream, event)
					break
				}
				assert.Assert(t, n.mayFollow(event, strconv.Itoa(event-1)))
			}
		}
	}
}

// orderedUntil returns how many of the numbers of a stream's events are in order one after the other.
func orderedUntil(n *numbering, numbers []int) int {
	last := ""
	for i, number := range numbers {
		if !n.mayFollow(number, last) {
			return i
		}
		last = strconv.Itoa(number)
	}
	return len(numbers)
}

// oneByOne returns the numbers 1 to length without the omitted one.
func oneByOne(length, omitted int) (numbers []int) {
	for number := 1; number <= length; number++ {
		if number != omitted {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// TestGapThatFewStreamsReachExcusesNoOther guards against missing events that are delivered because the few streams
// that were longer than the others lacked an event after the same number.
func TestGapThatFewStreamsReachExcusesNoOther(t *testing.T) {
	n := &numbering{}
	for range 1000 {
		assert.Equal(t, orderedUntil(n, oneByOne(20, 0)), 20)
	}
	for range minUsualGaps {
		assert.Equal(t, orderedUntil(n, oneByOne(500, 300)), 299)
	}
	for omitted := 2; omitted < 20; omitted++ {
		assert.Equal(t, orderedUntil(n, oneByOne(20, omitted)), omitted-1)
	}
}

// TestIrregularNumbersOfEventsBreakNoStream guards against a service none of whose streams end because a third of
// their numbers, which only have to increase, are not one by one.
func TestIrregularNumbersOfEventsBreakNoStream(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	n := &numbering{}
	served := 0
	for range 1000 {
		number, numbers := 0, []int{}
		for range 100 {
			number++
			if random.IntN(3) == 0 {
				number += 1 + random.IntN(3)
			}
			numbers = append(numbers, number)
		}
		if orderedUntil(n, numbers) == 100 {
			served++
		}
	}
	assert.Assert(t, served >= 900, "%d of 1000", served)
}
