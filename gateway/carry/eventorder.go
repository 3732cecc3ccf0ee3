package carry

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
)

// maxFirstEvent is the largest number of the first event of a stream. Engines number events from 1 or from 0.
const maxFirstEvent = 1

// EventOrderError reports an event that is not the one after the last event of its stream, or not the first
// one of a new stream.
type EventOrderError struct {
	// Last is the ID of the last event, "" if there is none, and Event the number of the one that was
	// received after it.
	Last  string
	Event int
}

// Error implements the error interface.
func (e *EventOrderError) Error() string {
	if e.Last == "" {
		return fmt.Sprintf("event %d received as the first", e.Event)
	}
	return fmt.Sprintf("event %d received after event %s", e.Event, e.Last)
}

// numbering is how the engines of a service number the events of streams. Numbers increase, mostly one by one,
// so that a gap shows a missing event; where gaps are usual they show nothing. It is safe for concurrent use.
type numbering struct {
	mu sync.Mutex
	// steps counts the events that followed one with the number before, gaps those that did not.
	steps, gaps int
}

const (
	// minUsualGaps is the smallest number of gaps that may be usual, and maxStepsPerGap the largest number of
	// steps for each of them.
	minUsualGaps   = 3
	maxStepsPerGap = 8
)

// observe counts a step or a gap.
func (n *numbering) observe(step bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if step {
		n.steps++
	} else {
		n.gaps++
	}
}

// consecutive reports whether a gap shows a missing event.
func (n *numbering) consecutive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gaps < minUsualGaps || n.steps > maxStepsPerGap*n.gaps
}

// inOrder returns the complete events at the beginning of events that continue a stream whose last event
// has the ID last, and an *EventOrderError if another one comes after them. Comments without an event are not
// returned then. Only IDs that are numbers are checked.
func (n *numbering) inOrder(events []byte, last string) ([]byte, error) {
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
		if number, err := strconv.Atoi(id); err == nil && !n.mayFollow(number, last) {
			disorder := &EventOrderError{Last: last, Event: number}
			if !holdsEvent(events[:begin]) {
				return nil, disorder
			}
			return events[:begin], disorder
		}
		last = id
	}
	return events, nil
}

// mayFollow reports whether the event with the given number may be the one after the event with the ID last,
// or the first one if last is "".
func (n *numbering) mayFollow(number int, last string) bool {
	previous, err := strconv.Atoi(last)
	switch {
	case last == "" && number <= maxFirstEvent:
		return true
	case last == "":
	case err != nil:
		return true
	case number <= previous:
		return false
	case number == previous+1:
		n.observe(true)
		return true
	}
	n.observe(false)
	return !n.consecutive()
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
