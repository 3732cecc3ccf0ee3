package gateway

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/internal/pause"
)

// migrateInterval is how often running streams are checked for migration. An engine that runs
// twelve streams fills another 1.5% of its memory in this time.
const migrateInterval = 100 * time.Millisecond

// migrate moves streams away from engines that are running out of memory or are leaving, until
// ctx ends. It does not poll while no stream is running.
func (g *Service) migrate(ctx context.Context) {
	for g.forwarder.AwaitStreams(ctx) && pause.For(ctx, migrateInterval) {
		if s := g.node.Snapshot(); s.Ready() {
			g.forwarder.Migrate(s.Table.Config().Services)
		}
	}
}
