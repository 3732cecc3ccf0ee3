package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// ticketAnswer holds the field that is read from the answer to POST /v1/tickets.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

// Ticket requests a ticket from an instance for a call that is not repeatable.
// Errors are of type *ConnError, *ProtocolError or *api.Problem.
func (c *Client) Ticket(ctx context.Context, call Call) (string, error) {
	url := c.url(call.Target, "/v1/tickets")
	resp, err := c.do(ctx, http.MethodPost, url, call, strings.NewReader("{}"), "application/json")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		r := &Result{}
		if err := r.readProblem(resp); err != nil {
			return "", err
		}
		return "", r.Problem
	}
	var got ticketAnswer
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	if err != nil {
		return "", &ConnError{Sent: true, Err: err}
	}
	if err := json.Unmarshal(data, &got); err != nil || got.Ticket == "" {
		return "", &ProtocolError{Detail: "an answer without a ticket"}
	}
	return got.Ticket, nil
}
