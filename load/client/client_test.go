package client

import (
	"context"
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
)

func TestComplete(t *testing.T) {
	var (
		conn     *ConnError
		protocol *ProtocolError
		wrong    *WrongAnswerError
	)
	for name, tc := range map[string]struct {
		m       misbehaviour
		as      any
		outcome api.Outcome
	}{
		"whole":           {noFault, nil, api.Complete},
		"token missing":   {dropsToken, &wrong, api.Complete},
		"token swapped":   {swapsToken, &wrong, api.Complete},
		"broken off":      {truncatesStream, &conn, ""},
		"no outcome":      {noOutcome, &protocol, ""},
		"after the end":   {sendsAfterEnd, &protocol, api.Complete},
		"fails midway":    {failsMidway, nil, api.Unknown},
		"refused at once": {refuses, nil, api.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			c := New()
			defer c.Close()
			call := &Completion{Call: Call{Target: fakeInstance(t, tc.m), RequestID: "r1"}, Model: "m", Prompt: "a b c", MaxTokens: 5}
			got := c.Complete(context.Background(), call, call.Body())
			assert.Equal(t, got.Outcome, tc.outcome)
			if tc.as == nil {
				assert.NilError(t, got.Err)
			} else {
				assert.Assert(t, errors.As(got.Err, tc.as), "%T %v", got.Err, got.Err)
			}
			assert.Equal(t, got.Complete(), tc.m == noFault)
			assert.Assert(t, !got.Done.Before(got.First))
		})
	}
}

func TestCallService(t *testing.T) {
	var (
		protocol *ProtocolError
		wrong    *WrongAnswerError
	)
	for name, tc := range map[string]struct {
		m       misbehaviour
		as      any
		outcome api.Outcome
	}{
		"right":      {noFault, nil, api.Complete},
		"another's":  {answersOtherCall, &wrong, api.Complete},
		"no outcome": {noOutcome, &protocol, ""},
		"refused":    {refuses, nil, api.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := New()
			defer c.Close()
			call := &ServiceCall{Call: Call{Target: fakeInstance(t, tc.m), RequestID: "r1"}, Service: "billing", Path: "/lookup", Body: "x"}
			got := c.CallService(context.Background(), call)
			assert.Equal(t, got.Outcome, tc.outcome)
			if tc.as == nil {
				assert.NilError(t, got.Err)
			} else {
				assert.Assert(t, errors.As(got.Err, tc.as), "%T %v", got.Err, got.Err)
			}
		})
	}
}

func TestTicket(t *testing.T) {
	c := New()
	defer c.Close()
	got, err := c.Ticket(context.Background(), Call{Target: fakeInstance(t, noFault)})
	assert.NilError(t, err)
	assert.Equal(t, got, "t-1")

	_, err = c.Ticket(context.Background(), Call{Target: fakeInstance(t, refuses)})
	var problem *api.Problem
	assert.Assert(t, errors.As(err, &problem))
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())

	c := New()
	defer c.Close()
	call := &Completion{Call: Call{Target: address}, Model: "m", Prompt: "p", MaxTokens: 1}
	got := c.Complete(context.Background(), call, call.Body())
	var conn *ConnError
	assert.Assert(t, errors.As(got.Err, &conn))
	assert.Assert(t, !conn.Sent)
}
