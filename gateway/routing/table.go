package routing

import (
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/wardspool/wardspool/internal/target"
)

// Table looks up the routes, services and workspaces of a configuration. It does not change after
// NewTable and is safe for concurrent use.
type Table struct {
	config *Config
	// byHost holds the routes of each canonical host, the longest prefix first.
	byHost map[string][]*Route
	byKey  map[KeyDigest]*Workspace
	// mostUrgent is the most urgent priority of each service's requests.
	mostUrgent map[string]int
}

// NewTable returns the table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{config: c, byHost: map[string][]*Route{}, byKey: map[KeyDigest]*Workspace{}, mostUrgent: map[string]int{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	t.findMostUrgent()
	return t
}

// findMostUrgent finds the most urgent priority of each service's requests: that of its routes and
// of the workspaces, whose requests may be for any route.
func (t *Table) findMostUrgent() {
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		for _, w := range r.Services {
			if most, ok := t.mostUrgent[w.Service]; !ok || r.Priority < most {
				t.mostUrgent[w.Service] = r.Priority
			}
		}
	}
	for _, w := range t.config.Workspaces {
		for service, most := range t.mostUrgent {
			if w.Priority != nil && *w.Priority < most {
				t.mostUrgent[service] = *w.Priority
			}
		}
	}
}

// MostUrgent returns the most urgent priority that a service's requests can have, and false if no
// route has the service.
func (t *Table) MostUrgent(service string) (int, bool) {
	priority, ok := t.mostUrgent[service]
	return priority, ok
}

// WorkspaceByName returns the workspace with the given name, or nil if there is none.
func (t *Table) WorkspaceByName(workspace string) *Workspace {
	for i := range t.config.Workspaces {
		if w := &t.config.Workspaces[i]; w.Name == workspace {
			return w
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that has the given key, or nil if none has it.
func (t *Table) WorkspaceByKey(key KeyDigest) *Workspace { return t.byKey[key] }

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Find returns the route of a request: of the host's routes whose prefix begins the path as it was sent,
// the one with the longest prefix. It returns nil if there is none. host may include a port.
func (t *Table) Find(host string, request target.Target) *Route {
	path := request.Path()
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// canonicalHost returns the value of a Host header in lower case, without the port and the brackets of
// an IPv6 address.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	} else if inside, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(inside, "]")
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name, and whether it exists.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.config.Services[name]
	return s, ok
}

// Serves reports whether requests of the route may go to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}

// Choose returns the name of the service for one request of a route. It chooses at random, with
// probabilities proportional to the weights, and returns "" if no service has a weight. intN
// returns a random number in [0, n).
func (r *Route) Choose(intN func(int) int) string {
	total := 0
	for _, w := range r.Services {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	at := intN(total)
	for _, w := range r.Services {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return ""
}
