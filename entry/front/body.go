package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/wardspool/wardspool/api"
)

// reserveStep is the amount of memory reserved at a time for a body of unknown
// length.
const reserveStep = 64 << 10

// readBody reads a complete body. It enforces the limits on the size of the
// body and on the memory of all bodies; the read deadline was set by
// withCommonHeaders. release returns the reserved memory.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), problem *api.Problem) {
	limit := f.opts.Limits.BodyBytes
	if r.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	body, reserved, problem := f.readReserved(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if problem != nil {
		f.memory.release(reserved)
		return nil, nil, problem
	}
	// From here on the server reads the connection only to detect that the
	// caller closed it, for as long as the request takes. The error is ignored
	// because response writers in tests support no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, func() { f.memory.release(reserved) }, nil
}

// readReserved reads r to its end and returns the amount of memory that it
// reserved.
func (f *Front) readReserved(r io.Reader, length int64) (body []byte, reserved int64, problem *api.Problem) {
	step := length
	if length < 0 {
		step = reserveStep
	}
	for {
		if !f.memory.reserve(step) {
			return nil, reserved, overloaded("the requests in flight take all memory for bodies")
		}
		reserved += step
		// One extra byte allows EOF to be seen without growing the buffer.
		grown := make([]byte, len(body), reserved+1)
		copy(grown, body)
		var err error
		body, err = readFull(grown, r)
		switch {
		case err == nil:
			step = max(reserved, reserveStep)
		case errors.Is(err, io.EOF):
			return body, reserved, nil
		default:
			return nil, reserved, bodyProblem(err)
		}
	}
}

// readFull reads until b is filled to its capacity, which is not an error, or
// until r fails or ends.
func readFull(b []byte, r io.Reader) ([]byte, error) {
	for len(b) < cap(b) {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

func tooLarge() *api.Problem {
	return api.NewProblem(api.ProblemTooLarge, api.NotRun, "the body is larger than this instance takes")
}

// bodyProblem returns the problem for an error from reading a body.
func bodyProblem(err error) *api.Problem {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return api.NewProblem(api.ProblemSlowSender, api.NotRun, "the body did not arrive in time")
	default:
		return api.NewProblem(api.ProblemMalformed, api.NotRun, "the body broke off")
	}
}
