package service

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// plan is the decision what to do with a call.
type plan struct {
	// die closes the connection without running the call.
	die     bool
	refusal *refusal
	// first is the stored response to the call's idempotency key. Its run may still be
	// in progress.
	first *stored
	// run is the run that the call started.
	run *run
}

// run is the execution of one call.
type run struct {
	call   call
	number int
	delay  time.Duration
	fails  bool
	// dies closes the connection after the run instead of responding.
	dies bool
	// keep receives the response for later calls; nil if it is not stored.
	keep *stored
	// over is closed when the service crashes.
	over <-chan struct{}
}

// serveCall runs a call, unless it is refused or has a stored response.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	c, bad := readCall(w, r)
	if bad != nil {
		bad.write(w)
		return
	}
	p := s.decide(c)
	switch {
	case p.die:
		control.Drop()
	case p.refusal != nil:
		p.refusal.write(w)
	case p.first != nil:
		s.replay(w, r, p.first)
	default:
		s.execute(w, p.run)
	}
}

// decide returns what to do with a call. If the call is to run, its run is counted as
// started.
func (s *Service) decide(c call) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DieBeforeRun || s.connected.Err() != nil {
		return plan{die: true}
	}
	if s.cfg.Deduplicates && c.key != "" {
		if first := s.answers[c.key]; first != nil {
			s.replays++
			return plan{first: first}
		}
	}
	if bad := s.refusal(c); bad != nil {
		s.refused++
		return plan{refusal: bad}
	}
	return plan{run: s.begin(c)}
}

// refusal returns the reason why the service refuses a call, or nil if it accepts it.
func (s *Service) refusal(c call) *refusal {
	unavailable := http.StatusServiceUnavailable
	switch {
	case s.faults.Draining:
		return &refusal{status: unavailable, code: control.CodeDraining, message: "the service is leaving"}
	case s.faults.Refuse:
		return &refusal{status: unavailable, code: control.CodeNotStarted, message: "the service was told to refuse"}
	case s.cfg.Concurrency > 0 && s.running >= s.cfg.Concurrency:
		return &refusal{status: unavailable, code: control.CodeNotStarted, message: "too many calls run"}
	case s.cfg.Deduplicates && c.key != "" && len(s.answers) >= s.cfg.JudgeCap:
		return &refusal{status: unavailable, code: control.CodeNotStarted, message: "the store of answers is full"}
	case s.cfg.ChecksFencing && c.fenced && c.fence < s.highest:
		return &refusal{
			status:  http.StatusConflict,
			code:    control.CodeStaleFence,
			message: "a higher fencing token was seen",
			highest: s.highest,
		}
	default:
		return nil
	}
}

// begin returns a new run of a call and counts it.
func (s *Service) begin(c call) *run {
	s.runs++
	s.running++
	s.byCorrelation.add(c.correlation)
	s.byKey.add(c.key)
	s.highest = max(s.highest, c.fence)
	out := &run{
		call:   c,
		number: s.runs,
		delay:  s.cfg.Delay + time.Duration(s.faults.DelayMS)*time.Millisecond,
		fails:  s.faults.ErrorRate > 0 && s.random.Float64() < s.faults.ErrorRate,
		dies:   s.faults.DieAfterRun,
		over:   s.connected.Done(),
	}
	if s.cfg.Deduplicates && c.key != "" {
		out.keep = &stored{done: make(chan struct{})}
		s.answers[c.key] = out.keep
	}
	return out
}

// execute waits for the duration of a run and responds. The run continues if its caller
// disconnects.
func (s *Service) execute(w http.ResponseWriter, r *run) {
	timer := time.NewTimer(r.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.over:
	}
	crashed := isDone(r.over)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if crashed {
		control.Drop()
	}
	status, answer := r.answer(s.cfg.Service)
	if r.keep != nil {
		r.keep.status = status
		r.keep.answer = answer
		close(r.keep.done)
	}
	if r.dies {
		control.Drop()
	}
	write(w, status, answer)
}

// isDone reports whether a channel is closed.
func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// answer returns the status and the response to the run's call.
func (r *run) answer(service string) (int, Answer) {
	status := http.StatusOK
	if r.fails {
		status = http.StatusInternalServerError
	}
	return status, Answer{
		Service:       service,
		RunNumber:     r.number,
		Method:        r.call.method,
		Path:          r.call.path,
		Echo:          r.call.body,
		AttemptID:     r.call.attempt,
		CorrelationID: r.call.correlation,
	}
}

// replay waits for the stored response and sends it.
func (s *Service) replay(w http.ResponseWriter, r *http.Request, first *stored) {
	s.mu.Lock()
	over := s.connected.Done()
	s.mu.Unlock()
	select {
	case <-first.done:
	case <-over:
		control.Drop()
	case <-r.Context().Done():
		return
	}
	answer := first.answer
	answer.Replayed = true
	write(w, first.status, answer)
}

// write sends the response of a run, or an error response if the run failed.
func write(w http.ResponseWriter, status int, answer Answer) {
	if status != http.StatusOK {
		control.WriteError(w, status, control.CodeInternal, "the call ran and failed")
		return
	}
	control.WriteJSON(w, status, answer)
}
