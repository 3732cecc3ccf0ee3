package service

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// pathHealth is the health check. It is the only path, apart from those of the test harness,
// that is not a call.
const pathHealth = "/healthz"

// Handler returns the handler of the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(control.PathJudge, s.serveJudge).Methods(http.MethodGet)
	router.HandleFunc(control.PathFaults, s.serveFaults).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(control.PathCrash, s.serveCrash).Methods(http.MethodPost)
	router.HandleFunc(pathHealth, s.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

// serveHealth handles GET /healthz.
func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	dead := s.connected.Err() != nil
	s.mu.Unlock()
	if dead {
		control.AbortConnection()
	}
	w.WriteHeader(http.StatusOK)
}

// serveJudge handles GET /judge.
func (s *Service) serveJudge(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, s.Judge())
}

// serveFaults handles GET and PUT /control/faults.
func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f control.ServiceFaults
		if !control.ReadJSON(w, r, &f) {
			return
		}
		s.SetFaults(f)
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, f)
}

// serveCrash handles POST /control/crash.
func (s *Service) serveCrash(w http.ResponseWriter, r *http.Request) {
	var c control.Crash
	if !control.ReadJSON(w, r, &c) {
		return
	}
	s.Crash(time.Duration(c.DownMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}
