package gateway

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/internal/pause"
)

// migrateInterval is how often running streams are looked at. An engine with twelve
// streams fills by 1.5% of its memory in this time.
const migrateInterval = 100 * time.Millisecond

// migrate moves streams away from engines that run out of memory or leave, until ctx
// ends. It does not poll while no stream is running.
func (g *Service) migrate(ctx context.Context) {
	for g.carrier.AwaitStreams(ctx) && pause.For(ctx, migrateInterval) {
		if s := g.node.Snapshot(); s.Ready() {
			g.carrier.Migrate(s.Table.Config().Services)
		}
	}
}
