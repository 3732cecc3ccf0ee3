package front

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

const (
	// retryAfterOverload is the retry delay after a limit of this instance was
	// reached. It is short because other instances may have capacity.
	retryAfterOverload = time.Second
	// retryAfterNotReady is the retry delay for an instance that is starting.
	retryAfterNotReady = 2 * time.Second
)

// newRequestID returns an ID for a request whose caller set none.
func newRequestID() ident.RequestID {
	return ident.RequestID(ulid.MustNew(ulid.Now(), rand.Reader).String())
}

// writeProblemDocument sends a problem document as the response.
func (f *Front) writeProblemDocument(w http.ResponseWriter, p *api.Problem) {
	f.renewWriteDeadline(w)
	if err := p.WithOpenAI().Write(w); err != nil {
		f.opts.Log.Debug("problem not delivered", "request", p.RequestID, "error", err)
	}
}

// renewWriteDeadline sets the deadline of the next write to the caller.
func (f *Front) renewWriteDeadline(w http.ResponseWriter) {
	// The error is ignored because response writers in tests support no
	// deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.opts.Limits.WriteTimeout))
}

// notReadyProblem returns the problem of an instance that accepts no new
// requests, or nil if it accepts them.
func (f *Front) notReadyProblem() *api.Problem {
	switch why := f.opts.Ready(); why {
	case IsReady, ShutdownPending:
		return nil
	case Stopping:
		return api.NewProblem(api.ProblemStopping, api.NotRun, string(why)).WithRetryAfter(retryAfterOverload)
	default:
		return api.NewProblem(api.ProblemNotReady, api.NotRun, string(why)).WithRetryAfter(retryAfterNotReady)
	}
}

// overloaded returns the problem for a limit that was reached.
func overloaded(detail string) *api.Problem {
	return api.NewProblem(api.ProblemOverloaded, api.NotRun, detail).WithRetryAfter(retryAfterOverload)
}
