package engine

import (
	"net/http"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/control"
)

// Parameters of load report sampling.
const (
	// samplesPerLag is the number of reports made within the lag.
	samplesPerLag = 5
	// minSampleInterval limits the cost of sampling if the lag is short.
	minSampleInterval = 20 * time.Millisecond
)

// loadHistory holds the load reports younger than the lag and the latest one
// that is at least as old as the lag, oldest first. seq counts all reports made.
type loadHistory struct {
	seq     uint64
	reports []LoadReport
}

// sampleLoads samples the load periodically until the engine is closed.
func (e *Engine) sampleLoads() {
	ticker := time.NewTicker(max(e.cfg.LoadLag/samplesPerLag, minSampleInterval))
	defer ticker.Stop()
	for {
		e.sampleLoad()
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// sampleLoad adds a load report to the history and drops outdated ones.
func (e *Engine) sampleLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := &e.state.loads
	h.reports = append(h.reports, e.loadReport())
	limit := time.Now().Add(-e.cfg.LoadLag).UnixMilli()
	for len(h.reports) > 1 && h.reports[1].AtMS <= limit {
		h.reports = h.reports[1:]
	}
}

// loadReport returns a report of the current load. The caller holds the mutex.
func (e *Engine) loadReport() LoadReport {
	state := e.state
	state.loads.seq++
	return LoadReport{
		Seq:           state.loads.seq,
		AtMS:          time.Now().UnixMilli(),
		Incarnation:   state.incarnation,
		Role:          e.role(),
		Models:        state.placement.servedModels(),
		Running:       e.runningAttempts(),
		Waiting:       state.queue.len(),
		Slots:         e.cfg.Perf.Slots,
		WaitingTokens: state.queue.tokens,
		PiecesUsed:    state.piecesUsed,
		PiecesTotal:   e.cfg.Perf.Pieces,
		Draining:      e.faults.Draining,
	}
}

// runningAttempts returns the number of attempts with a slot; on a prefill
// engine, the number of prefills being computed.
func (e *Engine) runningAttempts() int {
	if e.role() == config.RolePrefill {
		return e.state.prefilling
	}
	return e.state.slotsUsed
}

// serveLoad handles GET /load. The report is as old as the lag, or younger if
// the incarnation is younger than the lag.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.delayedLoad())
}

// delayedLoad returns the load report that GET /load returns now.
func (e *Engine) delayedLoad() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := &e.state.loads
	if e.cfg.LoadLag <= 0 || len(h.reports) == 0 {
		return e.loadReport()
	}
	limit := time.Now().Add(-e.cfg.LoadLag).UnixMilli()
	out := h.reports[0]
	for _, r := range h.reports[1:] {
		if r.AtMS <= limit {
			out = r
		}
	}
	return out
}

// loadMetrics returns the current values for the ORCA header.
func (e *Engine) loadMetrics() LoadMetrics {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.loadReport()
	m := NamedMetrics{
		KVCacheUsage:    float64(r.PiecesUsed) / float64(max(r.PiecesTotal, 1)),
		RequestsWaiting: r.Waiting,
		RequestsRunning: r.Running,
		Slots:           r.Slots,
		WaitingTokens:   r.WaitingTokens,
		PiecesUsed:      r.PiecesUsed,
		PiecesTotal:     r.PiecesTotal,
		Seq:             r.Seq,
		AtMS:            r.AtMS,
		Incarnation:     r.Incarnation,
	}
	if r.Draining {
		m.Draining = 1
	}
	return LoadMetrics{NamedMetrics: m}
}
