package entry

import (
	"fmt"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/settings/common"
)

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(r *settings.Report) {
	common.CheckName(r, "instance", s.Instance, common.Required)
	common.CheckName(r, "zone", s.Zone, common.Required)
	common.CheckName(r, "region", s.Region, common.Optional)
	s.checkAddresses(r)
	s.checkLimits(r)
	s.Operators.Check(r)
	s.checkPeers(r)
	s.checkAdapters(r)
	common.CheckLog(r, s.Log)
	if s.Stop.Grace < 0 || s.Stop.Timeout <= 0 {
		r.Add("stop", "a time is negative, or the timeout is 0", `for example grace: 2s, timeout: 5m`)
	}
	if s.ExplainRecords < 0 {
		r.Add("explain_records", "is negative", "give a count")
	}
	if s.PauseAfter <= 0 {
		r.Add("pause_after", "is not positive", "for example 500ms")
	}
	common.CheckFiles(r, "callers.tls", s.Callers.TLS.files())
	common.CheckPeerTLS(r, s.TLS)
	s.checkTickets(r)
	s.checkSource(r)
}

func (s *Settings) checkAddresses(r *settings.Report) {
	common.CheckAddress(r, "callers.listen", s.Callers.Listen, common.Required)
	common.CheckAddress(r, "peers.listen", s.Peers.Listen, common.Optional)
	common.CheckLoopback(r, "feed.listen", s.Feed.Listen, common.Optional,
		"the agent runs on the same host as the entry: use 127.0.0.1")
}

func (s *Settings) checkLimits(r *settings.Report) {
	l := s.Callers.Limits
	for _, c := range []struct {
		field    string
		positive bool
	}{
		{"body_bytes", l.BodyBytes > 0},
		{"memory_bytes", l.MemoryBytes >= l.BodyBytes},
		{"requests", l.Requests > 0},
		{"connections", l.Connections > 0},
		{"header_bytes", l.HeaderBytes > 0},
		{"header_timeout", l.HeaderTimeout > 0},
		{"body_timeout", l.BodyTimeout > 0},
		{"write_timeout", l.WriteTimeout > 0},
		{"idle_timeout", l.IdleTimeout > 0},
		{"response_bytes", l.ResponseBytes > 0},
	} {
		if !c.positive {
			r.Add("callers.limits."+c.field, "is too small",
				"leave it out for the default; memory_bytes is at least body_bytes")
		}
	}
}

func (s *Settings) checkPeers(r *settings.Report) {
	for i, p := range s.Peers.Known {
		field := fmt.Sprintf("peers.known[%d]", i)
		common.CheckName(r, field+".instance", p.Instance, common.Required)
		common.CheckAddress(r, field+".address", p.Address, common.Required)
	}
}

// checkTickets checks the ticket keys. Its findings never contain any part of a
// secret.
func (s *Settings) checkTickets(r *settings.Report) {
	if s.Tickets.Lifetime <= 0 {
		r.Add("tickets.lifetime", "is not positive", "for example 2m")
	}
	if _, err := s.Tickets.codec(); err != nil {
		r.Add("tickets.keys", err.Error(), "give each key an id and a secret of 32 bytes or more, in base64")
	}
}

// checkAdapters checks that both adapters load with their settings and have the
// right type, and that no settings are given for a plug-in that is not used.
func (s *Settings) checkAdapters(r *settings.Report) {
	engine := s.checkAdapter(r, "engine", s.Engine)
	if _, ok := engine.(adapter.Engine); engine != nil && !ok {
		r.Add("engine", "is not an engine adapter", "for example engine.openai")
	}
	service := s.checkAdapter(r, "service", s.Service)
	if _, ok := service.(adapter.Service); service != nil && !ok {
		r.Add("service", "is not a service adapter", "for example service.http")
	}
	for id := range s.Plugins {
		if id != s.Engine && id != s.Service {
			r.Add("plugins."+string(id), "is not in use", "name it under engine or service, or remove its settings")
		}
	}
}

// checkAdapter loads a plug-in with its settings and returns it, or reports why it
// could not be loaded and returns nil.
func (s *Settings) checkAdapter(r *settings.Report, field string, id plugin.ID) plugin.Plugin {
	var decodeErr error
	p, err := plugin.Load(id, func(into any) error {
		decodeErr = s.Plugins[id].Decode(into)
		return decodeErr
	})
	switch {
	case decodeErr != nil:
		r.AddError("plugins."+string(id), decodeErr)
	case err != nil:
		r.Add(field, err.Error(), "link the plug-in or name another")
	default:
		// The plug-in was loaded for this check only.
		_ = plugin.Unload(id, p)
		return p
	}
	return nil
}

// checkSource checks the source of the bundle and the view: the agent's feed, or
// the static fleet.
func (s *Settings) checkSource(r *settings.Report) {
	if s.Static == nil {
		common.CheckAddress(r, "feed.listen", s.Feed.Listen, common.Required)
		return
	}
	if s.Static.Bundle == "" {
		r.Add("static.bundle", "is missing", "name a bundle source in YAML")
	} else if _, err := loadStatic(s.Static); err != nil {
		r.Add("static.bundle", err.Error(), "wardspoolctl bundle lint explains each finding")
	}
	for i, u := range s.Static.Upstreams {
		field := fmt.Sprintf("static.upstreams[%d]", i)
		common.CheckName(r, field+".id", u.ID, common.Required)
		common.CheckName(r, field+".zone", u.Zone, common.Required)
		common.CheckAddress(r, field+".address", u.Address, common.Required)
	}
}
