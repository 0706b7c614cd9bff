// Package hosts finds the route and the client account of a request.
package hosts

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"filberttrack.example/track"
)

// Table is one version of the configuration, compiled for look-ups. It doesn't
// change.
type Table struct {
	config   track.RouteConfig
	hosts    map[string][]track.Route
	accounts map[string]track.RouteAccount
	services map[string]track.RouteService
}

// New compiles a configuration.
func New(config track.RouteConfig) *Table {
	t := &Table{
		config:   config,
		hosts:    make(map[string][]track.Route),
		accounts: make(map[string]track.RouteAccount),
		services: make(map[string]track.RouteService, len(config.Services)),
	}
	for _, r := range config.Routes {
		host := normalize(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b track.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, a := range config.Accounts {
		for _, key := range a.Keys {
			t.accounts[key] = a
		}
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Limits returns what clients may send.
func (t *Table) Limits() track.RequestLimits {
	return t.config.Limits
}

// Services returns all services.
func (t *Table) Services() []track.RouteService {
	return t.config.Services
}

// Service returns a service by name.
func (t *Table) Service(name string) (track.RouteService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Route returns the route of a host with the longest prefix that begins the path.
func (t *Table) Route(host, path string) (track.Route, bool) {
	for _, r := range t.hosts[normalize(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return track.Route{}, false
}

// NeedsKey reports whether requests on the route must name a client account.
func (t *Table) NeedsKey(r track.Route) bool {
	return len(t.config.Accounts) > 0 && !r.Anonymous
}

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (track.RouteAccount, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

func normalize(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Target returns the service for a request by the weights of the route's targets.
// Draw is uniform in [0, 1).
func Target(r track.Route, draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		rest -= float64(max(t.Weight, 0))
		if rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
