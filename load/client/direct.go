package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/api"
)

// Direct is a completion made without wardspool: the caller itself calls a
// prefill engine and then a decode engine, as docs/protocols/engine.md defines.
type Direct struct {
	// Prefill and Decode are the engines' addresses, as IP:port.
	Prefill, Decode string
	// Attempt is the prefix of the two attempt IDs.
	Attempt   string
	Model     string
	Prompt    string
	MaxTokens int
}

// directBody is the JSON body of both calls.
type directBody struct {
	completionBody
	KV json.RawMessage `json:"kv_transfer_params"`
}

// prefillResponse holds the field that is read from a prefill engine's response.
type prefillResponse struct {
	KV json.RawMessage `json:"kv_transfer_params"`
}

// prefillKVParams tells a prefill engine to keep the KV cache for transfer to a
// decode engine.
const prefillKVParams = `{"do_remote_decode":true,"do_remote_prefill":false}`

// CompleteDirect calls the prefill engine and the decode engine, and checks the
// answer.
func (c *Client) CompleteDirect(ctx context.Context, d *Direct) *Result {
	r := &Result{}
	kv, err := c.prefillDirect(ctx, d)
	if err != nil {
		r.Err = err
		return r.finish()
	}
	body, _ := json.Marshal(directBody{completionBody: d.body(d.MaxTokens, true), KV: kv})
	resp, err := c.postEngine(ctx, d.Decode, d.Attempt+"-decode", body)
	if err != nil {
		r.Err = err
		return r.finish()
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		r.Err = &ProtocolError{Detail: "the decode engine answered " + resp.Status}
		return r.finish()
	}
	// Engines send no outcome: a stream that ends without an error is complete.
	r.Outcome = api.Complete
	s := stream{result: r}
	r.Err = s.read(resp)
	r.finish()
	if r.Err == nil {
		r.checkText(&Completion{Prompt: d.Prompt, MaxTokens: d.MaxTokens}, s.text.String())
	}
	return r
}

func (d *Direct) body(maxTokens int, streamed bool) completionBody {
	return completionBody{Model: d.Model, Prompt: d.Prompt, MaxTokens: maxTokens, Stream: streamed}
}

// prefillDirect calls the prefill engine and returns the KV transfer parameters
// of its response.
func (c *Client) prefillDirect(ctx context.Context, d *Direct) (json.RawMessage, error) {
	body, _ := json.Marshal(directBody{completionBody: d.body(1, false), KV: json.RawMessage(prefillKVParams)})
	resp, err := c.postEngine(ctx, d.Prefill, d.Attempt+"-prefill", body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &ProtocolError{Detail: "the prefill engine answered " + resp.Status}
	}
	var got prefillResponse
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, &ProtocolError{Detail: "a prefill answer that is no JSON: " + err.Error()}
	}
	return got.KV, nil
}

// postEngine makes one call to an engine.
func (c *Client) postEngine(ctx context.Context, address, attempt string, body []byte) (*http.Response, error) {
	call := Call{RequestID: attempt, Repeatable: true, Deadline: time.Minute}
	url := "http://" + address + "/v1/completions"
	return c.do(ctx, http.MethodPost, url, call, bytes.NewReader(body), "application/json")
}
