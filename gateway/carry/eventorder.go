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
// so that a gap shows a missing event. It shows nothing once most numbers of the service are not one by one, or
// many of them at any place, or most streams have the same gap, and nothing where it usually follows the same
// number. It is safe for concurrent use.
type numbering struct {
	mu  sync.Mutex
	all followers
	// streams counts the streams from their first events on. places holds what followed each number, and
	// commonGap is the one of them that a gap followed most often.
	streams   int
	places    map[int]*followers
	commonGap *followers
}

// followers counts what followed events.
type followers struct {
	// gap is the number that followed the last time that it was not one higher.
	gap int
	// gaps counts the events with that number, others those with another one.
	gaps, others int
}

const (
	// minUsualGaps is the smallest number of gaps that are usual. As many streams are broken off where engines
	// leave gaps.
	minUsualGaps = 3
	// minIrregularGaps is the smallest number of gaps of any size that are usual, and maxStepsPerGap the largest
	// number of steps for each of them.
	minIrregularGaps = 32
	maxStepsPerGap   = 8
	// maxPlaces bounds the numbers of a service for which it is remembered what followed them.
	maxPlaces = 4096
)

// gapIsUsual reports whether a gap mostly followed.
func (f *followers) gapIsUsual() bool { return f.gaps >= minUsualGaps && f.gaps >= f.others }

// observe records that the event number followed the event previous, and reports whether it may have been the
// next one. What followed until then decides.
func (n *numbering) observe(previous, number int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	step := number == previous+1
	usual := step || n.all.gapIsUsual() || n.gapsAreIrregular() || n.gapIsCommon() || n.gapIsUsualAt(previous, number)
	if step {
		n.all.others++
	} else {
		n.all.gaps++
	}
	n.observeAt(previous, number, step)
	return usual
}

// gapsAreIrregular reports whether gaps are so many, after whatever numbers, that they belong to the numbering. The
// caller holds mu.
func (n *numbering) gapsAreIrregular() bool {
	return n.all.gaps >= minIrregularGaps && n.all.others <= maxStepsPerGap*n.all.gaps
}

// gapIsCommon reports whether most streams have the same gap. One that only a few streams reach says nothing of the
// others. The caller holds mu.
func (n *numbering) gapIsCommon() bool {
	return n.commonGap != nil && n.commonGap.gapIsUsual() && 2*n.commonGap.gaps >= n.streams
}

// gapIsUsualAt reports whether the same gap mostly followed a number. The caller holds mu.
func (n *numbering) gapIsUsualAt(previous, number int) bool {
	p := n.places[previous]
	return p != nil && p.gap == number && p.gapIsUsual()
}

// observeAt records what followed a number. The caller holds mu.
func (n *numbering) observeAt(previous, number int, step bool) {
	p := n.places[previous]
	if p == nil {
		if len(n.places) >= maxPlaces {
			return
		}
		if n.places == nil {
			n.places = map[int]*followers{}
		}
		p = &followers{}
		n.places[previous] = p
	}
	switch {
	case step:
		p.others++
	case p.gap != number:
		p.gap, p.others, p.gaps = number, p.others+p.gaps, 1
	default:
		p.gaps++
	}
	if p.gapIsUsual() && (n.commonGap == nil || !n.commonGap.gapIsUsual() || p.gaps > n.commonGap.gaps) {
		n.commonGap = p
	}
}

// begin counts a stream.
func (n *numbering) begin() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams++
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
	if last == "" {
		n.begin()
	}
	switch {
	case last == "" && number <= maxFirstEvent:
		return true
	case last == "":
		return n.observe(0, number)
	case err != nil:
		return true
	case number <= previous:
		return false
	default:
		return n.observe(previous, number)
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
