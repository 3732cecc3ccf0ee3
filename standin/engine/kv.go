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

// pathPull is the endpoint from which an engine pulls a prefill result of
// another.
const pathPull = "/v1/kv/pull"

// incarnationBase is the number base of incarnations in engine IDs.
const incarnationBase = 36

// engineID identifies this incarnation of the engine in KV-transfer parameters.
func (e *Engine) engineID() string {
	return string(e.cfg.ID) + "@" + strconv.FormatUint(uint64(e.state.incarnation), incarnationBase)
}

// holdResult keeps a prefill result for a decode engine until Perf.KVLifetime
// ends.
func (e *Engine) holdResult(a *attempt) {
	state := e.state
	for range a.pieces {
		a.blockIDs = append(a.blockIDs, state.nextBlock)
		state.nextBlock++
	}
	state.resultsByBlock[a.blockIDs[0]] = a
	a.stage = StageHeld
	a.expiresAt = time.Now().Add(e.cfg.Perf.KVLifetime)
	a.timer = time.AfterFunc(e.cfg.Perf.KVLifetime, func() { e.evictResult(a) })
	close(a.ready)
}

// evictResult ends a prefill whose result was not pulled within its lifetime.
func (e *Engine) evictResult(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.stage == StageHeld {
		e.end(a, &failureEvicted)
	}
}

// transferParams returns the parameters with which a decode engine pulls the
// prefill result of a.
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

// servePull handles POST /v1/kv/pull. It responds when the transfer of the
// prefill result has ended.
func (e *Engine) servePull(w http.ResponseWriter, r *http.Request) {
	var req PullRequest
	if !control.ReadJSON(w, r, &req) {
		return
	}
	f, answer := e.startTransfer(req)
	if f == nil {
		failureNoKV.write(w)
		return
	}
	select {
	case <-f.done:
	case <-r.Context().Done():
		e.mu.Lock()
		e.state.transfers.cancelAndHold(f)
		e.mu.Unlock()
		return
	}
	if !f.sent {
		failureNoKV.write(w)
		return
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

// startTransfer starts the transfer requested by req. It returns a nil flow if
// the prefill result no longer exists or is already being sent.
func (e *Engine) startTransfer(req PullRequest) (*flow, PullResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(req.RemoteBlockIDs) == 0 || req.RemoteEngineID != e.engineID() {
		return nil, PullResponse{}
	}
	a := e.state.resultsByBlock[req.RemoteBlockIDs[0]]
	if a == nil || a.stage != StageHeld {
		return nil, PullResponse{}
	}
	return e.state.transfers.start(a), PullResponse{
		PromptTokens:   a.promptTokens,
		ComputedTokens: a.computed,
		CachedTokens:   a.cached,
		Bytes:          e.cfg.Perf.TransferBytes(a.promptTokens),
	}
}

// pullKV pulls the KV cache of a decode attempt, then starts the generation.
func (e *Engine) pullKV(ctx context.Context, a *attempt) {
	got, f := e.sendPullRequest(ctx, a.pullParams)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f != nil {
		e.end(a, f)
		return
	}
	if !a.running() {
		// The attempt was aborted as the transfer completed. The ledger has
		// already accounted for its end, so the waste is counted here.
		e.ledger.wasted(a, got.ComputedTokens)
		return
	}
	a.remoteComputed = got.ComputedTokens
	a.cached = got.CachedTokens
	e.storeBlocks(a)
	e.startDecode(a)
}

// sendPullRequest sends a pull request to the engine named by params.
func (e *Engine) sendPullRequest(ctx context.Context, params *KVTransferParams) (PullResponse, *failure) {
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
	// Without GetBody, the transport can't resend the request on a new
	// connection; a pull must not be sent twice.
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
