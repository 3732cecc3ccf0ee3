package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// reader is the single connection that reads an attempt's answer.
type reader struct {
	// changed signals that the attempt's progress may have changed.
	changed chan struct{}
	// replaced is closed when another reader replaces this one.
	replaced chan struct{}
}

// notify signals the reader that the attempt's progress may have changed.
func (rd *reader) notify() {
	select {
	case rd.changed <- struct{}{}:
	default:
	}
}

// progress is a snapshot of an attempt's progress.
type progress struct {
	next    int // offset of the next token to generate
	ended   bool
	failure *failure // reason for an early end, nil otherwise
}

// attach adds a reader to the attempt and replaces the previous one, if any.
func (e *Engine) attach(a *attempt) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reader != nil {
		close(a.reader.replaced)
	}
	a.reader = &reader{changed: make(chan struct{}, 1), replaced: make(chan struct{})}
	return a.reader
}

// detach removes the reader, unless another one has replaced it.
func (e *Engine) detach(a *attempt, rd *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reader == rd {
		a.reader = nil
	}
}

// progress returns a snapshot of a's progress.
func (e *Engine) progress(a *attempt) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{next: a.next, ended: !a.running(), failure: a.failure}
}

// serveResume handles GET /v1/streams/{attempt}: it resumes a stream after the
// event named by Last-Event-ID, or from the start if there is none.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["attempt"]
	e.mu.Lock()
	a := e.state.attempts[id]
	e.mu.Unlock()
	if a == nil || a.prefillOnly {
		control.WriteError(w, http.StatusNotFound, control.CodeNotFound, "no such stream")
		return
	}
	from, ok := a.resumeOffset(r.Header.Get(HeaderLastEvent))
	if !ok {
		invalid("%s doesn't name an event of this stream", HeaderLastEvent).write(w)
		return
	}
	select {
	case <-a.ready:
	case <-r.Context().Done():
		return
	}
	e.streamAnswer(w, r, a, from)
}

// resumeOffset returns the token offset after the event with the given ID, or
// false if the attempt has no such event. An empty ID means that no event was
// received.
func (a *attempt) resumeOffset(event string) (int, bool) {
	if event == "" {
		return a.from, true
	}
	offset, found := strings.CutPrefix(event, a.id+":")
	n, err := strconv.Atoi(offset)
	if !found || err != nil || n < a.from || n >= a.to {
		return 0, false
	}
	return n + 1, true
}

// streamAnswer sends the tokens from an offset on as server-sent events while
// they are generated.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	rd := e.attach(a)
	defer e.detach(a, rd)
	p := e.progress(a)
	if p.failure != nil && p.next == a.from {
		p.failure.write(w)
		return
	}
	s := newEventStream(w, a)
	next := from
	for {
		for ; next < p.next; next++ {
			s.addToken(next)
		}
		if p.ended {
			s.finish(p)
			return
		}
		if s.flush() != nil {
			return
		}
		select {
		case <-rd.changed:
		case <-rd.replaced:
			control.AbortConnection()
		case <-r.Context().Done():
			return
		}
		p = e.progress(a)
	}
}

// eventStream writes an answer as server-sent events.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	attempt    *attempt
	// head and tail are the JSON of a chunk before and after its token; lastTail
	// is the tail of the last chunk.
	head, tail, lastTail string
	buf                  []byte
}

// tokenPlaceholder stands for the token in the JSON template of a chunk.
const tokenPlaceholder = "@"

// newEventStream writes the response header and returns the stream.
func newEventStream(w http.ResponseWriter, a *attempt) *eventStream {
	s := &eventStream{w: w, controller: http.NewResponseController(w), attempt: a}
	s.head, s.tail = splitAtToken(a.chunk(nil))
	finish := finishLength
	_, s.lastTail = splitAtToken(a.chunk(&finish))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(HeaderAttempt, a.id)
	w.WriteHeader(http.StatusOK)
	return s
}

// splitAtToken splits the JSON of a chunk at the token's placeholder. It uses
// the last occurrence, because the ID and the model come before the token and
// may contain the placeholder too.
func splitAtToken(chunk CompletionResponse) (head, tail string) {
	// A chunk has no field that can fail to marshal.
	text, _ := json.Marshal(chunk)
	at := strings.LastIndex(string(text), tokenPlaceholder)
	return string(text[:at]), string(text[at+len(tokenPlaceholder):])
}

// chunk returns a chunk of the streamed answer with tokenPlaceholder as its
// token.
func (a *attempt) chunk(finish *string) CompletionResponse {
	out := CompletionResponse{ID: a.id, Created: a.receivedAt.Unix(), Model: a.model}
	choice := Choice{FinishReason: finish}
	if a.format == formatChat {
		out.Object = objectChunk
		choice.Delta = &Delta{Role: roleAssistant, Content: tokenPlaceholder}
	} else {
		out.Object = objectCompletion
		text := tokenPlaceholder
		choice.Text = &text
	}
	out.Choices = []Choice{choice}
	return out
}

// addToken appends the event of one token to the buffer.
func (s *eventStream) addToken(offset int) {
	tail := s.tail
	if offset == s.attempt.to-1 {
		tail = s.lastTail
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = append(s.buf, s.attempt.id...)
	s.buf = append(s.buf, ':')
	s.buf = strconv.AppendInt(s.buf, int64(offset), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = s.attempt.prompt.AppendToken(s.buf, offset)
	s.buf = append(s.buf, tail...)
	s.buf = append(s.buf, "\n\n"...)
}

// flush sends the buffer.
func (s *eventStream) flush() error {
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	s.buf = s.buf[:0]
	return s.controller.Flush()
}

// finish ends the stream. A complete answer ends with its usage and [DONE], an
// aborted one with an error event, and a failed one with a closed connection.
func (s *eventStream) finish(p progress) {
	switch {
	case p.failure == nil:
		s.addData(CompletionResponse{
			ID:      s.attempt.id,
			Object:  s.attempt.chunk(nil).Object,
			Created: s.attempt.receivedAt.Unix(),
			Model:   s.attempt.model,
			Choices: []Choice{},
			Usage:   s.attempt.usage(s.attempt.to - s.attempt.from),
		})
		s.buf = append(s.buf, "data: [DONE]\n\n"...)
	case p.failure == &failureAborted:
		s.addData(control.NewError(p.failure.status, p.failure.code, p.failure.message))
	default:
		// Send the generated tokens first, as a real engine would have done
		// before it failed.
		_ = s.flush()
		control.AbortConnection()
	}
	// Ignore the error: the reader has disconnected, which doesn't affect the
	// attempt.
	_ = s.flush()
}

// addData appends an event without an ID to the buffer.
func (s *eventStream) addData(v any) {
	text, _ := json.Marshal(v)
	s.buf = append(s.buf, "data: "...)
	s.buf = append(s.buf, text...)
	s.buf = append(s.buf, "\n\n"...)
}
