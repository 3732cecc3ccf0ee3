package driver

import (
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/config"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// testContent declares two engines whose link transfers 1,000 tokens per
// second.
func testContent() *config.Content {
	return &config.Content{
		Models: []config.Model{{Name: "m", KVBytesPerToken: 1000}},
		Upstreams: []config.Upstream{
			{ID: "pf-1", LinkBytesPerSecond: 1e6},
			{ID: "dc-1", LinkBytesPerSecond: 1e9},
		},
		Policy: config.Policy{TransferStall: 300 * time.Millisecond},
	}
}
