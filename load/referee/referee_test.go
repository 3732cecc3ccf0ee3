package referee

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/runner"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

func TestJudge(t *testing.T) {
	engine := judge.Engine{Requests: []judge.Request{
		{CorrelationID: "whole", PrefillRuns: 1, DecodeRuns: 1, PromptComputed: 100, LargestUsed: 100},
		{CorrelationID: "twice", PrefillRuns: 2, DecodeRuns: 2, PromptComputed: 300, LargestUsed: 200},
		{CorrelationID: "lied-to", PrefillRuns: 1, PromptComputed: 100},
	}}
	service := judge.Service{ByCorrelation: []judge.Count{
		{Name: "ordered-twice", N: 2}, {Name: "looked-up-twice", N: 2}, {Name: "lied-about", N: 1},
	}, ByKey: []judge.Count{{Name: "keyed-twice", N: 2}}}
	reports := &Reports{Engines: []judge.Engine{engine}, Services: []judge.Service{service}}
	records := []runner.Record{
		{ID: "whole", Outcome: api.Complete, Repeatable: true},
		{ID: "twice", Outcome: api.Complete, Repeatable: true},
		{ID: "lied-to", Outcome: api.NotRun, NotRun: true, Repeatable: true},
		{ID: "ordered-twice", Outcome: api.Complete},
		{ID: "keyed-twice", Outcome: api.Complete},
		{ID: "looked-up-twice", Outcome: api.Complete, Repeatable: true},
		{ID: "lied-about", Outcome: api.NotRun, NotRun: true},
		{ID: "truly-refused", Outcome: api.NotRun, NotRun: true},
		{ID: "invented", Outcome: api.Complete},
		{ID: "garbled", Outcome: api.Complete, InvalidAnswer: true},
	}
	v := Judge(records, reports, true)
	assert.DeepEqual(t, v.Duplicates, []string{"ordered-twice", "keyed-twice"})
	assert.DeepEqual(t, v.FalseNotRun, []string{"lied-to", "lied-about"})
	assert.DeepEqual(t, v.NeverRan, []string{"invented"})
	assert.DeepEqual(t, v.Wrong, []string{"garbled"})
	assert.Equal(t, v.PromptComputed, 500)
	assert.Equal(t, v.PromptWasted, 200)
	assert.Assert(t, v.Violated())
}

func TestJudgeLeak(t *testing.T) {
	held := judge.Engine{Held: judge.Held{Attempts: 1, Pieces: 3}}
	assert.Assert(t, Judge(nil, &Reports{Engines: []judge.Engine{held}}, true).Violated())
	assert.Assert(t, !Judge(nil, &Reports{}, true).Violated())
}

func TestFetch(t *testing.T) {
	serve := func(report any, status int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			control.WriteJSON(w, status, report)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	engine := serve(judge.Engine{ID: "e", Held: judge.Held{Attempts: 2}}, http.StatusOK)
	service := serve(judge.Service{ID: "s", Service: "billing", Runs: 3}, http.StatusOK)
	got, err := FetchIdle(context.Background(), []string{engine, service}, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Engines), 1)
	assert.Equal(t, got.Held().Attempts, 2)
	assert.Equal(t, len(got.Services), 1)
	assert.Equal(t, got.Services[0].Runs, 3)

	_, err = Fetch(context.Background(), []string{serve(nil, http.StatusTeapot)})
	var reportErr *ReportError
	assert.Assert(t, errors.As(err, &reportErr))
}
