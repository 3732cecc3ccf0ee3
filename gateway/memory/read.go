package memory

import "io"

// UnknownLength is the length of a body that doesn't declare one.
const UnknownLength = -1

// bufferChunk is the initial size of the buffer for a body of unknown length.
const bufferChunk = 32 << 10

// ReadAll reads a body of the given length, or up to its end if the length is UnknownLength. It
// calls grow with the number of bytes before it enlarges its buffer by them. If grow returns an
// error, ReadAll stops and returns that error.
func ReadAll(r io.Reader, length int64, grow func(bytes int64) error) ([]byte, error) {
	if length >= 0 {
		if err := grow(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		if err == io.EOF {
			// A response to a HEAD request declares the length of a body that is not sent.
			return nil, nil
		}
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(bufferChunk, cap(body))
			if err := grow(int64(more)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}
