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

// doneMark is the data of a stream's last event.
var doneMark = []byte("[DONE]")

// stream reads one attempt's output.
type stream struct {
	attempt string
	sink    adapter.Sink
	// next is the offset after the last token read.
	next   int
	finish string
	usage  json.RawMessage
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
	if !gjson.ValidBytes(ev.data) {
		return broken(&adapter.ProtocolError{Part: "chunk"})
	}
	if e := member(ev.data, "error"); e.Exists() {
		return broken(&adapter.UpstreamError{Code: "stream", Message: e.Raw})
	}
	if u := member(ev.data, "usage"); u.IsObject() {
		s.usage = json.RawMessage(u.Raw)
	}
	if len(ev.id) == 0 {
		return nil
	}
	return s.token(ev.id, member(ev.data, "choices"))
}

// member returns a member of a chunk. It copies only what it finds, while parsing
// the chunk as a whole would copy all of it for each token; and most chunks show
// at a glance that they don't have it.
func member(chunk []byte, name string) gjson.Result {
	if !bytes.Contains(chunk, []byte(name)) {
		return gjson.Result{}
	}
	return gjson.GetBytes(chunk, name)
}

// token hands on the token of a chunk that has an ID.
func (s *stream) token(id []byte, choices gjson.Result) error {
	offset, ok := s.offset(id)
	if !ok {
		return broken(&adapter.ProtocolError{Part: "event ID"})
	}
	choice, ok := only(choices)
	if !ok {
		return broken(&adapter.ProtocolError{Part: "choices"})
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

// only returns the only choice of a chunk.
func only(choices gjson.Result) (choice gjson.Result, ok bool) {
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

// offset reads a token's offset from its event ID, "<attempt>:<offset>".
func (s *stream) offset(id []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(id, []byte(s.attempt))
	if !ok || len(rest) < 2 || rest[0] != ':' {
		return 0, false
	}
	n, err := strconv.Atoi(string(rest[1:]))
	return n, err == nil && n >= 0
}
