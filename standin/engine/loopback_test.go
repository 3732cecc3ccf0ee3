package engine

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/tokens"
)

// serve runs an engine on a loopback port until the end of the test.
func serve(t *testing.T, id string, role config.Role) (*Engine, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := New(Config{ID: ident.UpstreamID(id), Role: role, Models: []string{"m"}, Address: l.Addr().String()})
	server := httptest.NewUnstartedServer(e.Handler())
	_ = server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	return e, server.URL
}

// TestOpenAIClient runs a prefill and a streamed chat with the openai-go client
// over sockets. The KV cache is transferred over a socket too.
func TestOpenAIClient(t *testing.T) {
	// Registered first, so that it runs last, after the servers are closed.
	t.Cleanup(func() { goleak.VerifyNone(t) })
	_, prefillURL := serve(t, "pf", config.RolePrefill)
	decode, decodeURL := serve(t, "dc", config.RoleDecode)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)

	newClient := func(url string) openai.Client {
		return openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey("none"),
			option.WithHTTPClient(&http.Client{Transport: transport}), option.WithMaxRetries(0))
	}
	params := openai.ChatCompletionNewParams{
		Model:     "m",
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how much is the fish")},
	}
	prompt := tokens.FlattenChat([]tokens.Message{{Role: "user", Content: "how much is the fish"}})

	prefill := newClient(prefillURL)
	first, err := prefill.Chat.Completions.New(t.Context(), params,
		option.WithJSONSet("kv_transfer_params", KVTransferParams{DoRemoteDecode: true}))
	assert.NilError(t, err)
	assert.Equal(t, first.Usage.PromptTokens, int64(tokens.Count(prompt)))
	kv := first.JSON.ExtraFields["kv_transfer_params"].Raw()

	client := newClient(decodeURL)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params,
		option.WithJSONSet("kv_transfer_params", rawJSON(kv)))
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	assert.NilError(t, answer.Check(prompt, text, 5))
	assert.Equal(t, decode.JudgeReport().Totals.PromptComputed, 0) // the KV was transferred
}

// rawJSON is JSON text that is marshaled verbatim.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }
