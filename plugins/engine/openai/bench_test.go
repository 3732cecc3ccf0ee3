package openai

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
)

// discard is a sink that discards all tokens.
type discard struct{}

func (discard) Token(adapter.Chunk) error { return nil }

// BenchmarkToken measures the time to read one token of a stream in the format
// that engines send.
func BenchmarkToken(b *testing.B) {
	var body bytes.Buffer
	for i := range b.N {
		finish := "null"
		if i == b.N-1 {
			finish = `"length"`
		}
		_, _ = fmt.Fprintf(&body, "id: %s:%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"created\":1790000000,"+
			"\"model\":\"reader\",\"choices\":[{\"index\":0,\"text\":\"t%d-abcd \",\"finish_reason\":%s}]}\n\n",
			attempt, i, attempt, i, finish)
	}
	body.WriteString("data: [DONE]\n\n")
	b.ReportAllocs()
	b.ResetTimer()
	_, err := readStream(&body, attempt, 0, discard{})
	assert.NilError(b, err)
}
