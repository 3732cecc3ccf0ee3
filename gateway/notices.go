package gateway

import (
	"math"
	"strings"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// observeNotice records what an upstream states about itself in a response.
func (g *Service) observeNotice(n dialect.Notice) {
	if len(n.Malformed) > 0 {
		g.metrics.count("notices_malformed")
		g.log.Debug("malformed notice ignored", "upstream", n.From.ID, "headers", strings.Join(n.Malformed, ","))
	}
	g.logLimitChange(g.scheduler.ObserveRateLimit(clock.Now(), n), "response")
	if g.scheduler.ObserveRest(clock.Now(), n.From, n.Rest) {
		g.metrics.count("upstream_rest_began")
		g.log.Info("upstream asks for rest", "upstream", n.From.ID, "address", n.From.Address, "service", n.From.Service,
			"incarnation", n.From.Incarnation, "for_ms", n.Rest.Milliseconds())
	}
	if n.Leaving {
		g.node.AnnounceLeaving(n.From, true)
	}
}

// setPeerLimits records the rate limits that upstreams stated to peers.
func (g *Service) setPeerLimits(now time.Time, limits map[ident.UpstreamID]fleet.RateLimit) {
	reports := make(map[ident.UpstreamID]schedule.RateLimitReport, len(limits))
	for id, r := range limits {
		reports[id] = schedule.RateLimitReport{Incarnation: r.Incarnation, Rate: r.Rate, Ended: r.Ended, Age: time.Duration(r.AgeMS) * time.Millisecond}
	}
	for _, c := range g.scheduler.SetPeerLimits(now, reports) {
		g.logLimitChange(c, "peer")
	}
}

// logLimitChange logs and counts the begin and the end of an upstream's rate limit. An upstream may
// state another rate in each response, so changes of the rate are logged at debug level. source is
// where the instance learned of it.
func (g *Service) logLimitChange(c schedule.LimitChange, source string) {
	if !c.Changed() {
		return
	}
	u := c.Upstream
	log := g.log.With("upstream", u.ID, "address", u.Address, "service", u.Service, "incarnation", u.Incarnation, "source", source)
	switch {
	case math.IsInf(c.Before, 1):
		g.metrics.count("upstream_limit_began")
		log.Info("upstream states a rate limit", "per_second", c.Now)
	case math.IsInf(c.Now, 1):
		g.metrics.count("upstream_limit_ended")
		log.Info("upstream states no rate limit any more", "per_second", c.Before)
	default:
		log.Debug("upstream changes its rate limit", "before", c.Before, "per_second", c.Now)
	}
}
