package carry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/memory"
)

// parsedEvent is an event as a caller sees it.
type parsedEvent struct{ id, data string }

// parseEvents interprets a stream as the HTML standard says. open means that the stream ends inside an event.
func parseEvents(stream string) (events []parsedEvent, open bool) {
	stream = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(strings.TrimPrefix(stream, "\ufeff"))
	id, data := "", []string(nil)
	lines := strings.Split(stream, "\n")
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		open = line != "" && (open || name != "")
		switch {
		case line == "" && data != nil:
			events = append(events, parsedEvent{id, strings.Join(data, "\n")})
			data = nil
		case name == "id":
			id = value
		case name == "data":
			data = append(data, value)
		}
	}
	return events, open || lines[len(lines)-1] != ""
}

// lineEndings lists the ends of the lines of an event, the blank one last. Lines of a stream may end differently.
var lineEndings = map[string][]string{
	"LF": {"\n"}, "CR LF": {"\r\n"}, "CR": {"\r"}, "LF, blank CR LF": {"\n", "\n", "\r\n"}, "CR LF, blank LF": {"\r\n", "\r\n", "\n"},
	"CR, blank LF": {"\r\n", "\r", "\r\n"}, "LF, blank CR": {"\n", "\n", "\r"}, "CR LF, blank CR": {"\r\n", "\r\n", "\r"},
	"CR, blank CR LF": {"\r", "\r", "\r\n"},
}

// numberedStream returns a stream of events from to to whose lines end with the given ends in turn.
func numberedStream(from, to int, ends []string) string {
	text := ""
	for i := from; i <= to; i++ {
		for n, line := range []string{fmt.Sprintf("id: %d", i), "data: x", ""} {
			text += line + ends[n%len(ends)]
		}
	}
	return text
}

// streamTexts are streams of a sound engine.
func streamTexts() map[string]string {
	texts := map[string]string{
		"comments":           ": a\n\nid: 1\n: b\ndata: x\n\n: c\n\n: d\n\nid: 2\ndata: x\n\n: e\n\nid: 3\ndata: x\n\n: f\n\n",
		"comments, CR LF":    ": a\r\n\r\nid: 1\r\n: b\r\ndata: x\r\n\r\n: c\r\n\r\nid: 2\r\ndata: x\r\n\r\n: d\r\n",
		"blank lines":        "\n\nid: 1\ndata: x\n\n\n\nid: 2\ndata: x\n\n\n",
		"blank lines, CR LF": "\r\n\r\nid: 1\r\ndata: x\r\n\r\n\r\nid: 2\r\ndata: x\r\n\r\n\r\n",
		"several data lines": "id: 1\ndata: x\ndata:\ndata: : y\n\nid: 2\ndata: id: 7\ndata: z\n\n",
		"id last":            "data: x\nid: 1\n\ndata: y\nid: 2\n\ndata: z\nid: 3\n\n",
		"id with blanks":     "id:  1 \ndata: x\n\nid:2\ndata: y\n\n",
		"version changes":    "id: 1\ndata: x\n\nweight-versions: 2\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
		"from zero":          "id: 0\ndata: x\n\nid: 1\ndata: x\n\n",
		"mixed":              "id: 1\r\ndata: x\n\r\nid: 2\rdata: x\r\rid: 3\ndata: x\r\n\nid: 4\r\ndata: x\r\n\r\n",
	}
	for name, ends := range lineEndings {
		texts[name] = numberedStream(1, 3, ends)
	}
	return texts
}

// partsReader returns one part of a stream for each read, and err after the last one, with it if together is set.
type partsReader struct {
	parts    []string
	err      error
	together bool
}

func (r *partsReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, r.err
	}
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	if len(r.parts) == 0 && r.together {
		return n, r.err
	}
	return n, nil
}

// splits returns a stream in single bytes, in pairs, and in two and three parts in all ways.
func splits(text string) [][]string {
	out := [][]string{{text}, strings.Split(text, "")}
	var pairs []string
	for part := range slices.Chunk([]byte(text), 2) {
		pairs = append(pairs, string(part))
	}
	out = append(out, pairs)
	for i := 1; i < len(text); i++ {
		out = append(out, []string{text[:i], text[i:]})
		for j := i + 1; j < len(text); j++ {
			out = append(out, []string{text[:i], text[i:j], text[j:]})
		}
	}
	return out
}

// TestSplitsOfAStreamChangeNoEvent guards against an event that is joined with another one, lost or delivered in part
// because of how a stream arrives.
func TestSplitsOfAStreamChangeNoEvent(t *testing.T) {
	budget := memory.NewBudget(1 << 30)
	for name, text := range streamTexts() {
		t.Run(name, func(t *testing.T) {
			want, _ := parseEvents(text)
			for i, parts := range splits(text) {
				account := budget.Open("caller")
				delivered := ""
				body := &partsReader{parts: parts, err: io.EOF, together: i%2 == 0}
				rest, err := readEvents(body, account, func() {}, func(events []byte) error {
					delivered += string(events)
					_, open := parseEvents(delivered)
					assert.Assert(t, !open, "%q of %q", delivered, parts)
					return nil
				})
				assert.NilError(t, err)
				assert.Equal(t, delivered+string(rest), text)
				got, _ := parseEvents(delivered + string(rest))
				assert.Assert(t, slices.Equal(got, want), "%q: %q", parts, got)
				assert.NilError(t, bodyEnd{framing: framedByChunks, rest: rest}.check())
				account.Close()
			}
		})
	}
}

// TestRunThatBreaksOffAnywhereIsContinued guards against a stream with an event missing, twice or joined with another
// one, because its first run ended at some byte.
func TestRunThatBreaksOffAnywhereIsContinued(t *testing.T) {
	for name, text := range streamTexts() {
		t.Run(name, func(t *testing.T) {
			want, _ := parseEvents(text)
			for end := range len(text) + 1 {
				env := newStreamEnv(t)
				env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: text[:end], breaks: true})
				var got streamRecorder
				lastEvent := ""
				env.o.Count = func(name string) {
					if name == "stream_restarted" {
						received, open := parseEvents(got.body.String())
						assert.Check(t, !open, "%q", got.body.String())
						if len(received) > 0 {
							lastEvent = strings.TrimSpace(received[len(received)-1].id)
						}
						rest := ""
						for _, e := range want[len(received):] {
							rest += "id: " + e.id + "\ndata: " + strings.ReplaceAll(e.data, "\n", "\ndata: ") + "\n\n"
						}
						env.d.mu.Lock()
						defer env.d.mu.Unlock()
						env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: rest})
					}
				}
				_, err := env.Stream(t.Context(), job(resumable), &got)
				assert.NilError(t, err)
				assert.Equal(t, env.d.sends[1].LastEvent, lastEvent)
				all, open := parseEvents(got.body.String())
				assert.Assert(t, !open)
				assert.Assert(t, slices.Equal(all, want), "%q: %q", text[:end], all)
			}
		})
	}
}

// TestCutBodyIsNotComplete guards against a stream that ends as complete inside an event.
func TestCutBodyIsNotComplete(t *testing.T) {
	for name, text := range streamTexts() {
		t.Run(name, func(t *testing.T) {
			for end := range len(text) {
				env := newStreamEnv(t)
				env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: text[:end]})
				var got streamRecorder
				_, err := env.Stream(t.Context(), job(singleRun), &got)
				_, open := parseEvents(text[:end])
				if open {
					var interrupted *InterruptedError
					var failed *Error
					assert.Check(t, errors.As(err, &interrupted) || errors.As(err, &failed), "%q: %v", text[:end], err)
				} else {
					assert.Check(t, err, "%q", text[:end])
				}
				_, open = parseEvents(got.body.String())
				assert.Check(t, !open, "%q", got.body.String())
			}
		})
	}
}

// restBody is the body of a sound engine that continues a stream: it goes on after the Last-Event-Id of the last
// request sent.
type restBody struct {
	env    *testEnv
	to     int
	ends   []string
	reader io.Reader
}

func (b *restBody) Read(p []byte) (int, error) {
	if b.reader == nil {
		b.env.d.mu.Lock()
		last, err := strconv.Atoi(b.env.d.sends[len(b.env.d.sends)-1].LastEvent)
		b.env.d.mu.Unlock()
		if err != nil {
			return 0, err
		}
		b.reader = strings.NewReader(numberedStream(last+1, b.to, b.ends))
	}
	return b.reader.Read(p)
}

// TestMoveThatCutsAnEventAnywhereIsContinued guards against a stream with an event missing, twice or joined with
// another one, because its engine was stopped for a move at some byte while it still sent.
func TestMoveThatCutsAnEventAnywhereIsContinued(t *testing.T) {
	for name, ends := range lineEndings {
		for _, orderly := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ended in order %v", name, orderly), func(t *testing.T) {
				sent := numberedStream(3, 4, ends)
				for end := range len(sent) + 1 {
					env := startStreamAtD1(t, singleRun)
					env.d.mu.Lock()
					env.d.do["d2"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: io.NopCloser(&restBody{env: env.testEnv, to: 5, ends: ends})}}
					env.d.stopped = func() {
						_, _ = io.WriteString(env.body.w, sent[:end])
						if orderly {
							_ = env.body.w.Close()
							return
						}
						_ = env.body.w.CloseWithError(io.ErrUnexpectedEOF)
					}
					env.d.mu.Unlock()
					env.migrate(t)
					<-env.ended
					assert.NilError(t, env.err, "%q", sent[:end])
					want, _ := parseEvents(events(1, 5))
					got, open := parseEvents(env.got.body.String())
					assert.Assert(t, !open && slices.Equal(got, want), "%q: %q", sent[:end], env.got.body.String())
				}
			})
		}
	}
}
