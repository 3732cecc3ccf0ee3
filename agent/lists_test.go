package agent

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/configservice"
)

func TestCompress(t *testing.T) {
	doc := bytes.Repeat([]byte(`{"id":"a-1"}`), 1000)
	small := compress(doc)
	assert.Assert(t, len(small) < len(doc)/10)
	back, err := decompress(configservice.KeyInstances, small)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(back, doc))
}

// TestDecompressIsBounded checks that a small frame cannot expand to a document
// above the size limit.
func TestDecompressIsBounded(t *testing.T) {
	_, err := decompress(configservice.KeyInstances, compress(make([]byte, configservice.MaxValue+1)))
	var large *configservice.TooLargeError
	assert.Assert(t, errors.As(err, &large))
}

// FuzzDecompress checks that no input from a peer expands to a document above the
// size limit.
func FuzzDecompress(f *testing.F) {
	f.Add(compress([]byte("{}")))
	f.Add([]byte{})
	f.Add(compress(nil)[:5])
	f.Fuzz(func(t *testing.T, b []byte) {
		doc, err := decompress(configservice.KeyUpstreams, b)
		if err == nil && len(doc) > configservice.MaxValue {
			t.Fatalf("decompressed to %d bytes", len(doc))
		}
	})
}
