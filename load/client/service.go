package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/wardspool/wardspool/api"
)

// ServiceCall is a call of a plain service, POST /services/SERVICE/PATH.
type ServiceCall struct {
	Call
	Service string
	Path    string
	Body    string
}

// serviceAnswer holds the fields that are read from a stand-in service's answer.
type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// maxServiceAnswer is the maximum size of an answer, in bytes.
const maxServiceAnswer = 1 << 20

// CallService calls a plain service and checks the answer.
func (c *Client) CallService(ctx context.Context, call *ServiceCall) *Result {
	r := &Result{}
	url := c.url(call.Target, "/services/"+call.Service+call.Path)
	resp, err := c.do(ctx, http.MethodPost, url, call.Call, strings.NewReader(call.Body), "text/plain")
	if err != nil {
		r.Err = err
		return r.finish()
	}
	defer func() { _ = resp.Body.Close() }()
	r.readHeaders(resp)
	if resp.Header.Get("Content-Type") == api.ProblemContentType {
		r.Err = r.readProblem(resp)
		return r.finish()
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswer))
	r.finish()
	switch {
	case err != nil:
		r.Err = &ConnError{Sent: true, Err: err}
	case r.Outcome == "":
		r.Err = &ProtocolError{Detail: "an answer without an outcome"}
	case resp.StatusCode == http.StatusOK:
		r.Err = call.check(data)
	}
	return r
}

// MismatchError reports a service's answer that belongs to another call.
type MismatchError struct{ Want, Got string }

// Error implements error.
func (e *MismatchError) Error() string { return fmt.Sprintf("want %s, got %s", e.Want, e.Got) }

// check returns a *WrongAnswerError if the answer belongs to another call. Calls
// are told apart by their bodies, which should therefore be unique.
func (c *ServiceCall) check(data []byte) error {
	var got serviceAnswer
	if err := json.Unmarshal(data, &got); err != nil {
		return &WrongAnswerError{Err: err}
	}
	want := serviceAnswer{Service: c.Service, Path: c.Path, Echo: c.Body}
	if got != want {
		return &WrongAnswerError{Err: &MismatchError{Want: fmt.Sprintf("%+v", want), Got: fmt.Sprintf("%+v", got)}}
	}
	return nil
}
