package front

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/entry/driver"
)

// Values of the "object" member in OpenAI's API.
const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

// roleAssistant is the role of a model's chat messages.
const roleAssistant = "assistant"

// identity holds the members that all chunks of an answer share.
type identity struct {
	id       string
	endpoint adapter.Endpoint
	model    string
	created  int64
}

func newIdentity(ex *driver.Exchange) identity {
	prefix := "cmpl-"
	if ex.Model.Endpoint == adapter.Chat {
		prefix = "chatcmpl-"
	}
	return identity{
		id:       prefix + string(ex.Request.ID),
		endpoint: ex.Model.Endpoint,
		model:    ex.Model.Model,
		created:  ex.Request.Arrived.Unix(),
	}
}

// completion is a complete answer in OpenAI's format.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// choice is the only choice of a complete answer.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// message is the message of a complete chat answer.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usage is the token usage of an answer.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
}

// usageDetails gives the number of prompt tokens taken from a cache.
type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// answerUsage returns the usage of the complete answer. An engine that resumed
// an answer counts the earlier output as part of the prompt, which is corrected
// here.
func answerUsage(ex *driver.Exchange, d adapter.DecodeResult) usage {
	u := usage{PromptTokens: ex.Request.PromptTokens}
	var reported usage
	if json.Unmarshal(d.Usage, &reported) == nil && reported.TotalTokens >= d.Tokens {
		u.PromptTokens = reported.TotalTokens - d.Tokens
		u.Details = reported.Details
	}
	u.CompletionTokens = d.Tokens
	u.TotalTokens = u.PromptTokens + d.Tokens
	return u
}

// bufferedOutput buffers an answer that is not streamed.
type bufferedOutput struct{ text strings.Builder }

// Token implements driver.Output.
func (o *bufferedOutput) Token(c adapter.Chunk) error {
	o.text.WriteString(c.Text)
	return nil
}

// writeBuffered writes the answer to a request that is not streamed.
func (f *Front) writeBuffered(w http.ResponseWriter, ex *driver.Exchange, out *bufferedOutput, res driver.Result) {
	if res.Problem != nil {
		f.writeProblem(w, ex.Request.ID, res)
		return
	}
	id := newIdentity(ex)
	text := out.text.String()
	c := choice{FinishReason: res.Decoded.FinishReason}
	object := objectCompletion
	if id.endpoint == adapter.Chat {
		object = objectChat
		c.Message = &message{Role: roleAssistant, Content: text}
	} else {
		c.Text = &text
	}
	writeResult(w.Header(), ex.Request.ID, res)
	w.Header().Set("Content-Type", "application/json")
	f.renewWriteDeadline(w)
	err := json.NewEncoder(w).Encode(completion{
		ID:      id.id,
		Object:  object,
		Created: id.created,
		Model:   id.model,
		Choices: []choice{c},
		Usage:   answerUsage(ex, res.Decoded),
	})
	if err != nil {
		f.opts.Log.Debug("answer not delivered", "request", ex.Request.ID, "error", err)
	}
}
