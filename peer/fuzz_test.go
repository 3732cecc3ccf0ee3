package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wardspool/wardspool/ident"
)

const fuzzLimit = 1 << 10

// FuzzFrame checks that a decoded frame is within the limit and survives encoding
// and decoding unchanged, and that every error has a known type.
func FuzzFrame(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 2\r\n\r\n{}",
		"Content-Type: x\r\nContent-Length: 2\r\n\r\n{}",
		"Content-Length: 2\n\n{}",
		"Content-Length: 0\r\n\r\n",
		"Content-Length: -1\r\n\r\n",
		"Content-Length: 99999999999999999999\r\n\r\n",
		"Content-Length: 1025\r\n\r\n{}",
		"Content-Length: 10\r\n\r\n{}",
		"\r\n\r\n\r\n\r\n",
		"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readFrame(bufio.NewReader(bytes.NewReader(data)), fuzzLimit)
		if err != nil {
			checkFrameError(t, err)
			return
		}
		if len(body) == 0 || len(body) > fuzzLimit {
			t.Fatalf("body has %d bytes, want 1 to the limit", len(body))
		}
		again, err := readFrame(bufio.NewReader(bytes.NewReader(appendFrame(nil, body))), fuzzLimit)
		if err != nil || !bytes.Equal(again, body) {
			t.Fatalf("decoding the encoded frame returned %q, %v", again, err)
		}
	})
}

// checkFrameError fails the test if err is not of a known type.
func checkFrameError(t *testing.T, err error) {
	t.Helper()
	var fe *FrameError
	var le *TooLargeError
	eof := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if !eof && !errors.As(err, &fe) && !errors.As(err, &le) {
		t.Fatalf("untyped error %v", err)
	}
}

// FuzzHello checks that an accepted hello has valid members and survives encoding
// and decoding unchanged.
func FuzzHello(f *testing.F) {
	for _, seed := range []string{
		`{"version":1,"instance":"entry-a1","incarnation":7,"zone":"hall-a"}`,
		`{"version":2}`, `{"version":1,"instance":{}}`, `null`, `[]`, `{"version":1e0}`,
		`{"version":1,"instance":"a","incarnation":18446744073709551616,"zone":"b"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHello(data)
		if err != nil {
			var he *HelloError
			var ve *VersionError
			if !errors.As(err, &he) && !errors.As(err, &ve) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if !ident.ValidName(string(h.Instance)) || !ident.ValidName(string(h.Zone)) || h.Incarnation == 0 {
			t.Fatalf("decodeHello accepted invalid hello %+v", h)
		}
		body, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := decodeHello(body); err != nil || again != h {
			t.Fatalf("decoding the encoded hello returned %+v, %v", again, err)
		}
	})
}

// FuzzRemoteError checks that an error response counts as a refusal only if its
// data says so, never as not sent, and always decodes to an error.
func FuzzRemoteError(f *testing.F) {
	f.Add(int64(CodeBusy), []byte(`{"refused":true,"error":{"what":"calls","limit":3}}`))
	f.Add(int64(CodeBusy), []byte(`{"error":null}`))
	f.Add(int64(CodeStopping), []byte(`{"refused":"true"}`))
	f.Add(int64(9001), []byte(`{"refused":false,"error":{"slots":-1}}`))
	f.Add(int64(5), []byte(`[]`))
	f.Fuzz(func(t *testing.T, code int64, data []byte) {
		raw := json.RawMessage(data)
		delivery, err := decodeRemote(&jsonrpc2.Error{Code: code, Data: &raw})
		if err == nil {
			t.Fatal("error response decoded to a nil error")
		}
		if delivery == Refused && !bytes.Contains(bytes.ToLower(data), []byte("refused")) && !bytes.Contains(data, []byte(`\u`)) {
			t.Fatalf("Delivery is Refused for data %q", data)
		}
		if delivery == NotSent {
			t.Fatal("Delivery is NotSent for an answered call")
		}
	})
}
