package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/wardspool/wardspool/adapter"
)

// streamBufferBytes is the size of the read buffer of an engine connection. A
// small buffer is sufficient, since tokens arrive one by one.
const streamBufferBytes = 1 << 10

// lineBufferBytes is the size of the buffer that is scanned for line ends. The
// event of a token is a few hundred bytes long.
const lineBufferBytes = 512

// maxLineBytes bounds one line of a stream, and the data of one event.
const maxLineBytes = 1 << 20

// event is one server-sent event. Its slices are valid until the next event is
// read.
type event struct {
	id   []byte
	data []byte
}

// eventReader reads a stream of server-sent events. It supports only the fields
// that engines use, id and data.
type eventReader struct {
	r *bufio.Reader
	// longLine holds a line that does not fit into the reader's buffer.
	longLine []byte
	id       []byte
	data     []byte
}

// newEventReader returns a reader of the events in r.
func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, lineBufferBytes)}
}

// next reads one event. It returns io.EOF if the stream ends between events, and
// io.ErrUnexpectedEOF if it ends within one.
func (e *eventReader) next() (event, error) {
	e.id = e.id[:0]
	e.data = e.data[:0]
	begun := false
	for {
		line, err := e.line()
		if err != nil {
			if begun && errors.Is(err, io.EOF) {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(line) == 0 {
			if begun {
				return event{id: e.id, data: e.data}, nil
			}
			continue
		}
		begun = e.field(line) || begun
		if len(e.data) > maxLineBytes {
			return event{}, &adapter.TooLargeError{Limit: maxLineBytes}
		}
	}
}

// field parses one line of an event. It reports false for comments and for fields
// that engines do not use.
func (e *eventReader) field(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	default:
		return false
	}
	return true
}

// line reads one line and returns it without its line end. The slice is valid
// until the next call.
func (e *eventReader) line() ([]byte, error) {
	e.longLine = e.longLine[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && len(e.longLine) == 0 {
			return trimLineEnd(part), nil
		}
		e.longLine = append(e.longLine, part...)
		switch {
		case err == nil:
			return trimLineEnd(e.longLine), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			if len(e.longLine) > 0 && errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		case len(e.longLine) > maxLineBytes:
			return nil, &adapter.TooLargeError{Limit: maxLineBytes}
		}
	}
}

// trimLineEnd removes the line end, "\n" or "\r\n".
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}
