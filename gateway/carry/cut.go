package carry

import (
	"context"
	"errors"
)

// CutReason names the reason why a run of a stream ended early, in logs and metrics.
type CutReason string

// Reasons why a run ended early.
const (
	// CutByEngine means that the engine ended the run or the connection to it failed.
	CutByEngine CutReason = "engine"
	// CutBySilence means that the run was canceled because the engine did not respond.
	CutBySilence CutReason = "silence"
	// CutByMigration means that the run was stopped for a migration and could not be continued.
	CutByMigration CutReason = "move"
	// CutByCaller means that the caller disconnected.
	CutByCaller CutReason = "caller"
	// CutByDeadline means that the deadline passed.
	CutByDeadline CutReason = "deadline"
	// CutByStop means that the run had not finished when the grace period of the instance's
	// shutdown ended.
	CutByStop CutReason = "stop"
)

// cutReason returns the reason for a run that ended with err. ctx is the context of the request.
func cutReason(ctx context.Context, err error) CutReason {
	var silent *UnresponsiveError
	switch {
	case callerLeft(err):
		return CutByCaller
	case Stopped(ctx):
		return CutByStop
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CutByDeadline
	case ctx.Err() != nil:
		return CutByCaller
	case errors.As(err, &silent):
		return CutBySilence
	default:
		return CutByEngine
	}
}
