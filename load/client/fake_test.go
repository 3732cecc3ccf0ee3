package client

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/standin/answer"
)

// misbehaviour selects the fault of a fake instance.
type misbehaviour int

const (
	noFault misbehaviour = iota
	dropsToken
	swapsToken
	truncatesStream
	noOutcome
	failsMidway
	answersOtherCall
	refuses
	sendsAfterEnd
)

// fakeInstance starts a server that answers as an entry instance does, apart
// from the given misbehaviour, and returns its address.
func fakeInstance(t *testing.T, m misbehaviour) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { serveCompletion(w, r, m) })
	mux.HandleFunc("POST /services/", func(w http.ResponseWriter, r *http.Request) { serveService(w, r, m) })
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) {
		if m == refuses {
			_ = api.NewProblem(api.ProblemStopping, api.NotRun, "").Write(w)
			return
		}
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, `{"ticket":"t-1"}`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func serveCompletion(w http.ResponseWriter, r *http.Request, m misbehaviour) {
	if m == refuses {
		_ = api.NewProblem(api.ProblemOverloaded, api.NotRun, "full").WithRetryAfter(1500).Write(w)
		return
	}
	var body completionBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.Header().Set("Content-Type", "text/event-stream")
	p := answer.NewPrompt(body.Prompt)
	for i := range body.MaxTokens {
		token := p.Token(i)
		switch {
		case i != 1:
		case m == dropsToken:
			continue
		case m == swapsToken:
			token = p.Token(2)
		case m == truncatesStream:
			return
		case m == failsMidway:
			text, _ := json.Marshal(api.NewProblem(api.ProblemUpstreamFailed, api.Unknown, "lost"))
			_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", text)
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", token)
	}
	if m != noOutcome {
		_, _ = io.WriteString(w, ": "+api.HeaderOutcome+": complete\n")
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	if m == sendsAfterEnd {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"text\":\"x\"}]}\n\n")
	}
}

func serveService(w http.ResponseWriter, r *http.Request, m misbehaviour) {
	if m == refuses {
		_ = api.NewProblem(api.ProblemTicketReused, api.Unknown, "").Write(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if m == answersOtherCall {
		body = []byte("another's")
	}
	if m != noOutcome {
		w.Header().Set(api.HeaderOutcome, string(api.Complete))
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/services/"), "/")
	_ = json.NewEncoder(w).Encode(serviceAnswer{
		Service: name, Path: "/" + path, Echo: string(body),
	})
}
