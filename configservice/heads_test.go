package configservice

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/internal/doubling"
)

// TestMalformedHeadIsNoAnswerOfTheService guards against values from answers whose heads are none in HTTP/1.1.
func TestMalformedHeadIsNoAnswerOfTheService(t *testing.T) {
	address := doubling.Serve(t, "", false, doubling.Response{Status: http.StatusOK, Header: "X Odd: 1\r\n", Body: "value"})
	c, err := NewClient(Options{URLs: []string{"http://" + address}, Reader: "entry-a1"})
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Get(t.Context(), "key")
	var head *roundtrip.HeadError
	assert.Assert(t, errors.As(err, &head), "%v", err)
}
