package carry

import (
	"bytes"
	"fmt"
	"strconv"
)

// EventOrderError reports an event that is not the one after the last event of its stream.
type EventOrderError struct {
	// Last and Event are the numbers of the last event and of the one that was received after it.
	Last, Event int
}

// Error implements the error interface.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d received after event %d", e.Event, e.Last)
}

// inOrder returns the complete events at the beginning of events that continue a stream whose last event
// has the ID last, and an *EventOrderError if another one comes after them. Only IDs that are numbers
// are checked.
func inOrder(events []byte, last string) ([]byte, error) {
	previous, known := eventNumber(last)
	begin := 0
	for rest := events; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			begin = len(events) - len(rest)
			continue
		}
		id, ok := eventID(line)
		if !ok {
			continue
		}
		number, numbered := eventNumber(id)
		if known && numbered && number != previous+1 {
			return events[:begin], &EventOrderError{Last: previous, Event: number}
		}
		previous, known = number, numbered
	}
	return events, nil
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
	text, ok := bytes.CutPrefix(line, []byte("id:"))
	return string(bytes.TrimSpace(text)), ok
}

// eventNumber returns the number in an event ID. ok is false if it is not a number.
func eventNumber(id string) (number int, ok bool) {
	number, err := strconv.Atoi(id)
	return number, err == nil
}
