package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
)

// maxFields limits the number of top-level members of a body.
const maxFields = 128

// ModelBody is the validated body of a request to a model.
type ModelBody struct {
	Model string
	// Prompt is the text to count and hash.
	Prompt string
	// MaxTokens limits the output tokens, 0 if the caller set no limit.
	MaxTokens int
	Stream    bool
	// IncludeUsage asks for a usage chunk at the end of a stream.
	IncludeUsage bool
	// Fields are the members to forward to the engine.
	Fields []adapter.Field
}

// malformed returns the problem document for an invalid body.
func malformed(format string, args ...any) *api.Problem {
	return api.NewProblem(api.ProblemMalformed, api.NotRun, fmt.Sprintf(format, args...))
}

// ReadModelBody parses and validates the JSON body of a request to an endpoint.
func ReadModelBody(endpoint adapter.Endpoint, data []byte) (*ModelBody, *api.Problem) {
	members, problem := splitMembers(data)
	if problem != nil {
		return nil, problem
	}
	b := &ModelBody{}
	r := bodyReader{members: members}
	b.Model = r.text("model")
	b.MaxTokens = r.maxTokens(endpoint)
	b.Stream = r.flag("stream")
	b.IncludeUsage = r.includeUsage(b.Stream)
	r.rejectUnsupported(b.Stream)
	if endpoint == adapter.Chat {
		b.Prompt = r.messages()
	} else {
		b.Prompt = r.prompt()
	}
	if b.Model == "" {
		r.fail("model", "is missing")
	}
	if r.problem != nil {
		return nil, r.problem
	}
	b.Fields = r.forwardedFields()
	return b, nil
}

// splitMembers parses the top level of a JSON object. If a member occurs more than
// once, the last one is used.
func splitMembers(data []byte) (map[string]json.RawMessage, *api.Problem) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, malformed("the body is not a JSON object")
	}
	members := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return nil, malformed("the body is not valid JSON, at byte %d", dec.InputOffset())
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return nil, malformed("the body is not valid JSON, at byte %d", dec.InputOffset())
		}
		members[name] = raw
		if len(members) > maxFields {
			return nil, malformed("the body has more than %d members", maxFields)
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, malformed("the body is not valid JSON, at byte %d", dec.InputOffset())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, malformed("something follows the JSON object")
	}
	return members, nil
}

// bodyReader reads members of a body and records the first problem.
type bodyReader struct {
	members map[string]json.RawMessage
	problem *api.Problem
}

func (r *bodyReader) fail(name, fault string) {
	if r.problem == nil {
		r.problem = malformed("member %q %s", name, fault)
	}
}

// read decodes a member and reports whether it is present, not null and valid.
func (r *bodyReader) read(name string, into any, want string) bool {
	raw, ok := r.members[name]
	if !ok || string(raw) == "null" {
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		r.fail(name, "is not "+want)
		return false
	}
	return true
}

func (r *bodyReader) text(name string) string {
	var s string
	r.read(name, &s, "a string")
	return s
}

func (r *bodyReader) flag(name string) bool {
	var b bool
	r.read(name, &b, "true or false")
	return b
}

// count reads a non-negative integer.
func (r *bodyReader) count(name string) int {
	var n int
	if r.read(name, &n, "a whole number") && n < 0 {
		r.fail(name, "is negative")
		return 0
	}
	return n
}

// maxTokens reads the limit on output tokens. For chats, max_completion_tokens
// takes precedence over the older max_tokens.
func (r *bodyReader) maxTokens(endpoint adapter.Endpoint) int {
	n := r.count("max_tokens")
	if endpoint == adapter.Chat {
		if newer := r.count("max_completion_tokens"); newer > 0 {
			return newer
		}
	}
	return n
}

// includeUsage reads include_usage of stream_options.
func (r *bodyReader) includeUsage(stream bool) bool {
	var o struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if r.read("stream_options", &o, "an object") && !stream {
		r.fail("stream_options", "is for streamed answers")
	}
	return o.IncludeUsage
}

// rejectUnsupported rejects requests that could not be answered completely: those
// for several choices or an echo of the prompt, and those for an unstreamed answer
// with parts other than text.
func (r *bodyReader) rejectUnsupported(stream bool) {
	for _, name := range []string{"n", "best_of"} {
		if r.count(name) > 1 {
			r.fail(name, "is more than 1, which is not supported")
		}
	}
	if r.flag("echo") {
		r.fail("echo", "is not supported")
	}
	if stream {
		return
	}
	for _, name := range []string{"tools", "functions", "logprobs"} {
		raw, ok := r.members[name]
		if ok && string(raw) != "null" && string(raw) != "false" {
			r.fail(name, "is supported in streamed answers only")
		}
	}
}

// prompt reads the prompt of a completion: a string, or an array of one string,
// which it replaces by the string.
func (r *bodyReader) prompt() string {
	raw := r.members["prompt"]
	if len(raw) > 0 && raw[0] == '[' {
		var list []string
		if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
			r.fail("prompt", "is neither a string nor an array of one string")
			return ""
		}
		r.set("prompt", list[0])
		return list[0]
	}
	var s string
	if !r.read("prompt", &s, "a string") {
		r.fail("prompt", "is missing")
	}
	return s
}

// set replaces the value of a member.
func (r *bodyReader) set(name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		r.fail(name, "cannot be encoded")
		return
	}
	r.members[name] = raw
}

// forwardedFields returns the members to forward, sorted by name.
func (r *bodyReader) forwardedFields() []adapter.Field {
	fields := make([]adapter.Field, 0, len(r.members))
	for name, raw := range r.members {
		fields = append(fields, adapter.Field{Name: name, Raw: raw})
	}
	sort.Slice(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}
