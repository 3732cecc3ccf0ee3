package roundtrip

import (
	"io"

	"github.com/wardspool/wardspool/adapter"
)

// ReadBody reads a body of at most limit bytes. A longer one is an *adapter.TooLargeError: the beginning of a
// response is not a response, even if it can be decoded.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &adapter.TooLargeError{Limit: limit}
	}
	return data, nil
}

// discard reads a body of at most limit bytes to its end. A longer one is an *adapter.TooLargeError.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return &adapter.TooLargeError{Limit: limit}
	}
	return err
}
