package driver

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
)

// TestStalledAttemptKeepsItsAnswerFromOneWithAGap guards against an answer that is taken from a stalled attempt by one
// whose first token is not the next one.
func TestStalledAttemptKeepsItsAnswerFromOneWithAGap(t *testing.T) {
	var got []int
	d := &delivery{out: outputFunc(func(c adapter.Chunk) error {
		got = append(got, c.Offset)
		return nil
	})}
	d.setCurrent(attemptID(1))
	_, err := d.writeToken(attemptID(1), token(0))
	assert.NilError(t, err)
	d.setCandidate(attemptID(2), 1, attemptID(1))
	_, err = d.writeToken(attemptID(2), token(2))
	var gap *GapError
	assert.Assert(t, errors.As(err, &gap), "%v", err)
	status, err := d.writeToken(attemptID(1), token(1))
	assert.NilError(t, err)
	assert.Equal(t, status, tokenSent)
	assert.DeepEqual(t, got, []int{0, 1})
}
