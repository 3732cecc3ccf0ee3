package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
)

// streamOutput writes an answer as server-sent events. The last token is held
// back until the kernel has ended the request, so that a caller that sees a
// finish_reason has a complete answer.
type streamOutput struct {
	front *Front
	w     http.ResponseWriter
	rc    *http.ResponseController
	ex    *driver.Exchange

	// eventPrefix is the part of each event before the value of "choices".
	eventPrefix   []byte
	buf           []byte
	headerWritten bool
	lastChoices   string
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
}

func newStreamOutput(f *Front, w http.ResponseWriter, ex *driver.Exchange) *streamOutput {
	return &streamOutput{
		front:       f,
		w:           w,
		rc:          http.NewResponseController(w),
		ex:          ex,
		eventPrefix: newIdentity(ex).eventPrefix(),
	}
}

// eventPrefix returns the part of each event before the value of "choices".
func (id identity) eventPrefix() []byte {
	object := objectCompletion
	if id.endpoint == adapter.Chat {
		object = objectChunk
	}
	head, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{id.id, object, id.created, id.model})
	out := append([]byte("data: "), head[:len(head)-1]...)
	return append(out, `,"choices":`...)
}

// Token implements driver.Output.
func (o *streamOutput) Token(c adapter.Chunk) error {
	o.writeHeader()
	if c.FinishReason != "" {
		o.lastChoices = c.Choices
		return nil
	}
	o.addChunk(c.Choices, nil)
	return o.flush()
}

// writeHeader writes the response header, unless that was done before.
func (o *streamOutput) writeHeader() {
	if o.headerWritten {
		return
	}
	o.headerWritten = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", api.HeaderOutcome)
	h.Set(api.HeaderRequestID, string(o.ex.Request.ID))
	if c := o.front.opts.Catalog(); c != nil {
		h.Set(api.HeaderBundleVersion, strconv.FormatUint(c.Version, 10))
	}
	o.w.WriteHeader(http.StatusOK)
}

// addChunk appends a chunk event to the buffer.
func (o *streamOutput) addChunk(choices string, usage []byte) {
	o.buf = append(o.buf, o.eventPrefix...)
	o.buf = append(o.buf, choices...)
	if usage != nil {
		o.buf = append(o.buf, `,"usage":`...)
		o.buf = append(o.buf, usage...)
	}
	o.buf = append(o.buf, "}\n\n"...)
}

// flush writes the buffer to the caller.
func (o *streamOutput) flush() error {
	o.renewWriteDeadline(time.Now())
	_, err := o.w.Write(o.buf)
	o.buf = o.buf[:0]
	if err != nil {
		return err
	}
	return o.rc.Flush()
}

// deadlineRenewals is how many times the write deadline is renewed within its
// time limit. Setting it for each token would cost more than formatting the
// token.
const deadlineRenewals = 4

// renewWriteDeadline renews the deadline for writes to the caller if it is due.
func (o *streamOutput) renewWriteDeadline(now time.Time) {
	limit := o.front.opts.Limits.WriteTimeout
	if now.Sub(o.deadlineSet) < limit/deadlineRenewals {
		return
	}
	o.deadlineSet = now
	// The error is ignored because response writers in tests support no
	// deadlines.
	_ = o.rc.SetWriteDeadline(now.Add(limit))
}

// finish ends the stream with the result of the request.
func (o *streamOutput) finish(res driver.Result, usage bool) {
	if res.Problem != nil && !o.headerWritten {
		o.front.writeProblem(o.w, o.ex.Request.ID, res)
		return
	}
	o.writeHeader()
	if res.Problem != nil {
		o.addProblem(res)
	} else {
		o.addEnd(res, usage)
	}
	o.w.Header().Set(api.HeaderOutcome, string(res.Outcome))
	if err := o.flush(); err != nil {
		o.front.opts.Log.Debug("end of stream not delivered", "request", o.ex.Request.ID, "error", err)
	}
}

// addEnd appends the last token, the usage if requested, and the end-of-stream
// marker. The outcome is an SSE comment within the marker's event, because some
// client libraries treat a comment on its own as an empty event.
func (o *streamOutput) addEnd(res driver.Result, usage bool) {
	o.addChunk(o.lastChoices, nil)
	if usage {
		text, _ := json.Marshal(answerUsage(o.ex, res.Decoded))
		o.addChunk("[]", text)
	}
	o.buf = append(o.buf, ": "+api.HeaderOutcome+": "+string(res.Outcome)+"\ndata: [DONE]\n\n"...)
}

// addProblem appends the error event of a stream that failed. No end-of-stream
// marker follows.
func (o *streamOutput) addProblem(res driver.Result) {
	p := *res.Problem
	p.RequestID = string(o.ex.Request.ID)
	p.BundleVersion = res.BundleVersion
	text, _ := json.Marshal(p.WithOpenAI())
	o.buf = append(o.buf, "event: error\ndata: "...)
	o.buf = append(o.buf, text...)
	o.buf = append(o.buf, "\n\n"...)
}
