package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wardspool/wardspool/standin/control"
)

// pathPull is where an engine asks another for a prefill result.
const pathPull = "/v1/kv/pull"

// incarnationBase is the base in which incarnations are written in engine IDs.
const incarnationBase = 36

// engineID names this life of the engine in KV-transfer parameters.
func (e *Engine) engineID() string {
	return string(e.cfg.ID) + "@" + strconv.FormatUint(uint64(e.life.incarnation), incarnationBase)
}

// hold keeps a finished prefill for its decode engine until its lifetime ends.
func (e *Engine) hold(a *attempt) {
	l := e.life
	for range a.pieces {
		a.blockIDs = append(a.blockIDs, l.nextBlock)
		l.nextBlock++
	}
	l.results[a.blockIDs[0]] = a
	a.stage = StageHeld
	a.expires = time.Now().Add(e.cfg.Perf.KVLifetime)
	a.timer = time.AfterFunc(e.cfg.Perf.KVLifetime, func() { e.evict(a) })
	close(a.ready)
}

// evict drops a prefill result that outlived its lifetime.
func (e *Engine) evict(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.stage == StageHeld {
		e.end(a, &failureEvicted)
	}
}

// transferParams are the parameters that a decode engine needs to fetch a.
func (e *Engine) transferParams(a *attempt) *KVTransferParams {
	host, port := e.cfg.hostPort()
	return &KVTransferParams{
		DoRemotePrefill: true,
		RemoteEngineID:  e.engineID(),
		RemoteRequestID: a.id,
		RemoteBlockIDs:  a.blockIDs,
		RemoteHost:      host,
		RemotePort:      port,
	}
}

// servePull answers POST /v1/kv/pull when the prefill result has been sent.
func (e *Engine) servePull(w http.ResponseWriter, r *http.Request) {
	var req PullRequest
	if !control.ReadJSON(w, r, &req) {
		return
	}
	f, answer := e.startPull(req)
	if f == nil {
		failureNoKV.write(w)
		return
	}
	select {
	case <-f.done:
	case <-r.Context().Done():
		e.mu.Lock()
		e.life.transfers.giveUp(f)
		e.mu.Unlock()
		return
	}
	if !f.sent {
		failureNoKV.write(w)
		return
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

// startPull starts the transfer that req asks for; it returns nil if the
// prefill result is gone or on its way already.
func (e *Engine) startPull(req PullRequest) (*flow, PullResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(req.RemoteBlockIDs) == 0 || req.RemoteEngineID != e.engineID() {
		return nil, PullResponse{}
	}
	a := e.life.results[req.RemoteBlockIDs[0]]
	if a == nil || a.stage != StageHeld {
		return nil, PullResponse{}
	}
	return e.life.transfers.start(a), PullResponse{
		PromptTokens:   a.promptTokens,
		ComputedTokens: a.computed,
		CachedTokens:   a.cached,
		Bytes:          e.cfg.Perf.TransferBytes(a.promptTokens),
	}
}

// fetch pulls the KV cache of a decode attempt and starts its generation.
func (e *Engine) fetch(ctx context.Context, a *attempt) {
	got, f := e.callPull(ctx, a.pull)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f != nil {
		e.end(a, f)
		return
	}
	if !a.running() {
		// Aborted just when the transfer was done: the ledger has closed the
		// attempt, so the waste is added here.
		e.ledger.wasted(a, got.ComputedTokens)
		return
	}
	a.inherited = got.ComputedTokens
	a.cached = got.CachedTokens
	e.storeBlocks(a)
	e.join(a)
}

// callPull sends a pull to the engine that params name.
func (e *Engine) callPull(ctx context.Context, params *KVTransferParams) (PullResponse, *failure) {
	body, err := json.Marshal(PullRequest{
		RemoteEngineID:  params.RemoteEngineID,
		RemoteRequestID: params.RemoteRequestID,
		RemoteBlockIDs:  params.RemoteBlockIDs,
	})
	if err != nil {
		return PullResponse{}, &failureTransfer
	}
	host := net.JoinHostPort(strings.Trim(params.RemoteHost, "[]"), strconv.Itoa(params.RemotePort))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+pathPull, bytes.NewReader(body))
	if err != nil {
		return PullResponse{}, &failureTransfer
	}
	// A pull must not be sent twice on a new connection.
	req.GetBody = nil
	resp, err := e.cfg.Client.Do(req)
	if err != nil {
		return PullResponse{}, &failureTransfer
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		return PullResponse{}, &failureNoKV
	}
	var got PullResponse
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&got) != nil {
		return PullResponse{}, &failureTransfer
	}
	return got, nil
}
