package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// Handler returns the HTTP handler for all endpoints of the engine.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(control.PathJudge, e.serveJudge).Methods(http.MethodGet)
	router.HandleFunc(control.PathFaults, e.serveFaults).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(control.PathCrash, e.serveCrash).Methods(http.MethodPost)

	open := router.NewRoute().Subrouter()
	open.Use(e.withConnection, withAttempt, e.withLoadHeader)
	open.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	open.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	open.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	open.HandleFunc("/v1/streams/{attempt}", e.serveResume).Methods(http.MethodGet)
	open.HandleFunc("/abort_request", e.serveAbort).Methods(http.MethodPost)
	open.HandleFunc("/v1/requests", e.serveRequests).Methods(http.MethodGet)
	open.HandleFunc(pathPull, e.servePull).Methods(http.MethodPost)
	open.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	open.HandleFunc("/v1/cache_events", e.serveCacheEvents).Methods(http.MethodGet)
	open.HandleFunc("/v1/cache_blocks", e.serveCacheBlocks).Methods(http.MethodGet)
	open.HandleFunc("/v1/orders", e.servePostOrder).Methods(http.MethodPost)
	open.HandleFunc("/v1/orders", e.serveGetOrders).Methods(http.MethodGet)
	return router
}

// withConnection closes the connection without a response while connections are
// dropped, and cancels the request if that begins while it is served.
func (e *Engine) withConnection(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		connected := e.connected
		e.mu.Unlock()
		if connected.Err() != nil {
			control.AbortConnection()
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(connected, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
		if connected.Err() != nil {
			control.AbortConnection()
		}
	})
}

// withAttempt repeats the attempt ID of each request in its response.
func withAttempt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderAttempt); id != "" {
			w.Header().Set(HeaderAttempt, id)
		}
		next.ServeHTTP(w, r)
	})
}

// withLoadHeader adds an ORCA load report to each response. The report is made
// when the response header is written.
func (e *Engine) withLoadHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&loadWriter{ResponseWriter: w, engine: e}, r)
	})
}

// loadWriter adds the load header when the response header is written.
type loadWriter struct {
	http.ResponseWriter
	engine *Engine
	wrote  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *loadWriter) WriteHeader(status int) {
	w.addLoad()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *loadWriter) Write(b []byte) (int, error) {
	w.addLoad()
	return w.ResponseWriter.Write(b)
}

// addLoad sets the load header on the first call.
func (w *loadWriter) addLoad() {
	if w.wrote {
		return
	}
	w.wrote = true
	metrics, err := json.Marshal(w.engine.loadMetrics())
	if err == nil {
		w.Header().Set(HeaderLoad, "JSON "+string(metrics))
	}
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *loadWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// serveHealth handles GET /healthz.
func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// serveRequests handles GET /v1/requests.
func (e *Engine) serveRequests(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.heldRequests())
}

// heldRequests lists the attempts that have not ended, in order of arrival.
func (e *Engine) heldRequests() RequestsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := RequestsResponse{
		Incarnation: e.state.incarnation,
		Role:        e.role(),
		Requests:    []HeldRequest{},
	}
	for _, a := range e.activeAttempts() {
		out.Requests = append(out.Requests, HeldRequest{
			ID:            a.id,
			CorrelationID: a.correlation,
			Stage:         a.stage,
			Pieces:        a.pieces,
			SinceMS:       a.receivedAt.UnixMilli(),
		})
	}
	return out
}
