package intake

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
)

// FuzzModelBody checks that any body yields either a request or a problem, and that
// the members to forward are valid JSON.
func FuzzModelBody(f *testing.F) {
	f.Add(false, []byte(`{"model":"m","prompt":"a b","max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`))
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1}`))
	f.Add(true, []byte(`{"model":"m","messages":[{"role":"user","content":[]},null]}`))
	f.Add(false, []byte(`{"model":"m","prompt":["\ud800"],"prompt":"again"}`))
	f.Add(false, []byte(`{"model`))
	f.Fuzz(func(t *testing.T, chat bool, data []byte) {
		endpoint := adapter.Completions
		if chat {
			endpoint = adapter.Chat
		}
		b, problem := ReadModelBody(endpoint, data)
		if (b == nil) == (problem == nil) {
			t.Fatal("got neither or both of request and problem, want exactly one")
		}
		if problem != nil {
			checkProblem(t, problem)
			return
		}
		if b.Model == "" || b.MaxTokens < 0 {
			t.Fatalf("invalid body was accepted: %+v", b)
		}
		for _, field := range b.Fields {
			if !json.Valid(field.Raw) {
				t.Fatalf("member %q is forwarded as invalid JSON: %q", field.Name, field.Raw)
			}
		}
	})
}

// FuzzHeaders checks that any header values yield either headers within their
// limits or a problem.
func FuzzHeaders(f *testing.F) {
	f.Add("default", "review", "yes", "1000", "id", "key", "ticket")
	f.Add("A", "\x00", "YES", "-1", "\n", "ü", " ")
	f.Fuzz(func(t *testing.T, workspace, kind, repeatable, deadline, id, key, ticket string) {
		h, problem := ReadHeaders(http.Header{
			api.HeaderWorkspace:      {workspace},
			api.HeaderKind:           {kind},
			api.HeaderRepeatable:     {repeatable},
			api.HeaderDeadlineMS:     {deadline},
			api.HeaderRequestID:      {id},
			api.HeaderIdempotencyKey: {key},
			api.HeaderTicket:         {ticket},
		})
		if problem != nil {
			checkProblem(t, problem)
			return
		}
		if h.Workspace == "" || h.Deadline < 0 || h.Deadline > MaxDeadline {
			t.Fatalf("invalid headers were accepted: %+v", h)
		}
		if len(h.RequestID) > maxIDBytes || len(h.IdempotencyKey) > maxKeyBytes || len(h.Ticket) > maxTicketBytes {
			t.Fatalf("over-long headers were accepted: %+v", h)
		}
	})
}

// checkProblem checks that a problem has outcome not-run and a 4xx status.
func checkProblem(t *testing.T, p *api.Problem) {
	t.Helper()
	if p.Outcome != api.NotRun || p.Status < 400 || p.Status > 499 {
		t.Fatalf("problem is not a 4xx with outcome not-run: %+v", p)
	}
	if _, err := json.Marshal(p); err != nil {
		t.Fatal(err)
	}
}
