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
	// retryOverloaded is when to come back after a limit of this instance was
	// reached: others may have room.
	retryOverloaded = time.Second
	// retryNotReady is when to come back to an instance that is starting.
	retryNotReady = 2 * time.Second
)

// newRequestID names a request whose caller did not.
func newRequestID() ident.RequestID {
	return ident.RequestID(ulid.MustNew(ulid.Now(), rand.Reader).String())
}

// write sends a problem as the whole answer.
func (f *Front) write(w http.ResponseWriter, p *api.Problem) {
	f.extendWrite(w)
	if err := p.WithOpenAI().Write(w); err != nil {
		f.opts.Log.Debug("problem not delivered", "request", p.RequestID, "error", err)
	}
}

// extendWrite gives the next write to the caller its time.
func (f *Front) extendWrite(w http.ResponseWriter) {
	// Writers of tests have no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.opts.Limits.WriteTimeout))
}

// unready returns the problem of an instance that takes no new requests, nil
// if it does.
func (f *Front) unready() *api.Problem {
	switch why := f.opts.Ready(); why {
	case IsReady, Leaving:
		return nil
	case Stopping:
		return api.NewProblem(api.ProblemStopping, api.NotRun, string(why)).RetryAfter(retryOverloaded)
	default:
		return api.NewProblem(api.ProblemNotReady, api.NotRun, string(why)).RetryAfter(retryNotReady)
	}
}

// overloaded returns the problem of a limit that is reached.
func overloaded(detail string) *api.Problem {
	return api.NewProblem(api.ProblemOverloaded, api.NotRun, detail).RetryAfter(retryOverloaded)
}
