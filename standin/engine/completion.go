package engine

import (
	"net/http"
	"strings"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/tokens"
)

// format is the response format: completion or chat completion.
type format int

const (
	formatCompletion format = iota
	formatChat
)

// Values of OpenAI's "object" and "finish_reason" members.
const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	finishLength     = "length"
	roleAssistant    = "assistant"
)

// serveCompletion handles POST /v1/completions.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req CompletionRequest
	if control.ReadJSON(w, r, &req) {
		e.serveInference(w, r, req, req.Prompt, formatCompletion)
	}
}

// serveChat handles POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req CompletionRequest
	if control.ReadJSON(w, r, &req) {
		e.serveInference(w, r, req, tokens.FlattenChat(req.Messages), formatChat)
	}
}

// serveInference admits a request for the model and answers it. If the caller
// disconnects, the attempt continues.
func (e *Engine) serveInference(w http.ResponseWriter, r *http.Request, req CompletionRequest, prompt string, form format) {
	a, f := e.newAttempt(r, req, prompt)
	if f == nil {
		a.format = form
		f = e.admit(a)
	}
	if f != nil {
		f.write(w)
		return
	}
	select {
	case <-a.ready:
	case <-r.Context().Done():
		return
	}
	switch {
	case a.prefillOnly:
		e.answerPrefill(w, a)
	case req.Stream:
		e.streamAnswer(w, r, a, a.from)
	default:
		e.answerUnstreamed(w, r, a)
	}
}

// answerPrefill answers a prefill request with its KV-transfer parameters.
func (e *Engine) answerPrefill(w http.ResponseWriter, a *attempt) {
	e.mu.Lock()
	failed := a.failure
	params := e.transferParams(a)
	e.mu.Unlock()
	if failed != nil {
		failed.write(w)
		return
	}
	out := a.response(a.prompt.Token(a.from), 1)
	out.KVTransferParams = params
	control.WriteJSON(w, http.StatusOK, out)
}

// answerUnstreamed waits for the end of a generation and sends its complete
// text.
func (e *Engine) answerUnstreamed(w http.ResponseWriter, r *http.Request, a *attempt) {
	rd := e.attach(a)
	defer e.detach(a, rd)
	for {
		p := e.progress(a)
		if p.ended {
			if p.failure != nil {
				p.failure.write(w)
				return
			}
			control.WriteJSON(w, http.StatusOK, a.response(a.text(a.from, a.to), a.to-a.from))
			return
		}
		select {
		case <-rd.changed:
		case <-rd.replaced:
			control.AbortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// text returns the tokens [from, to) of the answer.
func (a *attempt) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.prompt.Token(i))
	}
	return b.String()
}

// response returns a complete answer with the given text of n tokens.
func (a *attempt) response(text string, n int) CompletionResponse {
	out := CompletionResponse{
		ID:      a.id,
		Object:  objectCompletion,
		Created: a.receivedAt.Unix(),
		Model:   a.model,
		Usage:   a.usage(n),
	}
	finish := finishLength
	choice := Choice{FinishReason: &finish}
	if a.format == formatChat {
		out.Object = objectChat
		choice.Message = &tokens.Message{Role: roleAssistant, Content: text}
	} else {
		choice.Text = &text
	}
	out.Choices = []Choice{choice}
	return out
}

// usage returns the token counts of the prompt and n tokens of the answer.
func (a *attempt) usage(n int) *Usage {
	return &Usage{
		PromptTokens:        a.promptTokens,
		CompletionTokens:    n,
		TotalTokens:         a.promptTokens + n,
		PromptTokensDetails: &UsageDetails{CachedTokens: a.cached},
	}
}
