package routing

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestKeysTravelAsDigests guards against keys in the encoded configuration that instances send each
// other, and against a configuration or a digest that is decoded wrongly.
func TestKeysTravelAsDigests(t *testing.T) {
	urgent := 0
	sent := Config{Version: 1, KeysRequired: true, Workspaces: []Workspace{{Name: "w", Keys: []KeyDigest{DigestKey("secret")}, Priority: &urgent, Limit: Limit{Rate: 1, Unit: Tokens}}}}
	data, err := json.Marshal(&sent)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "secret"))
	var got Config
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.DeepEqual(t, got, sent)
	assert.Equal(t, NewTable(&got).WorkspaceByKey(DigestKey("secret")).Name, "w")
	assert.Assert(t, NewTable(&got).WorkspaceByKey(DigestKey("other")) == nil)
	for _, text := range []string{`""`, `"AAAA"`, `"?"`} {
		var d KeyDigest
		assert.Assert(t, json.Unmarshal([]byte(text), &d) != nil, text)
	}
}
