package service

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// decision is how the service handles a call.
type decision struct {
	// closeConnection closes the connection without running the call.
	closeConnection bool
	refusal         *refusal
	// stored is the stored response to the call's idempotency key. Its run may still be
	// in progress.
	stored *storedAnswer
	// run is the run that the call started.
	run *run
}

// run is the execution of one call.
type run struct {
	call   call
	number int
	delay  time.Duration
	fails  bool
	// closesConnection closes the connection after the run instead of responding.
	closesConnection bool
	// store receives the response for later calls; nil if it is not stored.
	store *storedAnswer
	// crashed is closed when the service crashes.
	crashed <-chan struct{}
}

// serveCall runs a call, unless it is refused or has a stored response.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(HeaderAttempt); id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	c, bad := parseCall(w, r)
	if bad != nil {
		bad.write(w)
		return
	}
	p := s.decide(c)
	switch {
	case p.closeConnection:
		control.AbortConnection()
	case p.refusal != nil:
		p.refusal.write(w)
	case p.stored != nil:
		s.replay(w, r, p.stored)
	default:
		s.execute(w, p.run)
	}
}

// decide returns what to do with a call. If the call is to run, its run is counted as
// started.
func (s *Service) decide(c call) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CloseBeforeRun || s.connected.Err() != nil {
		return decision{closeConnection: true}
	}
	if s.cfg.Deduplicates && c.key != "" {
		if first := s.answers[c.key]; first != nil {
			s.replays++
			return decision{stored: first}
		}
	}
	if bad := s.checkRefusal(c); bad != nil {
		s.refused++
		return decision{refusal: bad}
	}
	return decision{run: s.startRun(c)}
}

// checkRefusal returns the reason why the service refuses a call, or nil if it accepts it.
func (s *Service) checkRefusal(c call) *refusal {
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

// startRun returns a new run of a call and counts it.
func (s *Service) startRun(c call) *run {
	s.runs++
	s.running++
	s.byCorrelation.add(c.correlation)
	s.byKey.add(c.key)
	s.highest = max(s.highest, c.fence)
	out := &run{
		call:             c,
		number:           s.runs,
		delay:            s.cfg.Delay + time.Duration(s.faults.DelayMS)*time.Millisecond,
		fails:            s.faults.ErrorRate > 0 && s.random.Float64() < s.faults.ErrorRate,
		closesConnection: s.faults.CloseAfterRun,
		crashed:          s.connected.Done(),
	}
	if s.cfg.Deduplicates && c.key != "" {
		out.store = &storedAnswer{done: make(chan struct{})}
		s.answers[c.key] = out.store
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
	case <-r.crashed:
	}
	crashed := isClosed(r.crashed)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if crashed {
		control.AbortConnection()
	}
	status, answer := r.answer(s.cfg.Service)
	if r.store != nil {
		r.store.status = status
		r.store.answer = answer
		close(r.store.done)
	}
	if r.closesConnection {
		control.AbortConnection()
	}
	write(w, status, answer)
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// answer returns the status and the response to the run's call.
func (r *run) answer(service string) (int, CallResponse) {
	status := http.StatusOK
	if r.fails {
		status = http.StatusInternalServerError
	}
	return status, CallResponse{
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
func (s *Service) replay(w http.ResponseWriter, r *http.Request, first *storedAnswer) {
	s.mu.Lock()
	crashed := s.connected.Done()
	s.mu.Unlock()
	select {
	case <-first.done:
	case <-crashed:
		control.AbortConnection()
	case <-r.Context().Done():
		return
	}
	answer := first.answer
	answer.Replayed = true
	write(w, first.status, answer)
}

// write sends the response of a run, or an error response if the run failed.
func write(w http.ResponseWriter, status int, answer CallResponse) {
	if status != http.StatusOK {
		control.WriteError(w, status, control.CodeInternal, "the call ran and failed")
		return
	}
	control.WriteJSON(w, status, answer)
}
