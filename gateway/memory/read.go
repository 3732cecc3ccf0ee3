package memory

import "io"

// UnknownLength is the length of a body that doesn't declare one.
const UnknownLength = -1

// bufferChunk is the initial size of the buffer for a body of unknown length.
const bufferChunk = 32 << 10

// ReadAll reads a body of the given length, or up to its end if that is UnknownLength. grow
// charges bytes before the buffer grows by them; its error ends the reading.
func ReadAll(r io.Reader, length int64, grow func(bytes int64) error) ([]byte, error) {
	if length >= 0 {
		if err := grow(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		if err == io.EOF {
			// An answer to HEAD declares the length of a body that doesn't follow.
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
