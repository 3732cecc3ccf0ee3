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
	// Prompt is the text; the answer must be that of the stand-in engines.
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

// Body returns the call's JSON body, so that it can be made before the call.
func (c *Completion) Body() []byte {
	// Strings and numbers can always be encoded.
	data, _ := json.Marshal(completionBody{
		Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true,
	})
	return data
}

// Complete makes a streamed completion with a body made by Body and checks the
// answer.
func (c *Client) Complete(ctx context.Context, call *Completion, body []byte) *Result {
	r := &Result{}
	url := c.url(call.Target, "/v1/completions")
	resp, err := c.do(ctx, http.MethodPost, url, call.Call, bytes.NewReader(body), "application/json")
	if err != nil {
		r.Err = err
		return r.finish()
	}
	defer func() { _ = resp.Body.Close() }()
	r.head(resp)
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

// checkText compares an answer with the stand-ins'.
func (r *Result) checkText(call *Completion, text string) {
	if err := answer.Check(call.Prompt, text, call.MaxTokens); err != nil {
		r.Err = &WrongAnswerError{Err: err}
	}
}

// saw counts a chunk of output.
func (r *Result) saw(now time.Time) {
	if r.Tokens == 0 {
		r.First = now
	}
	r.Tokens++
}
