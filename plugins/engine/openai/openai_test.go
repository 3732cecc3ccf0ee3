package openai

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// texts is a sink that records the text of each token and the last finish reason.
type texts struct {
	got  []string
	last string
}

func (s *texts) Token(c adapter.Chunk) error {
	s.got = append(s.got, c.Text)
	s.last = c.FinishReason
	return nil
}

// newEngine starts a server with handler h in the role of an engine. It returns
// an adapter and the target for attempt a.1.1.rs.
func newEngine(t *testing.T, h http.HandlerFunc) (*Engine, adapter.Target) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	e := &Engine{}
	assert.NilError(t, e.Provision())
	t.Cleanup(func() { assert.NilError(t, e.Cleanup()) })
	return e, adapter.Target{
		Attempt: ident.AttemptID{Instance: "a", Incarnation: 1, Sequence: 1, Deadline: time.UnixMilli(1000)},
		Request: "r-1",
		Address: strings.TrimPrefix(srv.URL, "http://"),
	}
}

const attempt = "a.1.1.rs"

// tokenEvent returns the server-sent event of a token. finish is a JSON value.
func tokenEvent(offset, text, finish string) string {
	return "id: " + attempt + ":" + offset + "\ndata: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":" + finish + "}]}\n\n"
}

func TestDecode(t *testing.T) {
	e, target := newEngine(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		assert.Check(t, string(body) == `{"model":"m","max_tokens":7,"stream":true,"stream_options":{"include_usage":true},`+
			`"priority":3,"continue_from":1,"kv_transfer_params":{"x":1},"prompt":"p \u00e9","temperature":0.5}`, string(body))
		assert.Check(t, r.Header.Get(headerAttempt) == attempt)
		assert.Check(t, r.Header.Get(headerCorrelation) == "r-1")
		w.Header().Set(headerLoad, `JSON {"named_metrics":{"num_requests_running":4,"slots":20,"draining":1}}`)
		_, _ = io.WriteString(w, ": comment\r\n\r\n"+tokenEvent("1", "b", "null")+strings.ReplaceAll(tokenEvent("2", "c", `"stop"`), "\n", "\r\n")+
			`data: {"choices":[],"usage":{"completion_tokens":2}}`+"\n\ndata: [DONE]\n\n")
	})
	var seen adapter.Observation
	target.Observe = func(o adapter.Observation) { seen = o }
	sink := &texts{}
	got, err := e.Decode(t.Context(), &adapter.DecodeCall{
		Target: target,
		Model: &adapter.ModelRequest{
			Endpoint: adapter.Completions, Model: "m", MaxTokens: 7, Priority: 3,
			Fields: []adapter.Field{
				{Name: "max_completion_tokens", Raw: []byte("99")},
				{Name: "model", Raw: []byte(`"other"`)},
				{Name: "prompt", Raw: []byte(`"p \u00e9"`)},
				{Name: "temperature", Raw: []byte("0.5")},
			},
		},
		Params: []byte(`{"x":1}`), ContinueFrom: 1,
	}, sink)
	assert.NilError(t, err)
	assert.DeepEqual(t, sink.got, []string{"b", "c"})
	assert.Equal(t, got.Tokens, 3)
	assert.Equal(t, got.FinishReason, "stop")
	assert.Equal(t, string(got.Usage), `{"completion_tokens":2}`)
	assert.Equal(t, seen.Load.Running, 4)
	assert.Assert(t, seen.Draining)
}

func TestStreamsThatAreNotWhole(t *testing.T) {
	for name, body := range map[string]string{
		"empty":               "",
		"no end mark":         tokenEvent("0", "a", `"stop"`),
		"end too early":       tokenEvent("0", "a", "null") + "data: [DONE]\n\n",
		"cut in an event":     tokenEvent("0", "a", "null") + "id: " + attempt + ":1\n",
		"cut in a line":       tokenEvent("0", "a", "null") + "da",
		"error":               tokenEvent("0", "a", "null") + "data: {\"error\":{\"code\":\"aborted\"}}\n\n",
		"not JSON":            "data: {\n\n",
		"another's token":     "id: b.1.1.rs:0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n",
		"offset not a number": "id: " + attempt + ":x\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n",
		"negative offset":     "id: " + attempt + ":-1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n",
		"two choices":         "id: " + attempt + ":0\ndata: {\"choices\":[{\"text\":\"a\"},{\"text\":\"b\"}]}\n\n",
		"no choice":           "id: " + attempt + ":0\ndata: {\"choices\":[]}\n\n",
		"endless line":        "data: " + strings.Repeat("x", maxLineBytes+streamBufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readStream(strings.NewReader(body), attempt, 0, &texts{})
			var e *adapter.CallError
			assert.Assert(t, errors.As(err, &e))
			assert.Equal(t, e.Evidence, kernel.Ambiguous)
			assert.Equal(t, e.Code, kernel.FailureBroken)
		})
	}
}

func TestRefusals(t *testing.T) {
	for code, want := range map[string]errorMeaning{
		"not_started":     {kernel.Refused, kernel.FailureCapacity},
		"draining":        {kernel.Refused, kernel.FailureDraining},
		"model_not_found": {kernel.Refused, kernel.FailureModel},
		"kv_missing":      {kernel.Refused, kernel.FailureKVMissing},
		"internal":        {kernel.Ambiguous, kernel.FailureUpstream},
		"":                {kernel.Ambiguous, kernel.FailureUpstream},
	} {
		t.Run(code, func(t *testing.T) {
			e, target := newEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"error":{"message":"m","code":"`+code+`"}}`)
			})
			_, err := e.Prefill(t.Context(), &adapter.PrefillCall{Target: target, Model: &adapter.ModelRequest{}})
			got := callError(t, err)
			assert.Equal(t, got.Evidence, want.evidence)
			assert.Equal(t, got.Code, want.code)
			assert.Equal(t, got.RetryAfter, 2*time.Second)
		})
	}
}

func TestRefusalOfAnotherForm(t *testing.T) {
	for _, body := range []string{"", "<html>", `{"error":"not_started"}`, `{"error":{"code":503}}`} {
		e, target := newEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, body)
		})
		_, err := e.Prefill(t.Context(), &adapter.PrefillCall{Target: target, Model: &adapter.ModelRequest{}})
		assert.Equal(t, callError(t, err).Evidence, kernel.Ambiguous, body)
	}
}

func TestPrefill(t *testing.T) {
	e, target := newEngine(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == pathChat)
		_, _ = io.WriteString(w, `{"kv_transfer_params":{"remote":1},"usage":{"prompt_tokens_details":{"cached_tokens":5}}}`)
	})
	got, err := e.Prefill(t.Context(), &adapter.PrefillCall{Target: target, Model: &adapter.ModelRequest{Endpoint: adapter.Chat}})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Params), `{"remote":1}`)
	assert.Equal(t, got.CachedTokens, 5)
}

func TestPrefillWithoutParams(t *testing.T) {
	for _, body := range []string{`{}`, `{"kv_transfer_params":null}`, `{`, ""} {
		e, target := newEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := e.Prefill(t.Context(), &adapter.PrefillCall{Target: target, Model: &adapter.ModelRequest{}})
		assert.Equal(t, callError(t, err).Code, kernel.FailureBroken, body)
	}
}

// TestReattachIsNeverUnsent checks that a failed reattachment is ambiguous even
// if the call could not be sent, since the attempt itself was sent before and may
// have run.
func TestReattachIsNeverUnsent(t *testing.T) {
	e, target := newEngine(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	target.Address = l.Addr().String()
	_, err = e.Reattach(t.Context(), &adapter.ReattachCall{Target: target, Offset: 3}, &texts{})
	assert.Equal(t, callError(t, err).Evidence, kernel.Ambiguous)
}

func TestReattach(t *testing.T) {
	e, target := newEngine(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == pathStreams+attempt)
		assert.Check(t, r.Header.Get(headerLastEvent) == attempt+":2")
		_, _ = io.WriteString(w, tokenEvent("3", "d", `"length"`)+"data: [DONE]\n\n")
	})
	got, err := e.Reattach(t.Context(), &adapter.ReattachCall{Target: target, Offset: 3}, &texts{})
	assert.NilError(t, err)
	assert.Equal(t, got.Tokens, 4)
}

func TestCancel(t *testing.T) {
	e, target := newEngine(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, r.URL.Path == pathAbort && string(body) == `{"rid":"`+attempt+`"}`)
		_, _ = io.WriteString(w, `{"released":true}`)
	})
	assert.NilError(t, e.Cancel(t.Context(), &target))
}

// FuzzStream checks that arbitrary input results either in an error or in an
// output with tokens and a finish reason.
func FuzzStream(f *testing.F) {
	f.Add([]byte(tokenEvent("0", "a", "null") + tokenEvent("1", "b", `"stop"`) + "data: [DONE]\n\n"))
	f.Add([]byte("id: " + attempt + ":0\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\r\n\r\n"))
	f.Add([]byte("data: [DONE]\n\n: c\n\nevent: error\ndata: {}\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sink := &texts{}
		got, err := readStream(strings.NewReader(string(data)), attempt, 0, sink)
		if err != nil {
			return
		}
		if got.FinishReason == "" || len(sink.got) == 0 || got.Tokens <= 0 {
			t.Fatalf("incomplete stream accepted as complete: %+v", got)
		}
	})
}

// FuzzLoad checks that parsing an arbitrary load report does not panic, and that
// a rejected report gives no observation.
func FuzzLoad(f *testing.F) {
	f.Add(`JSON {"named_metrics":{"slots":20}}`)
	f.Add(`{"named_metrics":7}`)
	f.Fuzz(func(t *testing.T, text string) {
		o, ok := parseLoad(http.Header{http.CanonicalHeaderKey(headerLoad): {text}})
		if !ok && o != (adapter.Observation{}) {
			t.Fatal("rejected load report returned an observation")
		}
	})
}

// callError returns the *adapter.CallError in err's chain, and fails the test if
// there is none.
func callError(t *testing.T, err error) *adapter.CallError {
	t.Helper()
	var e *adapter.CallError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}
