package roundtrip

import (
	"bufio"
	"io"
	"net/http"
	"net/url"
	"testing"
)

// BenchmarkWrite measures how a request is written.
func BenchmarkWrite(b *testing.B) {
	req := &http.Request{Method: "POST", URL: &url.URL{Scheme: "http", Host: "127.0.0.1:80", Opaque: "/orders/7?unit=7"}, Host: "h.example", Header: http.Header{
		"Request-Id": {"9c41d07be2a35f68"}, "Deadline-Ms": {"14000"}, "Model": {"m"}, "Token-Usage": {"1460,80"}, "User-Agent": nil,
	}}
	setBody(req, nil, 0)
	w := bufio.NewWriter(io.Discard)
	b.ReportAllocs()
	for b.Loop() {
		if err := writeRequest(w, req); err != nil {
			b.Fatal(err)
		}
	}
}
