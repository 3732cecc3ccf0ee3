package front

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/connlimit"
	"github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/logs"
)

// The reasons for which an instance declines relayed requests.
const (
	declinedStopping  = "stopping"
	declinedNotReady  = "not_ready"
	declinedOldConfig = "old_configuration"
	declinedNoMemory  = "no_memory"
	declinedMalformed = "malformed"
)

// AcceptsRelayed reports whether this instance serves requests that peers relay.
func (f *Front) AcceptsRelayed() bool { return f.declineReason() == "" }

// declineReason returns why this instance serves no relayed requests, "" if it does.
func (f *Front) declineReason() string {
	switch {
	case f.closing.Load():
		return declinedStopping
	case !f.o.View().Ready():
		return declinedNotReady
	default:
		return ""
	}
}

// ServeRelayed answers a request that a peer relays. The peer has charged it to its workspace's
// limit and counted it for the retry budget.
func (f *Front) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	defer f.reportPanic(r)
	if reason := f.declineReason(); reason != "" {
		f.decline(w, "", reason)
		return
	}
	q, body, length, err := relay.ReadRequest(r)
	if err != nil {
		f.o.Log.Warn("malformed relayed request declined", "error", err)
		f.decline(w, "", declinedMalformed)
		return
	}
	j, reason := f.admitRelayed(q)
	if reason != "" {
		f.decline(w, q.Call.ID, reason)
		return
	}
	j.Memory = f.o.Memory.Open(memoryAccountKey(r, j))
	defer j.Memory.Close()
	if j.Call.Body, err = readRelayedBody(body, length, j.Memory.TryGrow); err != nil {
		f.o.Log.Info("failed to read a relayed request", "request", j.Call.ID, "error", err)
		f.decline(w, j.Call.ID, declineReasonOf(err))
		return
	}
	connlimit.PassedOn(r.Context())
	j.Content = quarantine.ContentOf(j.Call)
	f.o.RequestArrived()
	f.o.Count("served_for_peer")
	f.answerRelayed(r.Context(), w, j)
}

// declineReasonOf returns the reason to decline a request whose body could not be read.
func declineReasonOf(err error) string {
	var exceeded *memory.BudgetExceededError
	if errors.As(err, &exceeded) {
		return declinedNoMemory
	}
	return declinedMalformed
}

// readRelayedBody reads the body of a relayed request of the given length.
func readRelayedBody(r io.Reader, length int64, grow func(int64) error) ([]byte, error) {
	if length < 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err := grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// decline tells a peer that this instance does not serve its request, and that another one may.
func (f *Front) decline(w http.ResponseWriter, request, reason string) {
	f.o.Count("relay_declined")
	f.o.Log.Info("relayed request declined", "request", request, "reason", reason)
	f.writeRelayFailure(w, relay.Failure{Outcome: relay.NotRun, Declined: true, Reason: reason})
}

// writeRelayFailure tells a peer that its request got no answer.
func (f *Front) writeRelayFailure(w http.ResponseWriter, failure relay.Failure) {
	if err := relay.WriteFailure(w, failure); err != nil {
		f.o.Log.Debug("failed to answer a peer", "error", err)
	}
}

// admitRelayed finds the route, workspace and service of a relayed request and returns the job to
// carry out, or the reason to decline it.
func (f *Front) admitRelayed(q *relay.Request) (j *carry.Job, declined string) {
	view := f.o.View()
	if view.Version() < q.Version {
		f.o.Refresh()
		return nil, declinedOldConfig
	}
	if _, authority, err := target.Parse(string(q.Call.Target)); err != nil || authority != "" {
		return nil, declinedMalformed
	}
	j, err := f.admit(&q.Call, view.Table)
	if err != nil {
		// This instance has a newer configuration, in which the request is not allowed.
		f.o.Log.Info("relayed request not allowed", "request", q.Call.ID, "version", view.Version(), "peer_version", q.Version, "error", err)
		return nil, declinedOldConfig
	}
	if service, ok := view.Table.Service(q.Service); ok && j.Route.Serves(q.Service) {
		j.Service = service
	}
	now := clock.Now()
	j.Arrived = now.Add(-time.Duration(q.WaitedMS) * time.Millisecond)
	j.Deadline = now.Add(time.Duration(q.RemainingMS) * time.Millisecond)
	j.Relayed, j.PriorRuns, j.SoftwareVersion = true, q.Runs, q.SoftwareVersion
	return j, ""
}

// answerRelayed carries out a relayed request and answers the peer.
func (f *Front) answerRelayed(ctx context.Context, w http.ResponseWriter, j *carry.Job) {
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(time.Now().Add(clock.Until(j.Deadline) + writeSlack)); err != nil {
		f.o.Log.Debug("failed to set the write deadline", "error", err)
	}
	relay.MarkAnswer(w.Header())
	response, err := f.forward(ctx, j, &streamWriter{w: w, rc: rc})
	f.o.Log.Info("served for a peer", "request", j.Call.ID, "content", j.Content.String(), "route", j.Route.Name, "workspace", j.WorkspaceName(),
		"waited_ms", clock.Since(j.Arrived).Milliseconds(), "version", j.Version, "error", logs.ErrorText(err))
	var failed *carry.Error
	switch {
	case errors.As(err, &failed):
		f.writeRelayFailure(w, carry.RelayFailure(failed))
	case err != nil:
		// The answer broke off, or the peer has disconnected.
		panic(http.ErrAbortHandler)
	case response != nil:
		writeResponse(w, response)
	}
}

// writeResponse writes a complete response, and reports whether that succeeded.
func writeResponse(w http.ResponseWriter, a *carry.Response) bool {
	h := w.Header()
	maps.Copy(h, a.Header)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err == nil
}

// outcomeOf returns the outcome of a request with a complete response.
func outcomeOf(a *carry.Response) string {
	if a.Status >= http.StatusInternalServerError {
		return outcomeFailed
	}
	return outcomeComplete
}
