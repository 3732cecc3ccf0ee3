package engines

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/internal/doubling"
)

// TestMalformedHeadIsNoAnswerOfAnEngine guards against an engine that counts as healthy by an answer whose head is none in
// HTTP/1.1.
func TestMalformedHeadIsNoAnswerOfAnEngine(t *testing.T) {
	c := New(&net.Dialer{}, time.Second)
	defer c.Close()
	address := doubling.Serve(t, "", false, doubling.Response{Status: http.StatusOK, Header: "X Odd: 1\r\n"})
	var head *roundtrip.HeadError
	err := c.Health(t.Context(), address)
	assert.Assert(t, errors.As(err, &head), "%v", err)
}
