package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// reader is the one connection that reads an attempt's answer.
type reader struct {
	// changed has a token when there may be news.
	changed chan struct{}
	// replaced is closed when another reader takes over.
	replaced chan struct{}
}

// poke tells the reader that there may be news.
func (rd *reader) poke() {
	select {
	case rd.changed <- struct{}{}:
	default:
	}
}

// progress is how far an attempt's generation has come.
type progress struct {
	next    int // tokens before this offset are generated
	over    bool
	failure *failure // why it ended early, nil otherwise
}

// attach makes a new reader the attempt's only one.
func (e *Engine) attach(a *attempt) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reader != nil {
		close(a.reader.replaced)
	}
	a.reader = &reader{changed: make(chan struct{}, 1), replaced: make(chan struct{})}
	return a.reader
}

// detach drops the reader unless another has taken over.
func (e *Engine) detach(a *attempt, rd *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reader == rd {
		a.reader = nil
	}
}

// progress returns how far a's generation has come.
func (e *Engine) progress(a *attempt) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{next: a.next, over: !a.running(), failure: a.failure}
}

// serveResume answers GET /v1/streams/{attempt}: it goes on with a stream after
// the event named by Last-Event-ID, or from its start.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["attempt"]
	e.mu.Lock()
	a := e.life.attempts[id]
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
	e.stream(w, r, a, from)
}

// resumeOffset returns the offset after the event with the given ID, and false
// if the attempt has no such event. An empty ID stands for none received.
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

// stream sends the tokens from an offset on as server-sent events, as they are
// generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
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
			s.token(next)
		}
		if p.over {
			s.finish(p)
			return
		}
		if s.flush() != nil {
			return
		}
		select {
		case <-rd.changed:
		case <-rd.replaced:
			control.Drop()
		case <-r.Context().Done():
			return
		}
		p = e.progress(a)
	}
}

// eventStream writes an answer as server-sent events.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	a       *attempt
	// head and tail enclose the token in the JSON of a chunk; lastTail is the
	// tail of the last one.
	head, tail, lastTail string
	buf                  []byte
}

// tokenMark stands for the token in the JSON from which head and tail are cut.
const tokenMark = "@"

// newEventStream sends the head of the response.
func newEventStream(w http.ResponseWriter, a *attempt) *eventStream {
	s := &eventStream{w: w, control: http.NewResponseController(w), a: a}
	s.head, s.tail = splitAtToken(a.chunk(nil))
	finish := finishLength
	_, s.lastTail = splitAtToken(a.chunk(&finish))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(HeaderAttempt, a.id)
	w.WriteHeader(http.StatusOK)
	return s
}

// splitAtToken cuts the JSON of a chunk at its token. The ID and the model are
// marshaled in it too and may hold the mark, so the last one counts: the token
// comes after them.
func splitAtToken(chunk CompletionResponse) (head, tail string) {
	// A chunk has no member that can fail to marshal.
	text, _ := json.Marshal(chunk)
	at := strings.LastIndex(string(text), tokenMark)
	return string(text[:at]), string(text[at+len(tokenMark):])
}

// chunk returns one chunk of the streamed answer, with tokenMark as its token.
func (a *attempt) chunk(finish *string) CompletionResponse {
	out := CompletionResponse{ID: a.id, Created: a.since.Unix(), Model: a.model}
	choice := Choice{FinishReason: finish}
	if a.form == formatChat {
		out.Object = objectChunk
		choice.Delta = &Delta{Role: roleAssistant, Content: tokenMark}
	} else {
		out.Object = objectCompletion
		mark := tokenMark
		choice.Text = &mark
	}
	out.Choices = []Choice{choice}
	return out
}

// token adds the event of one token to the buffer.
func (s *eventStream) token(offset int) {
	tail := s.tail
	if offset == s.a.to-1 {
		tail = s.lastTail
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = append(s.buf, s.a.id...)
	s.buf = append(s.buf, ':')
	s.buf = strconv.AppendInt(s.buf, int64(offset), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = s.a.prompt.AppendToken(s.buf, offset)
	s.buf = append(s.buf, tail...)
	s.buf = append(s.buf, "\n\n"...)
}

// flush sends what is in the buffer.
func (s *eventStream) flush() error {
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	s.buf = s.buf[:0]
	return s.control.Flush()
}

// finish ends the stream: a whole answer by its usage and the end mark, an
// aborted one by an error event, and one that failed by a closed connection.
func (s *eventStream) finish(p progress) {
	switch {
	case p.failure == nil:
		s.data(CompletionResponse{
			ID:      s.a.id,
			Object:  s.a.chunk(nil).Object,
			Created: s.a.since.Unix(),
			Model:   s.a.model,
			Choices: []Choice{},
			Usage:   s.a.usage(s.a.to - s.a.from),
		})
		s.buf = append(s.buf, "data: [DONE]\n\n"...)
	case p.failure == &failureAborted:
		s.data(control.NewError(p.failure.status, p.failure.code, p.failure.message))
	default:
		// What was generated is sent first, as by an engine that dies.
		_ = s.flush()
		control.Drop()
	}
	// A reader that has left is not the engine's concern.
	_ = s.flush()
}

// data adds an event without an ID to the buffer.
func (s *eventStream) data(v any) {
	text, _ := json.Marshal(v)
	s.buf = append(s.buf, "data: "...)
	s.buf = append(s.buf, text...)
	s.buf = append(s.buf, "\n\n"...)
}
