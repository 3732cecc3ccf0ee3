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

// Headers of the protocol.
const (
	// HeaderIndex carries the index of the value answered.
	HeaderIndex = "X-Index"
	// HeaderReader names the instance that reads.
	HeaderReader = "X-Reader"
)

// MaxValue bounds a value, in bytes.
const MaxValue = 1 << 20

// maxWait bounds how long a watch waits.
const maxWait = 60 * time.Second

// pathKeys prefixes the keys that readers read.
const pathKeys = "/v1/keys"

// Entry is one key of a listing.
type Entry struct {
	Key   string `json:"key"`
	Index uint64 `json:"index"`
}

// Listing answers GET /v1/keys?prefix=PREFIX.
type Listing struct {
	Keys []Entry `json:"keys"`
}

// Written answers the bench's writes.
type Written struct {
	Index uint64 `json:"index"`
}

// Handler returns the platform's HTTP interface.
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

// servePut answers PUT /control/keys/{key}.
func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		control.WriteError(w, http.StatusRequestEntityTooLarge, control.CodeInvalid, err.Error())
		return
	}
	control.WriteJSON(w, http.StatusOK, Written{Index: p.Put(mux.Vars(r)["key"], value)})
}

// serveDelete answers DELETE /control/keys/{key}.
func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	control.WriteJSON(w, http.StatusOK, Written{Index: p.Delete(mux.Vars(r)["key"])})
}

// serveMode answers GET and PUT /control/mode.
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

// serveJudge answers GET /judge.
func (p *Platform) serveJudge(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, p.Judge())
}

// enter counts a reader's call and answers it if it is over the rate or the
// platform is down; it returns false then.
func (p *Platform) enter(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	p.mu.Lock()
	allowed, retryAfter := p.meter.call(r.Header.Get(HeaderReader), now)
	down, _ := p.down(now)
	p.mu.Unlock()
	if down {
		p.playDown(w, r)
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

// playDown gives the answer of a platform that is down.
func (p *Platform) playDown(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	by := p.mode.DownBy
	changed := p.changed
	p.mu.Unlock()
	switch by {
	case control.DownByClose:
		control.Drop()
	case control.DownByHang:
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-p.ctx.Done():
		}
		control.Drop()
	default:
		control.WriteError(w, http.StatusServiceUnavailable, control.CodeUnavailable, "the platform is down")
	}
}

// serveList answers GET /v1/keys?prefix=PREFIX.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r) {
		return
	}
	p.mu.Lock()
	out := Listing{Keys: p.store.list(r.URL.Query().Get("prefix"), p.view(time.Now()))}
	p.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}
