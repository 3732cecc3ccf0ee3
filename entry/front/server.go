package front

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/api"
)

// Front is the HTTP API of an entry instance.
type Front struct {
	opts     Options
	memory   *budget
	requests *budget
	closing  atomic.Bool
}

// New returns a Front with the given options.
func New(o Options) *Front {
	return &Front{
		opts:     o,
		memory:   newBudget(o.Limits.MemoryBytes),
		requests: newBudget(o.Limits.Requests),
	}
}

// Close makes each connection close after its current request, so that callers
// reconnect to other instances.
func (f *Front) Close() { f.closing.Store(true) }

// Server returns an HTTP server for f. The caller provides the listener.
func (f *Front) Server() *http.Server {
	l := f.opts.Limits
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.opts.Log.Handler(), slog.LevelDebug),

		DisableGeneralOptionsHandler: true,
	}
}

// Handler returns the handler of all routes.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc(pathCompletions, f.serve).Methods(http.MethodPost)
	r.HandleFunc(pathChat, f.serve).Methods(http.MethodPost)
	r.HandleFunc(servicePrefix+"{service}/{path:.*}", f.serve)
	r.HandleFunc("/v1/models", f.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", f.issueTicket).Methods(http.MethodPost)
	r.HandleFunc("/healthz", f.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", f.readyz).Methods(http.MethodGet)
	r.Handle("/metrics", f.opts.Metrics).Methods(http.MethodGet)
	r.NotFoundHandler = f.problemHandler(http.StatusNotFound, "no such path")
	r.MethodNotAllowedHandler = f.problemHandler(http.StatusMethodNotAllowed, "the path does not take this method")
	return f.withCommonHeaders(r)
}

// withCommonHeaders sets the headers and time limits that all responses share.
func (f *Front) withCommonHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderInstance, string(f.opts.Instance))
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		// The write deadline for handlers that set none of their own, such as
		// metrics.
		f.renewWriteDeadline(w)
		if r.ContentLength != 0 {
			// The error is ignored because response writers in tests support no
			// deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.opts.Limits.BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// problemHandler returns a handler for requests that match no route.
func (f *Front) problemHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, problem := f.readCall(r)
		if c.path != "" {
			problem = noRoute(status, detail)
		}
		f.fail(w, c, problem)
	})
}

// noRoute returns the problem for a request that matches no route.
func noRoute(status int, detail string) *api.Problem {
	p := api.NewProblem(api.ProblemMalformed, api.NotRun, detail)
	p.Status = status
	p.Title = http.StatusText(status)
	return p
}

// budget is a limited amount of a resource that the requests in flight share.
type budget struct {
	limit int64
	used  atomic.Int64
}

func newBudget(limit int64) *budget { return &budget{limit: limit} }

// reserve reserves n and reports whether that much was available.
func (b *budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// release releases n.
func (b *budget) release(n int64) { b.used.Add(-n) }
