package entry

import (
	"context"
	"log/slog"

	"github.com/wardspool/wardspool/kernel"
)

// logRecord logs a decision.
func logRecord(log *slog.Logger, r *kernel.Record) {
	attrs := make([]slog.Attr, 0, 20)
	attrs = append(attrs,
		slog.String("request", string(r.Request)),
		slog.String("workspace", string(r.Workspace)),
		slog.String("kind", r.Kind),
		slog.String("step", string(r.Step)),
		slog.String("reason", string(r.Reason)),
		slog.Uint64("bundle_version", r.BundleVersion),
		slog.Duration("waited", r.Waited),
		slog.Duration("view_age", r.ViewAge),
		slog.Int("queue_length", r.QueueLength),
	)
	attrs = appendPlacement(attrs, r)
	if r.Outcome != "" {
		attrs = append(attrs, slog.String("outcome", string(r.Outcome)))
	}
	if r.Offset > 0 {
		attrs = append(attrs, slog.Int("offset", r.Offset))
	}
	if r.RetryAfter > 0 {
		attrs = append(attrs, slog.Duration("retry_after", r.RetryAfter))
	}
	log.LogAttrs(context.Background(), slog.LevelInfo, "decision", attrs...)
}

// appendPlacement appends the attempt, the upstreams that were chosen and the
// alternatives that were not.
func appendPlacement(attrs []slog.Attr, r *kernel.Record) []slog.Attr {
	if !r.Attempt.IsZero() {
		attrs = append(attrs, slog.String("attempt", r.Attempt.String()))
	}
	if r.Prefill != "" {
		attrs = append(attrs, slog.String("prefill", string(r.Prefill)))
	}
	if r.Decode != "" {
		attrs = append(attrs, slog.String("decode", string(r.Decode)))
	}
	if r.SoftwareVersion != "" {
		attrs = append(attrs, slog.String("software_version", r.SoftwareVersion))
	}
	if r.Cost != 0 {
		attrs = append(attrs, slog.Float64("cost", r.Cost))
	}
	if len(r.RunnersUp) > 0 {
		attrs = append(attrs, slog.Any("runners_up", r.RunnersUp))
	}
	if r.PredictedFirstOutput > 0 {
		attrs = append(attrs, slog.Duration("predicted_first_output", r.PredictedFirstOutput))
	}
	return attrs
}
