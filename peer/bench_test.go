package peer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall measures one call over loopback TCP with both ends in one
// process.
func BenchmarkCall(b *testing.B) {
	addr := startServer(b, Config{Self: entryB, Allow: allowAll}, func(s *Server) { Handle(s, "echo", echo) })
	p := startPool(b, Config{Self: entryA, Allow: allowAll})
	req := echoRequest{Text: "sixty-four bytes or so of request, like a slot lease's parameters"}
	b.ReportAllocs()
	for b.Loop() {
		_, err := Call[echoResponse](context.Background(), p, addr, "echo", req)
		assert.NilError(b, err)
	}
	total := p.Stats().Total
	b.ReportMetric(float64(total.Sent)/float64(b.N), "sentB/op")
	b.ReportMetric(float64(total.Received)/float64(b.N), "recvB/op")
}

// BenchmarkCallParallel measures concurrent calls on one connection.
func BenchmarkCallParallel(b *testing.B) {
	addr := startServer(b, Config{Self: entryB, Allow: allowAll}, func(s *Server) { Handle(s, "echo", echo) })
	p := startPool(b, Config{Self: entryA, Allow: allowAll})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := Call[echoResponse](context.Background(), p, addr, "echo", echoRequest{Text: "x"}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
