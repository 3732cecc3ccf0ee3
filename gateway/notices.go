package gateway

import (
	"math"
	"strings"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/internal/clock"
)

// observeNotice records what an upstream states about itself in a response.
func (g *Service) observeNotice(n dialect.Notice) {
	if len(n.Malformed) > 0 {
		g.metrics.count("notices_malformed")
		g.log.Debug("malformed notice ignored", "upstream", n.From.ID, "headers", strings.Join(n.Malformed, ","))
	}
	g.logLimitChange(n.From, g.scheduler.ObserveNotice(clock.Now(), n))
}

// logLimitChange logs and counts the begin and the end of an upstream's rate limit. An upstream may
// state another rate in each response, so changes of the rate are logged at debug level.
func (g *Service) logLimitChange(u dialect.Upstream, c schedule.LimitChange) {
	if !c.Changed() {
		return
	}
	log := g.log.With("upstream", u.ID, "address", u.Address, "service", u.Service, "incarnation", u.Incarnation)
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
