package tickets

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBytesOfACallAreKept guards against a path or headers that JSON changes because they are not UTF-8.
func TestBytesOfACallAreKept(t *testing.T) {
	for _, text := range []string{"plain", "\u2028<&>ä", "\xff\x80"} {
		c := &Call{
			Ticket: "t", Method: "POST", Path: "/" + text, Workspace: "w", Kind: "k", Request: "r", DeadlineMS: 1, IdempotencyKey: "i",
			Header: map[string][]string{"X": {text}}, Body: []byte(text), Wait: time.Second, Run: "run",
		}
		m, err := encode(c)
		assert.NilError(t, err)
		data, err := json.Marshal(m)
		assert.NilError(t, err)
		var received message
		assert.NilError(t, json.Unmarshal(data, &received))
		got, err := received.decode()
		assert.NilError(t, err)
		want := *c
		want.Wait, want.Run = 0, ""
		assert.DeepEqual(t, got, &want)
	}
	_, err := (&message{Exact: []byte{0}}).decode()
	assert.Assert(t, err != nil)
}
