package tokenbucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBucket(t *testing.T) {
	var b Bucket
	now := time.Unix(1000, 0)
	assert.Assert(t, !b.Filled())
	b.Fill(now, 10, 5, 1)
	assert.Equal(t, b.Tokens, 1.0)
	b.Fill(now.Add(100*time.Millisecond), 100, 5, 1)
	assert.Equal(t, b.Tokens, 2.0, "a raised rate must not apply to time already elapsed")
	b.Fill(now.Add(110*time.Millisecond), 100, 5, 1)
	assert.Equal(t, b.Tokens, 3.0)
	b.Fill(now.Add(time.Second), 100, 5, 1)
	assert.Equal(t, b.Tokens, 5.0)
	b.Fill(now.Add(time.Second), 1, 2, 1)
	assert.Equal(t, b.Tokens, 2.0)
	b.Fill(now, 1, 2, 1)
	assert.Equal(t, b.Tokens, 2.0, "an earlier time must not change the tokens")
	assert.Assert(t, b.Filled())
}
