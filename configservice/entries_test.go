package configservice

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// oddEntries are entries of a list that cannot be decoded.
var oddEntries = map[string]string{
	"nested":         strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"nested field":   `{"id":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000) + `}`,
	"large number":   `{"id":"x","zone":"z","incarnation":1e400}`,
	"2^64":           `{"id":"x","zone":"z","incarnation":18446744073709551616}`,
	"many digits":    `{"id":"x","zone":"z","incarnation":` + strings.Repeat("9", 200_000) + `}`,
	"number as text": `{"id":7}`,
	"other type":     `[1]`,
	"text":           `"x"`,
}

// TestOddEntryLeavesTheOthers guards against a list that is rejected as a whole because of one entry.
func TestOddEntryLeavesTheOthers(t *testing.T) {
	for name, odd := range oddEntries {
		doc := `{"upstreams":[{"id":"a","zone":"z"},` + odd + `,{"id":"b","zone":"z"}]}`
		l, left, err := DecodeUpstreams([]byte(doc))
		assert.NilError(t, err, name)
		assert.Equal(t, len(l.Upstreams), 2, name)
		assert.Equal(t, len(left), 1, name)
		assert.Assert(t, len(left[0].Error()) < 300, name)

		if strings.Contains(odd, "incarnation") {
			continue
		}
		instances, left, err := DecodeInstances([]byte(strings.Replace(doc, "upstreams", "instances", 1)))
		assert.NilError(t, err, name)
		assert.Equal(t, len(instances.Instances), 2, name)
		assert.Equal(t, len(left), 1, name)
	}
}

// TestTruncatedListIsRejected guards against a part of a list that counts as the whole.
func TestTruncatedListIsRejected(t *testing.T) {
	for _, entry := range []string{`{"id":"b","zone":"z"}`, oddEntries["nested"], `"br[ack{ets\\\""`} {
		doc := `{"upstreams":[{"id":"a","zone":"z"},` + entry + `]}`
		for cut := range len(doc) {
			if cut%max(1, len(doc)/200) != 0 {
				continue
			}
			_, _, err := DecodeUpstreams([]byte(doc[:cut]))
			assert.Assert(t, err != nil, "%d of %d bytes of a list count as a list", cut, len(doc))
		}
	}

}

// FuzzWithoutDeepNesting checks that a valid document stays valid, and that a part of it does not become valid.
func FuzzWithoutDeepNesting(f *testing.F) {
	f.Add([]byte(`{"upstreams":[{"id":"a"}]}`))
	f.Add([]byte(`{"upstreams":["\\\"[",{}]}`))
	f.Add([]byte(oddEntries["nested field"]))
	f.Fuzz(func(t *testing.T, doc []byte) {
		out := withoutDeepNesting(doc)
		if json.Valid(doc) && !json.Valid(out) {
			t.Fatalf("%q became %q", doc, out)
		}
		if json.Valid(doc) && doc[0] == '{' && json.Valid(withoutDeepNesting(doc[:len(doc)-1])) && doc[len(doc)-1] == '}' {
			t.Fatalf("%q is valid without its end", doc)
		}
	})
}
