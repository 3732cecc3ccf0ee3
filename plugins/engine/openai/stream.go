package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/wardspool/wardspool/adapter"
)

// doneMark is the data of the last event of a stream.
var doneMark = []byte("[DONE]")

// stream is the state of reading the output of one attempt.
type stream struct {
	attempt string
	sink    adapter.Sink
	// next is the offset after the last token read.
	next int
	// finish is the last finish_reason read, or empty if there was none.
	finish string
	// usage is the last usage object read, or nil if there was none.
	usage json.RawMessage
}

// readStream reads the output of an attempt, starting at token from, until its
// end and passes the tokens to sink. The output is complete if a token had a
// finish_reason and the stream ended with doneMark; anything else is an error.
func readStream(body io.Reader, attempt string, from int, sink adapter.Sink) (adapter.DecodeResult, error) {
	s := &stream{attempt: attempt, sink: sink, next: from}
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			return adapter.DecodeResult{}, brokenError(unexpectedEOF(err))
		}
		if bytes.Equal(ev.data, doneMark) {
			return s.result()
		}
		if err := s.handleEvent(ev); err != nil {
			return adapter.DecodeResult{}, err
		}
	}
}

// unexpectedEOF returns io.ErrUnexpectedEOF for an end of the stream without
// doneMark, and other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// result returns the result of a stream that has ended with doneMark, or an error
// if no token had a finish_reason.
func (s *stream) result() (adapter.DecodeResult, error) {
	if s.finish == "" {
		return adapter.DecodeResult{}, brokenError(&adapter.ProtocolError{Part: "[DONE] without a finish_reason"})
	}
	return adapter.DecodeResult{Tokens: s.next, FinishReason: s.finish, Usage: s.usage}, nil
}

// handleEvent handles one event before doneMark. Events without an ID carry no
// token.
func (s *stream) handleEvent(ev event) error {
	if !validChunk(ev.data) {
		return brokenError(&adapter.ProtocolError{Part: "chunk"})
	}
	if e := member(ev.data, "error"); e.Exists() {
		return brokenError(&adapter.UpstreamError{Code: "stream", Message: e.Raw})
	}
	if u := member(ev.data, "usage"); u.IsObject() {
		s.usage = json.RawMessage(u.Raw)
	}
	if len(ev.id) == 0 {
		return nil
	}
	return s.passToken(ev.id, member(ev.data, "choices"))
}

// maxRecursiveBytes bounds the chunks that gjson validates, as it takes stack for each level of nesting.
const maxRecursiveBytes = 16 << 10

// validChunk reports whether a chunk is valid JSON.
func validChunk(data []byte) bool {
	if len(data) > maxRecursiveBytes {
		return json.Valid(data)
	}
	return gjson.ValidBytes(data)
}

// member returns a member of a chunk. Only the member's value is copied, whereas
// parsing the whole chunk would copy all of it for each token. Most chunks do not
// contain the member's name at all, which is cheap to check first.
func member(chunk []byte, name string) gjson.Result {
	if !bytes.Contains(chunk, []byte(name)) {
		return gjson.Result{}
	}
	return gjson.GetBytes(chunk, name)
}

// passToken passes the token of a chunk with an event ID to the sink.
func (s *stream) passToken(id []byte, choices gjson.Result) error {
	offset, ok := s.offset(id)
	if !ok {
		return brokenError(&adapter.ProtocolError{Part: "event ID"})
	}
	choice, ok := onlyChoice(choices)
	if !ok {
		return brokenError(&adapter.ProtocolError{Part: "choices"})
	}
	finish := choice.Get("finish_reason").String()
	if finish != "" {
		s.finish = finish
	}
	s.next = max(s.next, offset+1)
	return s.sink.Token(adapter.Chunk{
		Offset:       offset,
		Text:         choice.Get("text").String() + choice.Get("delta.content").String(),
		Choices:      choices.Raw,
		FinishReason: finish,
	})
}

// onlyChoice returns the choice of a chunk that has exactly one, and reports
// false for any other number of choices.
func onlyChoice(choices gjson.Result) (choice gjson.Result, ok bool) {
	count := 0
	if choices.IsArray() {
		choices.ForEach(func(_, c gjson.Result) bool {
			choice = c
			count++
			return count == 1
		})
	}
	return choice, count == 1 && choice.IsObject()
}

// offset parses the offset of a token from its event ID, "<attempt>:<offset>". It
// reports false if the ID has another format or is that of another attempt.
func (s *stream) offset(id []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(id, []byte(s.attempt))
	if !ok || len(rest) < 2 || rest[0] != ':' {
		return 0, false
	}
	n, err := strconv.Atoi(string(rest[1:]))
	return n, err == nil && n >= 0
}
