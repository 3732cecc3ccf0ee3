package carry

import (
	"context"
	"errors"
)

// Cut says what ended a run of a stream before its end, as logs and metrics name it.
type Cut string

// The causes.
const (
	// CutByEngine runs were ended by their engine, or by the way to it.
	CutByEngine Cut = "engine"
	// CutBySilence runs were given up because the engine didn't answer.
	CutBySilence Cut = "silence"
	// CutByMove runs were stopped for a move and did not go on.
	CutByMove Cut = "move"
	// CutByCaller runs lost their caller.
	CutByCaller Cut = "caller"
	// CutByDeadline runs had no time left.
	CutByDeadline Cut = "deadline"
	// CutByStop runs outlived the grace time of their instance.
	CutByStop Cut = "stop"
)

// cutBy says what ended a run with an error.
func cutBy(ctx context.Context, err error) Cut {
	var silent *SilentError
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
