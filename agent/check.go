package agent

import (
	"errors"
	"fmt"
	"net/url"
	"slices"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/settings/common"
)

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(r *settings.Report) {
	common.CheckName(r, "instance", s.Instance, common.Required)
	common.CheckName(r, "zone", s.Zone, common.Required)
	common.CheckName(r, "region", s.Region, common.Optional)
	s.checkEntry(r)
	s.checkPeers(r)
	s.Operators.Check(r)
	common.CheckPeerTLS(r, s.TLS)
	common.CheckAddress(r, "metrics.listen", s.Metrics.Listen, common.Optional)
	s.checkPlatform(r)
	s.checkBundles(r)
	s.checkBounds(r)
	common.CheckLog(r, s.Log)
}

func (s *Settings) checkEntry(r *settings.Report) {
	common.CheckLoopback(r, "entry.feed", s.Entry.Feed, common.Required,
		"the agent runs beside the entry: use its feed.listen")
}

func (s *Settings) checkPeers(r *settings.Report) {
	common.CheckAddress(r, "peers.listen", s.Peers.Listen, common.Required)
	for i, p := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		common.CheckName(r, field+".instance", p.Instance, common.Required)
		common.CheckName(r, field+".zone", p.Zone, common.Required)
		common.CheckAddress(r, field+".address", p.Address, common.Required)
		common.CheckAddress(r, field+".entry", p.Entry, common.Optional)
	}
}

func (s *Settings) checkPlatform(r *settings.Report) {
	if known := plugin.InNamespace(configservice.Namespace); !slices.Contains(known, s.Platform.Adapter) {
		r.Add("platform.adapter", fmt.Sprintf("this program has no plug-in %q", s.Platform.Adapter), fmt.Sprintf("it has %v", known))
	}
	if len(s.Platform.URLs) == 0 {
		r.Add("platform.urls", "is missing", `for example ["http://10.0.0.1:7000"]`)
	}
	for i, text := range s.Platform.URLs {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			r.Add(fmt.Sprintf("platform.urls[%d]", i), fmt.Sprintf("%q is not an address", text), `for example "http://10.0.0.1:7000"`)
		}
	}
}

func (s *Settings) checkBundles(r *settings.Report) {
	_, err := s.Approvers.set()
	if bad := (*KeyError)(nil); errors.As(err, &bad) {
		r.Add(fmt.Sprintf("approvers.keys[%d].key", bad.Index), err.Error(), "give a public key of 64 hexadecimal digits")
	} else if err != nil {
		r.Add("approvers", err.Error(), "give epoch, a majority quorum and keys with different names")
	}
	switch s.Isolated {
	case ledger.IsolatedWait, ledger.IsolatedServePreload:
	default:
		r.Add("isolated", fmt.Sprintf("%q is not known", s.Isolated), "wait or serve-preload")
	}
	if s.Isolated == ledger.IsolatedServePreload && s.Preload == "" {
		r.Add("isolated", "serve-preload needs a preloaded bundle", "name a folder under preload")
	}
}

func (s *Settings) checkBounds(r *settings.Report) {
	for _, c := range []struct {
		field    string
		positive bool
	}{
		{"entry.interval", s.Entry.Interval > 0},
		{"peers.budget", s.Peers.Budget > 0},
		{"platform.readers", s.Platform.Readers > 0},
		{"platform.wait", s.Platform.Wait > 0},
		{"platform.fallback_after", s.Platform.FallbackAfter > 0},
		{"loads.interval", s.Loads.Interval > 0},
		{"loads.budget", s.Loads.Budget > 0},
		{"memory_bytes", s.Memory > 0},
		{"pause_after", s.PauseAfter >= minPauseAfter},
		{"stop.timeout", s.Stop.Timeout > 0},
		{"stop.grace", s.Stop.Grace > 0},
	} {
		if !c.positive {
			r.Add(c.field, "is too small", "leave it out for the default; see docs/settings.md")
		}
	}
}
