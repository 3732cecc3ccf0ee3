package peer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Frames use the format of the Language Server Protocol's base protocol:
// "Content-Length: N\r\n\r\n" followed by N bytes of JSON. The codec of the
// jsonrpc2 library limits neither header nor body size, so this package has its
// own.
const (
	lengthHeader = "Content-Length: "
	crlf         = "\r\n"
	// maxHeaderLine is the maximum length of a header line, in bytes.
	maxHeaderLine = 128
	// maxHeaderLines is the maximum number of header lines in a frame, including
	// the empty line that ends the header.
	maxHeaderLines = 4
	// initialBodyBytes is the maximum number of bytes allocated for a body before
	// any of it has been received.
	initialBodyBytes = 16 << 10
)

// appendFrame appends a frame with the given body to dst.
func appendFrame(dst, body []byte) []byte {
	dst = append(dst, lengthHeader...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, crlf+crlf...)
	return append(dst, body...)
}

// readFrame reads one frame and returns its body. Errors are *FrameError,
// *TooLargeError and those of the reader.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	n, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, &TooLargeError{Bytes: n, Limit: limit}
	}
	return readBody(r, n)
}

// readHeader reads the header lines and returns the body length. Unknown header
// fields are ignored.
func readHeader(r *bufio.Reader) (int, error) {
	length := 0
	for range maxHeaderLines {
		line, err := readLine(r)
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			if length == 0 {
				return 0, &FrameError{Part: "length"}
			}
			return length, nil
		}
		digits, ok := bytes.CutPrefix(line, []byte(lengthHeader))
		if !ok {
			continue
		}
		length, err = parseLength(digits)
		if err != nil {
			return 0, err
		}
	}
	return 0, &FrameError{Part: "header"}
}

// readLine reads one header line and strips the line terminator.
func readLine(r *bufio.Reader) ([]byte, error) {
	line := make([]byte, 0, len(lengthHeader)+len(crlf)+10)
	for len(line) < maxHeaderLine {
		b, err := r.ReadByte()
		if err != nil {
			return nil, err
		}
		line = append(line, b)
		if b != '\n' {
			continue
		}
		body, ok := bytes.CutSuffix(line, []byte(crlf))
		if !ok {
			return nil, &FrameError{Part: "header"}
		}
		return body, nil
	}
	return nil, &FrameError{Part: "header"}
}

// parseLength parses a body length, a positive decimal integer.
func parseLength(digits []byte) (int, error) {
	n, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil || n == 0 {
		return 0, &FrameError{Part: "length"}
	}
	return int(n), nil
}

// readBody reads n bytes. Beyond initialBodyBytes, memory is allocated as data
// arrives, so that a peer cannot make it allocate n bytes by sending only a header.
func readBody(r *bufio.Reader, n int) ([]byte, error) {
	if n <= initialBodyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var buf bytes.Buffer
	buf.Grow(initialBodyBytes)
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
