package carry

import "github.com/wardspool/wardspool/gateway/memory"

const (
	// readBytes is the size of the buffer for reading a stream. One event takes a few hundred
	// bytes.
	readBytes = 4 << 10
	// maxEventBytes limits the size of one event, with what precedes it and is none.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size of an event buffer that is not charged to the memory budget, so that a stream of
	// ordinary events never depends on it.
	freeEventBytes = 16 << 10
)

// EventSizeError reports a stream in which more than maxEventBytes arrived without completing an event.
type EventSizeError struct{}

// Error implements the error interface.
func (*EventSizeError) Error() string { return "stream event exceeds the size limit" }

// eventBuffer holds the part of a stream that has not been delivered: the beginning of an event, and what precedes
// it and is none, such as comments. It bounds what a stream without events can take.
type eventBuffer struct {
	account *memory.Account
	bytes   []byte
	// blocks is the end of the last complete block, searched the number of bytes in which ends of blocks were
	// looked for. hasEvent means that a complete block is an event.
	blocks, searched int
	hasEvent         bool
}

// add appends a part of the stream. The error is an *EventSizeError, or a *memory.BudgetExceededError.
func (b *eventBuffer) add(part []byte) error {
	size := len(b.bytes) + len(part)
	if size > maxEventBytes+readBytes {
		return &EventSizeError{}
	}
	if size > cap(b.bytes) {
		grown := max(readBytes, 2*cap(b.bytes), size)
		if err := b.account.TryGrow(int64(max(grown, freeEventBytes) - max(cap(b.bytes), freeEventBytes))); err != nil {
			return err
		}
		b.bytes = append(make([]byte, 0, grown), b.bytes...)
	}
	b.bytes = append(b.bytes, part...)
	b.search()
	if len(b.bytes) > maxEventBytes && !b.hasEvent {
		return &EventSizeError{}
	}
	return nil
}

// longestBlockEnd is the number of bytes of the longest end of a block, CR LF CR LF.
const longestBlockEnd = 4

// search looks for complete blocks in what was added.
func (b *eventBuffer) search() {
	from := max(0, b.searched-longestBlockEnd+1)
	b.searched = len(b.bytes)
	end := lastEventEnd(b.bytes[from:])
	if end == 0 || from+end <= b.blocks {
		return
	}
	b.hasEvent = b.hasEvent || holdsEvent(b.bytes[b.blocks:from+end])
	b.blocks = from + end
}

// complete returns the complete events and what precedes them, nothing if there is no event. They are valid until
// the next call of another method.
func (b *eventBuffer) complete() []byte {
	if !b.hasEvent {
		return nil
	}
	return b.bytes[:b.blocks]
}

// removeComplete removes what complete returns.
func (b *eventBuffer) removeComplete() {
	b.bytes = append(b.bytes[:0], b.bytes[len(b.complete()):]...)
	b.blocks, b.searched, b.hasEvent = 0, len(b.bytes), false
}
