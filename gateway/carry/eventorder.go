package carry

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
)

// EventOrderError reports an event that is not the one after the last event of its stream.
type EventOrderError struct {
	// Last is the ID of the last event, and Event the number of the one that was received after it.
	Last  string
	Event int
}

// Error implements the error interface.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d received after event %s", e.Event, e.Last)
}

// numbering is how the engines of a service number the events of streams. Numbers increase; an event with several
// tokens may be numbered by the last of them, so that a gap alone is no missing event. Within a run it never is one:
// the events of a run arrive on one connection. Where another run continues a stream, it is one if the service numbers
// events one by one. It is safe for concurrent use.
type numbering struct {
	mu sync.Mutex
	// steps counts the events of runs that were numbered one higher than the event before, up to minSteps. gaps means
	// that another one had a higher number.
	steps int
	gaps  bool
}

// minSteps is the number of events, in runs without a gap, that show that a service numbers events one by one.
const minSteps = 256

// observe records that the event number followed the event previous in a run.
func (n *numbering) observe(previous, number int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number != previous+1 {
		n.gaps = true
	} else if n.steps < minSteps {
		n.steps++
	}
}

// oneByOne reports whether the service is known to number events one by one.
func (n *numbering) oneByOne() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.gaps && n.steps >= minSteps
}

// inOrder returns the complete events at the beginning of events that continue a stream whose last event
// has the ID last, and an *EventOrderError if another one comes after them. newRun means that they are the first
// events of a run. Comments without an event are not returned then. Only IDs that are numbers are checked.
func (n *numbering) inOrder(events []byte, last string, newRun bool) ([]byte, error) {
	begin := 0
	for rest := events; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			begin = len(events) - len(rest)
		}
		id, ok := eventID(line)
		if !ok {
			continue
		}
		if number, err := strconv.Atoi(id); err == nil && !n.mayFollow(number, last, newRun) {
			disorder := &EventOrderError{Last: last, Event: number}
			if !holdsEvent(events[:begin]) {
				return nil, disorder
			}
			return events[:begin], disorder
		}
		last, newRun = id, false
	}
	return events, nil
}

// mayFollow reports whether the event with the given number may be the one after the event with the ID last,
// or the first one if last is "". newRun means that it is the first event of a run.
func (n *numbering) mayFollow(number int, last string, newRun bool) bool {
	previous, err := strconv.Atoi(last)
	switch {
	case err != nil:
		return true
	case number <= previous:
		return false
	case newRun:
		return number == previous+1 || !n.oneByOne()
	default:
		n.observe(previous, number)
		return true
	}
}

// cutLine returns the first line of b without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	end := bytes.IndexFunc(b, isLineEnd)
	switch {
	case end < 0:
		return b, nil
	case bytes.HasPrefix(b[end:], []byte("\r\n")):
		return b[:end], b[end+2:]
	default:
		return b[:end], b[end+1:]
	}
}

// eventID returns the event ID in a line of an event. ok is false if the line holds none.
func eventID(line []byte) (id string, ok bool) {
	text, ok := bytes.CutPrefix(bytes.TrimPrefix(line, byteOrderMark), []byte("id:"))
	return string(bytes.TrimSpace(text)), ok
}
