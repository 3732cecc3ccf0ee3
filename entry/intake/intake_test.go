package intake

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/tokens"
)

func TestBadBodies(t *testing.T) {
	for name, body := range map[string]string{
		"empty":                "",
		"not an object":        `[1]`,
		"broken":               `{"model":"m","prompt":"x"`,
		"two values":           `{"model":"m","prompt":"x"} {}`,
		"bad member":           `{"model":"m","prompt":}`,
		"model missing":        `{"prompt":"x"}`,
		"model of wrong type":  `{"model":7,"prompt":"x"}`,
		"prompt missing":       `{"model":"m"}`,
		"prompt null":          `{"model":"m","prompt":null}`,
		"prompt of tokens":     `{"model":"m","prompt":[1,2]}`,
		"two prompts":          `{"model":"m","prompt":["a","b"]}`,
		"negative max_tokens":  `{"model":"m","prompt":"x","max_tokens":-1}`,
		"huge max_tokens":      `{"model":"m","prompt":"x","max_tokens":1e99}`,
		"max_tokens text":      `{"model":"m","prompt":"x","max_tokens":"9"}`,
		"fraction":             `{"model":"m","prompt":"x","max_tokens":1.5}`,
		"stream of wrong type": `{"model":"m","prompt":"x","stream":"yes"}`,
		"two choices":          `{"model":"m","prompt":"x","n":2}`,
		"negative n":           `{"model":"m","prompt":"x","n":-1}`,
		"echo":                 `{"model":"m","prompt":"x","echo":true}`,
		"logprobs unstreamed":  `{"model":"m","prompt":"x","logprobs":3}`,
		"options unstreamed":   `{"model":"m","prompt":"x","stream_options":{"include_usage":true}}`,
		"too many members":     `{` + strings.Repeat(`"a":1,`, 1) + manyMembers(maxFields+1) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			b, problem := ReadModelBody(adapter.Completions, []byte(body))
			assert.Assert(t, b == nil)
			assert.Equal(t, problem.Type, api.ProblemMalformed)
			assert.Equal(t, problem.Outcome, api.NotRun)
		})
	}
}

// manyMembers returns n members of a JSON object, with distinct names.
func manyMembers(n int) string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = `"m` + strings.Repeat("x", i) + `":1`
	}
	return strings.Join(parts, ",")
}

func TestBadChats(t *testing.T) {
	for name, messages := range map[string]string{
		"missing":       `null`,
		"empty":         `[]`,
		"wrong type":    `"hello"`,
		"image":         `[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]`,
		"number inside": `[{"role":"user","content":7}]`,
	} {
		t.Run(name, func(t *testing.T) {
			_, problem := ReadModelBody(adapter.Chat, []byte(`{"model":"m","messages":`+messages+`}`))
			assert.Equal(t, problem.Type, api.ProblemMalformed)
		})
	}
}

func TestBodyIsPassedOn(t *testing.T) {
	b, problem := ReadModelBody(adapter.Completions, []byte(
		`{"prompt":["a b"],"model":"m","temperature":0.2,"max_tokens":5,"seed":12345678901234567890}`))
	assert.Assert(t, problem == nil)
	assert.Equal(t, b.Prompt, "a b")
	assert.Equal(t, b.MaxTokens, 5)
	got := map[string]string{}
	for _, f := range b.Fields {
		got[f.Name] = string(f.Raw)
	}
	assert.DeepEqual(t, got, map[string]string{
		"model": `"m"`, "prompt": `"a b"`, "temperature": "0.2", "max_tokens": "5", "seed": "12345678901234567890",
	})
}

func TestChatPartsAreJoined(t *testing.T) {
	b, problem := ReadModelBody(adapter.Chat, []byte(`{"model":"m","max_tokens":3,"max_completion_tokens":4,"messages":[
		{"role":"system","content":"be brief"},
		{"role":"user","name":"n","content":[{"type":"text","text":"one "},{"type":"text","text":"two"}]},
		{"role":"assistant","content":null}]}`))
	assert.Assert(t, problem == nil)
	assert.Equal(t, b.MaxTokens, 4)
	assert.Equal(t, b.Prompt, tokens.FlattenChat([]tokens.Message{
		{Role: "system", Content: "be brief"}, {Role: "user", Content: "one two"}, {Role: "assistant"},
	}))
	for _, f := range b.Fields {
		if f.Name != "messages" {
			continue
		}
		var list []map[string]any
		assert.NilError(t, json.Unmarshal(f.Raw, &list))
		assert.Equal(t, list[1]["content"], "one two")
		assert.Equal(t, list[1]["name"], "n")
	}
}

func TestHeaders(t *testing.T) {
	h, problem := ReadHeaders(http.Header{
		api.HeaderWorkspace:      {"north"},
		api.HeaderKind:           {"review"},
		api.HeaderRepeatable:     {"no"},
		api.HeaderDeadlineMS:     {"1500"},
		api.HeaderRequestID:      {"id-1"},
		api.HeaderIdempotencyKey: {"key"},
	})
	assert.Assert(t, problem == nil)
	assert.Equal(t, h.Workspace, ident.Workspace("north"))
	assert.Equal(t, *h.Repeatable, false)
	assert.Equal(t, h.Deadline, 1500*time.Millisecond)
	assert.Equal(t, h.RequestID, ident.RequestID("id-1"))

	h, problem = ReadHeaders(http.Header{})
	assert.Assert(t, problem == nil)
	assert.Equal(t, h.Workspace, ident.Workspace(api.DefaultWorkspace))
	assert.Assert(t, h.Repeatable == nil)
}

func TestBadHeaders(t *testing.T) {
	for name, h := range map[string]http.Header{
		"long ID":            {api.HeaderRequestID: {strings.Repeat("x", maxIDBytes+1)}},
		"control characters": {api.HeaderRequestID: {"a\tb"}},
		"not ASCII":          {api.HeaderIdempotencyKey: {"schlüssel"}},
		"two IDs":            {api.HeaderRequestID: {"a", "b"}},
		"workspace":          {api.HeaderWorkspace: {"North"}},
		"kind":               {api.HeaderKind: {"../x"}},
		"repeatable":         {api.HeaderRepeatable: {"maybe"}},
		"deadline text":      {api.HeaderDeadlineMS: {"soon"}},
		"deadline negative":  {api.HeaderDeadlineMS: {"-5"}},
		"deadline zero":      {api.HeaderDeadlineMS: {"0"}},
		"deadline too long":  {api.HeaderDeadlineMS: {"3600001"}},
		"deadline overflow":  {api.HeaderDeadlineMS: {"4294967296"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, problem := ReadHeaders(h)
			assert.Assert(t, problem != nil)
			assert.Equal(t, problem.Type, api.ProblemMalformed)
			assert.Equal(t, problem.Outcome, api.NotRun)
		})
	}
}

func testCatalog() *Catalog {
	return NewCatalog(3, &config.Content{
		Kinds: []config.Kind{
			{Name: "review", Route: config.RouteModel, Repeatable: true, FirstOutput: time.Second, Deadline: time.Minute, DefaultOutputTokens: 9},
			{Name: "triage", Route: config.RouteModel},
			{Name: "lookup", Route: config.RouteService, Repeatable: true},
		},
		Models:   []config.Model{{Name: "m", PieceTokens: 2}},
		Services: []config.Service{{Name: "desk", Deduplicates: true}, {Name: "plain"}},
	})
}

func TestDefaults(t *testing.T) {
	c, now := testCatalog(), time.Now()
	b := &ModelBody{Model: "m", Prompt: "a b c d e"}
	r, m, problem := c.Model(Headers{}, adapter.Completions, b, now)
	assert.Assert(t, problem == nil)
	assert.Equal(t, r.Kind, "review")
	assert.Equal(t, r.PromptTokens, 5)
	assert.Equal(t, r.MaxOutputTokens, 9)
	assert.Equal(t, m.MaxTokens, 9)
	assert.Equal(t, len(r.Blocks), 2)
	assert.Assert(t, r.Repeatable)
	assert.Equal(t, r.Deadline, now.Add(time.Minute))
	assert.Equal(t, r.FirstOutputBy, now.Add(time.Second))

	r, _, problem = c.Model(Headers{Kind: "triage"}, adapter.Completions, b, now)
	assert.Assert(t, problem == nil)
	assert.Equal(t, r.Deadline, now.Add(api.DefaultDeadline))
	assert.Equal(t, r.MaxOutputTokens, defaultOutputTokens)

	for _, kind := range []string{"lookup", "nonesuch"} {
		_, _, problem = c.Model(Headers{Kind: kind}, adapter.Completions, b, now)
		assert.Equal(t, problem.Type, api.ProblemUnknownKind)
	}
}

func TestDeduplicated(t *testing.T) {
	c := testCatalog()
	for _, tc := range []struct {
		service, key string
		want         bool
	}{{"desk", "k", true}, {"desk", "", false}, {"plain", "k", false}} {
		r, problem := c.Service(Headers{IdempotencyKey: tc.key}, tc.service, time.Now())
		assert.Assert(t, problem == nil)
		assert.Equal(t, r.Deduplicated, tc.want)
	}
}
