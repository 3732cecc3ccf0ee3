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
	// reportInterval is the time between two reports of one decode engine: the
	// memory of streams changes by some 1,500 tokens in it.
	reportInterval = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// idlePollRounds is the number of rounds in which an idle engine is polled once.
	idlePollRounds = 10
	// forgetRounds is the number of rounds between two removals of the books of gone upstreams.
	forgetRounds = 5
	// dutyReport, with an engine's ID, names the duty of asking it.
	dutyReport = "report/"
)

// gatherReports polls decode engines for their load until ctx ends: those that are
// assigned to this instance, in each round if they are in use and in one of idlePollRounds
// otherwise. Only this instance may have prompts computed at its assigned engines, in use or
// not, while prefill engines are busy.
func (g *Service) gatherReports(ctx context.Context) {
	for round := uint64(0); pause.For(ctx, reportInterval); round++ {
		s := g.node.Snapshot()
		if !s.Ready() || g.stopping() {
			continue
		}
		if round%forgetRounds == 0 {
			g.forgetGone(s)
		}
		own := map[ident.UpstreamID]bool{}
		for _, list := range s.Upstreams {
			for _, u := range g.books.Trials(clock.Now(), list) {
				go g.probe(ctx, u)
			}
			for _, u := range g.node.AssignedInZone(dutyReport, dialect.StageDecode, list) {
				own[u.ID] = true
				idleTurn := (xxhash.Sum64String(string(u.ID))+round)%idlePollRounds == 0
				if g.books.InUse(clock.Now(), u) || idleTurn {
					go g.report(ctx, u)
				}
			}
		}
		g.books.SetOverflow(own)
		g.limitCold()
	}
}

// probe asks an engine that failed lately whether it answers again, so that no
// request has to find out.
func (g *Service) probe(ctx context.Context, u dialect.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := g.dialect.Report(ctx, u)
	if err == nil && !g.carrier.Reported(u, r) {
		return
	}
	var replaced *dialect.ReplacedError
	switch {
	case errors.As(err, &replaced):
		g.books.Replaced(u)
		g.log.Warn("upstream replaced", "upstream", u.ID, "address", u.Address)
	case err != nil:
		g.books.Failed(clock.Now(), u, carry.Unreached(err))
		g.log.Info("probe failed", "upstream", u.ID, "error", err)
	case r.Stage != u.Stage:
		// The list is older than its change of stage.
		g.books.Failed(clock.Now(), u, schedule.Misdirected)
		g.log.Info("engine has another stage than listed", "upstream", u.ID, "listed", u.Stage, "stage", r.Stage)
	default:
		g.books.Readmit(clock.Now(), u)
		g.log.Info("upstream readmitted", "upstream", u.ID)
	}
}

// report asks one engine.
func (g *Service) report(ctx context.Context, u dialect.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := g.dialect.Report(ctx, u)
	if err != nil {
		g.log.Info("no report", "upstream", u.ID, "error", err)
		return
	}
	if !g.carrier.Reported(u, r) {
		return
	}
	g.books.Heard(clock.Now(), u)
	unexplained := g.books.Reported(clock.Now(), u, r)
	if unexplained > 0 || r.Switching {
		g.log.Info("report", "upstream", u.ID, "used", r.UsedTokens, "held", r.HeldTokens, "running", r.Running,
			"waiting", r.Waiting, "switching", r.Switching, "unexplained", unexplained)
	}
}
