package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// result is the result of a call.
type result struct {
	dropped bool
	status  int
	answer  CallResponse
	failure control.ErrorBody
}

// do makes a call. header is a list of alternating names and values. A handler that aborts
// counts as dropped.
func do(t *testing.T, s *Service, body string, header ...string) (out result) {
	t.Helper()
	req := httptest.NewRequest(http.MethodPost, "/lookup", strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			out.dropped = true
		}
	}()
	s.Handler().ServeHTTP(w, req)
	out.status = w.Code
	var into any = &out.answer
	if w.Code != http.StatusOK {
		into = &out.failure
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), into))
	return out
}

// withService runs a test on a service with a fake clock and a delay of 20 ms per call.
func withService(t *testing.T, cfg Config, test func(t *testing.T, s *Service)) {
	cfg.Service, cfg.Delay = "billing", 20*time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		s := New(cfg)
		defer s.Close()
		test(t, s)
	})
}

func TestCall(t *testing.T) {
	withService(t, Config{}, func(t *testing.T, s *Service) {
		start := time.Now()
		got := do(t, s, "x", HeaderAttempt, "a1", HeaderCorrelation, "r1", HeaderKey, "k1")
		assert.Equal(t, time.Since(start), 20*time.Millisecond)
		assert.DeepEqual(t, got.answer, CallResponse{
			Service: "billing", RunNumber: 1, Method: http.MethodPost, Path: "/lookup", Echo: "x",
			AttemptID: "a1", CorrelationID: "r1",
		})
		do(t, s, "x", HeaderAttempt, "a2", HeaderCorrelation, "r1", HeaderKey, "k1")
		report := s.Judge()
		assert.Equal(t, report.Runs, 2)
		assert.DeepEqual(t, report.ByCorrelation, []judge.Count{{Name: "r1", N: 2}})
		assert.DeepEqual(t, report.ByKey, []judge.Count{{Name: "k1", N: 2}})
	})
}

func TestDeduplicates(t *testing.T) {
	withService(t, Config{Deduplicates: true}, func(t *testing.T, s *Service) {
		results := make(chan result, 3)
		for range 3 {
			go func() { results <- do(t, s, "x", HeaderKey, "k1") }()
		}
		replayed := 0
		for range 3 {
			got := <-results
			assert.Equal(t, got.answer.RunNumber, 1)
			if got.answer.Replayed {
				replayed++
			}
		}
		assert.Equal(t, replayed, 2)
		assert.Equal(t, do(t, s, "x").answer.RunNumber, 2) // without a key
		assert.Equal(t, s.Judge().Replayed, 2)
	})
}

func TestConcurrency(t *testing.T) {
	withService(t, Config{Concurrency: 1}, func(t *testing.T, s *Service) {
		done := make(chan result)
		go func() { done <- do(t, s, "x") }()
		synctest.Wait()
		got := do(t, s, "y")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.failure.Error.Code, control.CodeNotStarted)
		assert.Equal(t, (<-done).status, http.StatusOK)
		assert.Equal(t, do(t, s, "z").status, http.StatusOK)
		assert.Equal(t, s.Judge().Refused, 1)
	})
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withService(t, Config{ChecksFencing: checks}, func(t *testing.T, s *Service) {
			assert.Equal(t, do(t, s, "x", HeaderFence, "7").status, http.StatusOK)
			old := do(t, s, "x", HeaderFence, "6")
			if checks {
				assert.Equal(t, old.status, http.StatusConflict)
				assert.Equal(t, old.failure.Error.Code, control.CodeStaleFence)
				assert.Equal(t, old.failure.HighestFence, uint64(7))
			} else {
				assert.Equal(t, old.status, http.StatusOK)
			}
			assert.Equal(t, do(t, s, "x", HeaderFence, "7").status, http.StatusOK)
			assert.Equal(t, do(t, s, "x").status, http.StatusOK)
			assert.Equal(t, do(t, s, "x", HeaderFence, "-1").status, http.StatusBadRequest)
		})
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  control.ServiceFaults
		dropped bool
		status  int
		runs    int
	}{
		{"none", control.ServiceFaults{}, false, 200, 1},
		{"before", control.ServiceFaults{CloseBeforeRun: true}, true, 0, 0},
		{"after", control.ServiceFaults{CloseAfterRun: true}, true, 0, 1},
		{"error", control.ServiceFaults{ErrorRate: 1}, false, 500, 1},
		{"refuse", control.ServiceFaults{Refuse: true}, false, 503, 0},
		{"draining", control.ServiceFaults{Draining: true}, false, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withService(t, Config{}, func(t *testing.T, s *Service) {
				s.SetFaults(tt.faults)
				got := do(t, s, "x")
				assert.Equal(t, got.dropped, tt.dropped)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, s.Judge().Runs, tt.runs)
				assert.Equal(t, s.Judge().Running, 0)
			})
		})
	}
}

func TestErrorRateIsSeeded(t *testing.T) {
	failures := func(seed uint64) (n string) {
		withService(t, Config{Seed: seed}, func(t *testing.T, s *Service) {
			s.SetFaults(control.ServiceFaults{ErrorRate: 0.5, DelayMS: 30})
			start := time.Now()
			for range 20 {
				n += strconv.Itoa(do(t, s, "x").status)
			}
			assert.Equal(t, time.Since(start), time.Second)
		})
		return n
	}
	assert.Equal(t, failures(1), failures(1))
	assert.Assert(t, failures(1) != failures(2))
}

func TestCrash(t *testing.T) {
	withService(t, Config{Deduplicates: true}, func(t *testing.T, s *Service) {
		do(t, s, "x", HeaderKey, "k1")
		done := make(chan result)
		go func() { done <- do(t, s, "x", HeaderKey, "k2") }()
		synctest.Wait()
		s.Crash(time.Second)
		assert.Assert(t, (<-done).dropped)
		assert.Assert(t, do(t, s, "x").dropped)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, do(t, s, "x", HeaderKey, "k1").answer.Replayed, false)
		report := s.Judge()
		assert.Equal(t, report.Runs, 3)
		assert.Equal(t, report.Running, 0)
		assert.DeepEqual(t, report.ByKey, []judge.Count{{Name: "k1", N: 2}, {Name: "k2", N: 1}})
	})
}

func TestJudgeIsBounded(t *testing.T) {
	withService(t, Config{JudgeCap: 1}, func(t *testing.T, s *Service) {
		do(t, s, "x", HeaderCorrelation, "r1")
		do(t, s, "x", HeaderCorrelation, "r2")
		report := s.Judge()
		assert.Equal(t, len(report.ByCorrelation), 1)
		assert.Equal(t, report.Dropped, 1)
	})
}
