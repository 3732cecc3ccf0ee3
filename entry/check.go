package entry

import (
	"fmt"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/settings"
)

const (
	adviceName    = "use lower-case letters, digits and inner hyphens, at most 63"
	adviceAddress = `give an IP number and a port, for example "127.0.0.1:8080"`
)

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(r *settings.Report) {
	checkName(r, "instance", string(s.Instance), true)
	checkName(r, "zone", string(s.Zone), true)
	checkName(r, "region", string(s.Region), false)
	s.checkAddresses(r)
	s.checkLimits(r)
	s.checkOperators(r)
	s.checkPeers(r)
	s.checkAdapters(r)
	if _, err := logs.New(nil, s.Log); err != nil {
		r.Add("log", err.Error(), "level is debug, info, warn or error; format is json or text")
	}
	if s.Stop.Grace < 0 || s.Stop.Timeout <= 0 {
		r.Add("stop", "a time is negative, or the timeout is 0", `for example grace: 2s, timeout: 5m`)
	}
	if s.ExplainRecords < 0 {
		r.Add("explain_records", "is negative", "give a count")
	}
	if s.PauseAfter <= 0 {
		r.Add("pause_after", "is not positive", "for example 500ms")
	}
	s.checkTLS(r)
	s.checkTickets(r)
	s.checkSource(r)
}

func checkName(r *settings.Report, field, name string, required bool) {
	switch {
	case name == "" && required:
		r.Add(field, "is missing", adviceName)
	case name != "" && !ident.ValidName(name):
		r.Add(field, fmt.Sprintf("%q is not a name", name), adviceName)
	}
}

func checkAddress(r *settings.Report, field, address string, required bool) {
	switch {
	case address == "" && required:
		r.Add(field, "is missing", adviceAddress)
	case address != "" && !validAddress(address):
		r.Add(field, fmt.Sprintf("%q is not an address", address), adviceAddress)
	}
}

func (s *Settings) checkAddresses(r *settings.Report) {
	checkAddress(r, "callers.listen", s.Callers.Listen, true)
	checkAddress(r, "peers.listen", s.Peers.Listen, false)
	checkAddress(r, "feed.listen", s.Feed.Listen, false)
	checkAddress(r, "operators.listen", s.Operators.Listen, false)
	if validAddress(s.Feed.Listen) && !loopback(s.Feed.Listen) {
		r.Add("feed.listen", "is not a loopback address", "the agent runs beside the entry: use 127.0.0.1")
	}
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

func (s *Settings) checkOperators(r *settings.Report) {
	for i, name := range s.Operators.Names {
		checkName(r, fmt.Sprintf("operators.names[%d]", i), string(name), true)
	}
	if s.Operators.Listen != "" && len(s.Operators.Names) == 0 {
		r.Add("operators.listen", "no operator may connect", "list identities under operators.names")
	}
}

func (s *Settings) checkPeers(r *settings.Report) {
	for i, p := range s.Peers.Known {
		field := fmt.Sprintf("peers.known[%d]", i)
		checkName(r, field+".instance", string(p.Instance), true)
		checkAddress(r, field+".address", p.Address, true)
	}
}

// checkTickets checks the keys without printing any part of them.
func (s *Settings) checkTickets(r *settings.Report) {
	if s.Tickets.Lifetime <= 0 {
		r.Add("tickets.lifetime", "is not positive", "for example 2m")
	}
	if _, err := s.Tickets.codec(); err != nil {
		r.Add("tickets.keys", err.Error(), "give each key an id and a secret of 32 bytes or more, in base64")
	}
}

// checkAdapters loads each adapter with its settings.
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
		// The plug-in was made for the check only.
		_ = plugin.Unload(id, p)
		return p
	}
	return nil
}

// checkSource checks where bundle and view come from.
func (s *Settings) checkSource(r *settings.Report) {
	if s.Static == nil {
		checkAddress(r, "feed.listen", s.Feed.Listen, true)
		return
	}
	if s.Static.Bundle == "" {
		r.Add("static.bundle", "is missing", "name a bundle source in YAML")
	} else if _, err := loadStatic(s.Static); err != nil {
		r.Add("static.bundle", err.Error(), "wardspoolctl bundle lint explains each finding")
	}
	for i, u := range s.Static.Upstreams {
		field := fmt.Sprintf("static.upstreams[%d]", i)
		checkName(r, field+".id", string(u.ID), true)
		checkName(r, field+".zone", string(u.Zone), true)
		checkAddress(r, field+".address", u.Address, true)
	}
}
