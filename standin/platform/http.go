package platform

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/standin/control"
)

// HTTP headers of the protocol.
const (
	// HeaderIndex is the index of the value in the response.
	HeaderIndex = "X-Index"
	// HeaderReader is the ID of the instance that reads.
	HeaderReader = "X-Reader"
)

// MaxValue is the maximum size of a value, in bytes.
const MaxValue = 1 << 20

// maxWait is the maximum time for which a watch waits.
const maxWait = 60 * time.Second

// pathKeys is the path of the listing and the path prefix of the keys.
const pathKeys = "/v1/keys"

// ListedKey is one key of a listing.
type ListedKey struct {
	Key   string `json:"key"`
	Index uint64 `json:"index"`
}

// ListResponse is the response to GET /v1/keys?prefix=PREFIX.
type ListResponse struct {
	Keys []ListedKey `json:"keys"`
}

// WriteResponse is the response to a write by the test harness.
type WriteResponse struct {
	Index uint64 `json:"index"`
}

// Handler returns the handler of the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(control.PathJudge, p.serveJudge).Methods(http.MethodGet)
	router.HandleFunc(control.PathMode, p.serveMode).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(control.PathKeys+"{key:.+}", p.servePut).Methods(http.MethodPut)
	router.HandleFunc(control.PathKeys+"{key:.+}", p.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc(pathKeys+"/{key:.+}", p.serveGet).Methods(http.MethodGet)
	router.HandleFunc(pathKeys, p.serveList).Methods(http.MethodGet)
	return router
}

// servePut handles PUT /control/keys/{key}.
func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		control.WriteError(w, http.StatusRequestEntityTooLarge, control.CodeInvalid, err.Error())
		return
	}
	control.WriteJSON(w, http.StatusOK, WriteResponse{Index: p.Put(mux.Vars(r)["key"], value)})
}

// serveDelete handles DELETE /control/keys/{key}.
func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	control.WriteJSON(w, http.StatusOK, WriteResponse{Index: p.Delete(mux.Vars(r)["key"])})
}

// serveMode handles GET and PUT /control/mode.
func (p *Platform) serveMode(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var m control.PlatformMode
		if !control.ReadJSON(w, r, &m) {
			return
		}
		if err := p.SetMode(m); err != nil {
			control.WriteError(w, http.StatusBadRequest, control.CodeInvalid, err.Error())
			return
		}
	}
	control.WriteJSON(w, http.StatusOK, p.Mode())
}

// serveJudge handles GET /judge.
func (p *Platform) serveJudge(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, p.Judge())
}

// admit counts a reader's call. If the platform is down or the rate limit is exceeded, it
// sends the error response and returns false.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	p.mu.Lock()
	allowed, retryAfter := p.meter.call(r.Header.Get(HeaderReader), now)
	down, _ := p.down(now)
	p.mu.Unlock()
	if down {
		p.serveDown(w, r)
		return false
	}
	if !allowed {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		control.WriteError(w, http.StatusTooManyRequests, control.CodeRateLimited, "too many calls")
		return false
	}
	return true
}

// serveDown responds, or does not respond, as the platform does while it is down.
func (p *Platform) serveDown(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	by := p.mode.DownBehavior
	changed := p.changed
	p.mu.Unlock()
	switch by {
	case control.DownByClose:
		control.AbortConnection()
	case control.DownByHang:
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-p.ctx.Done():
		}
		control.AbortConnection()
	default:
		control.WriteError(w, http.StatusServiceUnavailable, control.CodeUnavailable, "the platform is down")
	}
}

// serveList handles GET /v1/keys?prefix=PREFIX.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	out := ListResponse{Keys: p.store.list(r.URL.Query().Get("prefix"), p.view(time.Now()))}
	p.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}
