package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/service"
	"github.com/wardspool/wardspool/tokens"
)

// openAIClient returns a client of the OpenAI library that calls the entry.
func (b *testbed) openAIClient() openai.Client {
	return openai.NewClient(
		option.WithBaseURL(b.url+"/v1"),
		option.WithAPIKey("none"),
		option.WithMaxRetries(0),
	)
}

const prompt = "please read the manifest of shipment nine and confirm its allowances"

// TestCompletion checks a completion that is not streamed, including its token usage.
func TestCompletion(t *testing.T) {
	b := newTestbed(t, nil)
	c := b.openAIClient()
	got, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "reader",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(20),
	})
	assert.NilError(t, err)
	assert.NilError(t, answer.Check(prompt, got.Choices[0].Text, 20))
	assert.Equal(t, string(got.Choices[0].FinishReason), "length")
	assert.Equal(t, got.Usage.CompletionTokens, int64(20))
	assert.Equal(t, got.Usage.PromptTokens, int64(tokens.Count(prompt)))
}

// TestCompletionStreamed checks a streamed completion, including its token usage.
func TestCompletionStreamed(t *testing.T) {
	b := newTestbed(t, nil)
	c := b.openAIClient()
	stream := c.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:     "reader",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(20),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{
			IncludeUsage: openai.Bool(true),
		},
	})
	var text strings.Builder
	usage := int64(0)
	for stream.Next() {
		chunk := stream.Current()
		usage = max(usage, chunk.Usage.CompletionTokens)
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	assert.NilError(t, stream.Err())
	assert.NilError(t, answer.Check(prompt, text.String(), 20))
	assert.Equal(t, usage, int64(20))
}

// TestChat checks chat completions, both not streamed and streamed.
func TestChat(t *testing.T) {
	b := newTestbed(t, nil)
	c := b.openAIClient()
	params := openai.ChatCompletionNewParams{
		Model:               "reader",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(12),
	}
	flat := tokens.FlattenChat([]tokens.Message{{Role: "user", Content: prompt}})

	got, err := c.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.NilError(t, answer.Check(flat, got.Choices[0].Message.Content, 12))

	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	var sum openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, sum.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.NilError(t, answer.Check(flat, sum.Choices[0].Message.Content, 12))
}

// TestModelsList checks that the list of models has those of the bundle.
func TestModelsList(t *testing.T) {
	b := newTestbed(t, nil)
	c := b.openAIClient()
	page, err := c.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(page.Data), 1)
	assert.Equal(t, page.Data[0].ID, "reader")
}

// TestClientLibrarySeesProblems checks that the OpenAI library reports the status, type
// and outcome of a problem.
func TestClientLibrarySeesProblems(t *testing.T) {
	b := newTestbed(t, nil)
	c := b.openAIClient()
	_, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:  "nonesuch",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	var problem *openai.Error
	assert.Assert(t, errorAs(err, &problem), "%v", err)
	assert.Equal(t, problem.StatusCode, http.StatusNotFound)
	assert.Equal(t, problem.Type, string(api.ProblemUnknownModel))
	assert.Equal(t, problem.Code, string(api.NotRun))
}

// TestServiceCall checks that a service call passes the path, query, body and request ID
// to the service, and that the answer has the entry's headers.
func TestServiceCall(t *testing.T) {
	b := newTestbed(t, nil)
	resp, body := b.do(http.MethodPut, "/services/desk/orders/7%2F8?x=1", `{"qty":2}`,
		api.HeaderRequestID, "caller-1", "X-Custom", "kept")
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	var got service.CallResponse
	assert.NilError(t, json.Unmarshal([]byte(body), &got))
	assert.Equal(t, got.Method, http.MethodPut)
	assert.Equal(t, got.Path, "/orders/7/8")
	assert.Equal(t, got.Echo, `{"qty":2}`)
	assert.Equal(t, got.CorrelationID, "caller-1")
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Complete))
	assert.Equal(t, resp.Header.Get(api.HeaderRequestID), "caller-1")
	assert.Equal(t, resp.Header.Get(api.HeaderBundleVersion), "1")
	assert.Equal(t, resp.Header.Get(api.HeaderInstance), "entry-1")
}

// TestServiceMethods checks that the HTTP method of a service call is passed on.
func TestServiceMethods(t *testing.T) {
	b := newTestbed(t, nil)
	for _, method := range []string{"GET", "POST", "DELETE", "PATCH"} {
		resp, body := b.do(method, "/services/desk/x", "")
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", method, body)
		assert.Assert(t, strings.Contains(body, `"method":"`+method+`"`), body)
	}
}
