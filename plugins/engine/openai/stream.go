package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/wardspool/wardspool/adapter"
)

// doneMark is the data of a stream's last event.
var doneMark = []byte("[DONE]")

// chunk is one chunk of a streamed answer.
type chunk struct {
	Choices json.RawMessage `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// choice is what the adapter reads of a chunk's choice.
type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// stream reads one attempt's output.
type stream struct {
	attempt string
	sink    adapter.Sink
	// next is the offset after the last token read.
	next   int
	finish string
	usage  json.RawMessage
	// chunk and choices are reused from token to token.
	chunk   chunk
	choices [1]choice
}

// readStream reads an attempt's output from token from on into sink, to its
// end. The output is whole when its last token named a reason to finish and the
// end mark came.
func readStream(body io.Reader, attempt string, from int, sink adapter.Sink) (adapter.Decoded, error) {
	s := &stream{attempt: attempt, sink: sink, next: from}
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			return adapter.Decoded{}, broken(cut(err))
		}
		if bytes.Equal(ev.data, doneMark) {
			return s.whole()
		}
		if err := s.take(ev); err != nil {
			return adapter.Decoded{}, err
		}
	}
}

// cut names the end of a stream that lacks its end mark.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// whole checks that the output is whole at its end mark.
func (s *stream) whole() (adapter.Decoded, error) {
	if s.finish == "" {
		return adapter.Decoded{}, broken(&adapter.ProtocolError{Part: "end without finish_reason"})
	}
	return adapter.Decoded{Tokens: s.next, FinishReason: s.finish, Usage: s.usage}, nil
}

// take handles one event before the end mark.
func (s *stream) take(ev event) error {
	s.chunk.Choices = s.chunk.Choices[:0]
	s.chunk.Usage = s.chunk.Usage[:0]
	s.chunk.Error = s.chunk.Error[:0]
	if err := json.Unmarshal(ev.data, &s.chunk); err != nil {
		return broken(&adapter.ProtocolError{Part: "chunk", Err: err})
	}
	if len(s.chunk.Error) > 0 {
		return broken(&adapter.UpstreamError{Code: "stream", Message: string(s.chunk.Error)})
	}
	if present(s.chunk.Usage) {
		s.usage = bytes.Clone(s.chunk.Usage)
	}
	if len(ev.id) == 0 {
		return nil
	}
	return s.token(ev.id)
}

// token hands on the token of a chunk that has an ID.
func (s *stream) token(id []byte) error {
	offset, ok := s.offset(id)
	if !ok {
		return broken(&adapter.ProtocolError{Part: "event ID"})
	}
	s.choices[0] = choice{}
	choices := s.choices[:]
	if err := json.Unmarshal(s.chunk.Choices, &choices); err != nil {
		return broken(&adapter.ProtocolError{Part: "choices", Err: err})
	}
	if len(choices) != 1 {
		return broken(&adapter.ProtocolError{Part: "number of choices"})
	}
	c := &choices[0]
	if c.FinishReason != nil {
		s.finish = *c.FinishReason
	}
	s.next = max(s.next, offset+1)
	return s.sink.Token(adapter.Chunk{
		Offset:       offset,
		Text:         c.Text + c.Delta.Content,
		Choices:      s.chunk.Choices,
		FinishReason: s.finish,
	})
}

// offset reads a token's offset from its event ID, "<attempt>:<offset>".
func (s *stream) offset(id []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(id, []byte(s.attempt))
	if !ok || len(rest) < 2 || rest[0] != ':' {
		return 0, false
	}
	n, err := strconv.Atoi(string(rest[1:]))
	return n, err == nil && n >= 0
}

// present reports whether a member is there and not null.
func present(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null"))
}
