package client

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/wardspool/wardspool/api"
)

// maxProblem is the maximum size of a problem document, in bytes.
const maxProblem = 64 << 10

// readProblem reads the body of a failed call's answer. It returns a
// *ProtocolError if the body is not a problem document with an outcome, and a
// *ConnError if the connection is lost.
func (r *Result) readProblem(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	if err != nil {
		return &ConnError{Sent: true, Err: err}
	}
	return r.setProblem(data)
}

// setProblem decodes a problem document and sets Problem and Outcome. It returns
// a *ProtocolError if the document is invalid.
func (r *Result) setProblem(data []byte) error {
	var p api.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return &ProtocolError{Detail: "a failure that is no problem document: " + err.Error()}
	}
	r.Problem = &p
	r.Outcome = p.Outcome
	switch p.Outcome {
	case api.NotRun, api.Unknown:
		return nil
	default:
		return &ProtocolError{Detail: "a problem document with outcome " + string(p.Outcome)}
	}
}
