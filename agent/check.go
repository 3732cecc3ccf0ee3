package agent

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
)

const (
	adviceName    = "use lower-case letters, digits and inner hyphens, at most 63"
	adviceAddress = `give an IP number and a port, for example "127.0.0.1:9200"`
)

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(r *settings.Report) {
	checkName(r, "instance", string(s.Instance), true)
	checkName(r, "zone", string(s.Zone), true)
	checkName(r, "region", string(s.Region), false)
	s.checkEntry(r)
	s.checkPeers(r)
	s.checkOperators(r)
	s.checkTLS(r)
	checkAddress(r, "metrics.listen", s.Metrics.Listen, false)
	s.checkPlatform(r)
	s.checkBundles(r)
	s.checkBounds(r)
	if _, err := logs.New(nil, s.Log); err != nil {
		r.Add("log", err.Error(), "level is debug, info, warn or error; format is json or text")
	}
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

// validAddress reports whether s is "IP:port".
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// loopback reports whether s is a loopback "IP:port".
func loopback(s string) bool {
	host, _, err := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func (s *Settings) checkEntry(r *settings.Report) {
	checkAddress(r, "entry.feed", s.Entry.Feed, true)
	if validAddress(s.Entry.Feed) && !loopback(s.Entry.Feed) {
		r.Add("entry.feed", "is not a loopback address", "the agent runs beside the entry: use its feed.listen")
	}
}

func (s *Settings) checkPeers(r *settings.Report) {
	checkAddress(r, "peers.listen", s.Peers.Listen, true)
	for i, p := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		checkName(r, field+".instance", string(p.Instance), true)
		checkName(r, field+".zone", string(p.Zone), true)
		checkAddress(r, field+".address", p.Address, true)
		checkAddress(r, field+".entry", p.Entry, false)
	}
}

func (s *Settings) checkOperators(r *settings.Report) {
	checkAddress(r, "operators.listen", s.Operators.Listen, false)
	for i, name := range s.Operators.Names {
		checkName(r, fmt.Sprintf("operators.names[%d]", i), string(name), true)
	}
	if s.Operators.Listen != "" && len(s.Operators.Names) == 0 {
		r.Add("operators.listen", "no operator may connect", "list identities under operators.names")
	}
}

func (s *Settings) checkPlatform(r *settings.Report) {
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
		r.Add("isolated", "there is nothing to serve", "name a folder under preload")
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
