package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/wardspool/wardspool/api"
)

// Line prefixes and the end marker of a stream of server-sent events.
var (
	dataPrefix    = []byte("data: ")
	errorEvent    = []byte("event: error")
	commentPrefix = []byte(": ")
	endMarker     = []byte("[DONE]")
)

// maxLine is the maximum length of a line of a stream, in bytes.
const maxLine = 1 << 20

// initialLine is the initial size of a stream's line buffer, in bytes.
const initialLine = 2 << 10

// chunk holds the fields that are read from a chunk of a streamed completion.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream reads one streamed answer.
type stream struct {
	result *Result
	text   strings.Builder
	ended  bool
	failed bool
}

// read reads the stream to its end. It returns a *ConnError if the connection is
// lost and a *ProtocolError if the stream is invalid.
func (s *stream) read(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, initialLine), maxLine)
	for lines.Scan() {
		if err := s.line(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return &ConnError{Sent: true, Err: err}
	}
	if outcome := resp.Trailer.Get(api.HeaderOutcome); outcome != "" {
		s.result.Outcome = api.Outcome(outcome)
	}
	return s.checkEnd()
}

// checkEnd checks that the stream ended with an end marker and an outcome, or with
// a problem document.
func (s *stream) checkEnd() error {
	switch {
	case s.result.Problem != nil:
		return nil
	case !s.ended:
		return &ConnError{Sent: true, Err: &ProtocolError{Detail: "the stream broke off"}}
	case s.result.Outcome == "":
		return &ProtocolError{Detail: "an answer without an outcome"}
	default:
		return nil
	}
}

// line processes one line of the stream.
func (s *stream) line(line []byte) error {
	if bytes.Equal(line, errorEvent) {
		s.failed = true
		return nil
	}
	if comment, ok := bytes.CutPrefix(line, commentPrefix); ok {
		s.comment(comment)
		return nil
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	switch {
	case !ok:
		return nil
	case s.ended:
		return &ProtocolError{Detail: "output after the end mark"}
	case s.failed:
		return s.result.setProblem(data)
	case bytes.Equal(data, endMarker):
		s.ended = true
		return nil
	default:
		return s.chunk(data)
	}
}

// comment reads the outcome, which is sent as an SSE comment before the end
// marker.
func (s *stream) comment(text []byte) {
	name, value, ok := bytes.Cut(text, []byte(": "))
	if ok && string(name) == api.HeaderOutcome {
		s.result.Outcome = api.Outcome(value)
	}
}

// chunk decodes a chunk and appends its text.
func (s *stream) chunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return &ProtocolError{Detail: "a chunk that is no JSON: " + err.Error()}
	}
	for _, choice := range c.Choices {
		if text := choice.Text + choice.Delta.Content; text != "" {
			s.text.WriteString(text)
			s.result.countToken(time.Now())
		}
	}
	return nil
}
