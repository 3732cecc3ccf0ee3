package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/answer"
)

// Completion is a call of POST /v1/completions.
type Completion struct {
	Call
	Model string
	// Prompt is the prompt's text. The expected answer is the one that the
	// stand-in engines generate for it.
	Prompt    string
	MaxTokens int
}

// completionBody is the JSON body of a completion.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Body returns the call's JSON body, so that it can be encoded before the call.
func (c *Completion) Body() []byte {
	// Encoding can't fail: the body has only strings, numbers and a boolean.
	data, _ := json.Marshal(completionBody{
		Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true,
	})
	return data
}

// Complete makes a streamed completion call with a body returned by Body and
// checks the answer.
func (c *Client) Complete(ctx context.Context, call *Completion, body []byte) *Result {
	r := &Result{}
	url := c.url(call.Target, "/v1/completions")
	resp, err := c.do(ctx, http.MethodPost, url, call.Call, bytes.NewReader(body), "application/json")
	if err != nil {
		r.Err = err
		return r.finish()
	}
	defer func() { _ = resp.Body.Close() }()
	r.readHeaders(resp)
	if resp.StatusCode != http.StatusOK {
		r.Err = r.readProblem(resp)
		return r.finish()
	}
	s := stream{result: r}
	r.Err = s.read(resp)
	r.finish()
	if r.Err == nil && r.Problem == nil {
		r.checkText(call, s.text.String())
	}
	return r
}

// checkText sets Err if the text is not the one that the stand-in engines
// generate for the call.
func (r *Result) checkText(call *Completion, text string) {
	if err := answer.Check(call.Prompt, text, call.MaxTokens); err != nil {
		r.Err = &WrongAnswerError{Err: err}
	}
}

// countToken counts an output token received at the given time.
func (r *Result) countToken(now time.Time) {
	if r.Tokens == 0 {
		r.First = now
	}
	r.Tokens++
}
