package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

const (
	// reportInterval is the time between two requests for the load report of one decode engine.
	// The memory use of its streams changes by about 1,500 tokens in this time.
	reportInterval = time.Second
	// reportTimeout bounds one request for a load report.
	reportTimeout = 400 * time.Millisecond
	// idlePollRounds is the number of rounds in which an idle engine is polled once.
	idlePollRounds = 10
	// cleanupRounds is the number of rounds between two removals of the state of upstreams that
	// are no longer listed.
	cleanupRounds = 5
	// dutyReport followed by an engine's ID is the name of the duty of polling that engine.
	dutyReport = "report/"
)

// pollReports polls the decode engines that are assigned to this instance for their load until
// ctx ends: in each round if they are in use, in one of idlePollRounds rounds otherwise. It also
// probes engines of any stage that failed recently.
//
// While prefill engines are busy, only this instance may have prompts computed at its assigned
// engines, whether they are in use or not.
func (g *Service) pollReports(ctx context.Context) {
	for round := uint64(0); pause.For(ctx, reportInterval); round++ {
		s := g.node.Snapshot()
		if !s.Ready() || g.stopping() {
			continue
		}
		if round%cleanupRounds == 0 {
			g.forgetUnlisted(s)
		}
		assigned := map[ident.UpstreamID]bool{}
		pollsAll := g.ordersUnjoined()
		for _, list := range s.Upstreams {
			for _, u := range g.scheduler.ProbeCandidates(clock.Now(), list) {
				if !g.scheduler.Resting(clock.Now(), u) {
					go g.probe(ctx, u)
				}
			}
			for _, u := range g.node.AssignedInZone(dutyReport, dialect.StageDecode, list) {
				assigned[u.ID] = true
				if (g.scheduler.InUse(clock.Now(), u) || isIdleTurn(u, round)) && !g.scheduler.Resting(clock.Now(), u) {
					go g.requestReport(ctx, u)
				}
			}
			if !pollsAll {
				continue
			}
			for _, u := range list {
				if u.Stage == dialect.StageDecode && !assigned[u.ID] && isIdleTurn(u, round) && !g.scheduler.Resting(clock.Now(), u) {
					go g.requestReport(ctx, u)
				}
			}
		}
		g.scheduler.SetOverflow(assigned)
		g.updateColdQuotas()
	}
}

// isIdleTurn reports whether an idle engine is polled in a round.
func isIdleTurn(u dialect.Upstream, round uint64) bool {
	return (xxhash.Sum64String(string(u.ID))+round)%idlePollRounds == 0
}

// probe requests the load report of an engine that failed recently, to find out whether it answers
// again before a caller's request is sent to it.
func (g *Service) probe(ctx context.Context, u dialect.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := g.dialect.Report(ctx, u)
	if err == nil && !g.forwarder.ObserveReport(u, r) {
		return
	}
	var replaced *dialect.ReplacedError
	switch {
	case errors.As(err, &replaced):
		g.scheduler.RecordReplacement(u)
		g.log.Warn("upstream replaced", "upstream", u.ID, "address", u.Address)
	case err != nil:
		g.scheduler.RecordFailure(clock.Now(), u, carry.ClassifyUnreachable(err))
		g.log.Info("probe failed", "upstream", u.ID, "error", err)
	case r.Stage != u.Stage:
		// The engine has changed its stage since the list of upstreams was read.
		g.scheduler.RecordFailure(clock.Now(), u, schedule.Misdirected)
		g.log.Info("engine has another stage than listed", "upstream", u.ID, "listed", u.Stage, "stage", r.Stage)
	default:
		g.scheduler.Readmit(clock.Now(), u)
		g.log.Info("upstream readmitted", "upstream", u.ID)
	}
}

// requestReport requests the load report of one engine and records it.
func (g *Service) requestReport(ctx context.Context, u dialect.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := g.dialect.Report(ctx, u)
	if err != nil {
		g.log.Info("load report failed", "upstream", u.ID, "error", err)
		return
	}
	if !g.forwarder.ObserveReport(u, r) {
		return
	}
	g.scheduler.RecordContact(clock.Now(), u)
	unaccounted := g.scheduler.RecordReport(clock.Now(), u, r)
	if unaccounted > 0 || r.Switching {
		g.log.Info("report", "upstream", u.ID, "used", r.UsedTokens, "held", r.ReservedTokens, "running", r.Running,
			"waiting", r.Waiting, "switching", r.Switching, "unexplained", unaccounted)
	}
}
