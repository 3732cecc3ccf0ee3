package carry

import "bytes"

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// isLineEnd reports whether r ends a line of an event stream: a line ends with CR, LF or both.
func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// lineEndBefore returns the offset at which the line end that ends at offset end of b begins, or end
// if there is none.
func lineEndBefore(b []byte, end int) int {
	switch {
	case end == 0 || !isLineEnd(rune(b[end-1])):
		return end
	case end > 1 && b[end-1] == '\n' && b[end-2] == '\r':
		return end - 2
	default:
		return end - 1
	}
}

// lastEventEnd returns the offset after the last complete event in b, or 0 if there is none. An event
// whose last line end may be received in part only is not complete.
func lastEventEnd(b []byte) int {
	for end := len(b); end > 0; end-- {
		if eventEndsAt(b, end) && (end < len(b) || !mayLackLF(b)) {
			return end
		}
	}
	return 0
}

// eventEndsAt reports whether an event of b ends at the given offset. A blank line ends an event.
func eventEndsAt(b []byte, end int) bool {
	blank := lineEndBefore(b, end)
	return blank < end && lineEndBefore(b, blank) < blank
}

// mayLackLF reports whether b ends with a CR after a line that ended with LF, so that an LF probably follows.
func mayLackLF(b []byte) bool { return bytes.HasSuffix(b, []byte("\n\r")) }

// insideEvent reports whether what follows the last complete event of a stream is a part of another
// one, and not only blank lines and comments.
func insideEvent(rest []byte) bool {
	if eventEndsAt(rest, len(rest)) {
		return false
	}
	if len(rest) > 0 && !isLineEnd(rune(rest[len(rest)-1])) {
		return true
	}
	for line := range bytes.FieldsFuncSeq(rest, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// holdsEvent reports whether complete blocks of a stream have a field that callers read. Comments and unknown fields
// are no event.
func holdsEvent(blocks []byte) bool {
	for line := range bytes.FieldsFuncSeq(blocks, isLineEnd) {
		name, _, _ := bytes.Cut(bytes.TrimPrefix(line, byteOrderMark), []byte{':'})
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
	}
	return false
}
