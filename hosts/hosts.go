// Package hosts looks up the route, the client account and the service of a request in
// the configuration.
package hosts

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"filberttrack.example/track"
)

// Table is an index over one version of the configuration. It never changes, so it is
// safe for concurrent use.
type Table struct {
	config track.RouteConfig
	// routesByHost holds the routes of each normalized host, longest path prefix first.
	routesByHost   map[string][]track.Route
	accountsByKey  map[string]track.RouteAccount
	servicesByName map[string]track.RouteService
}

// New builds the table of a configuration.
func New(config track.RouteConfig) *Table {
	t := &Table{
		config:         config,
		routesByHost:   make(map[string][]track.Route),
		accountsByKey:  make(map[string]track.RouteAccount),
		servicesByName: make(map[string]track.RouteService, len(config.Services)),
	}
	for _, r := range config.Routes {
		host := NormalizeHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b track.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, a := range config.Accounts {
		for _, key := range a.Keys {
			t.accountsByKey[key] = a
		}
	}
	for _, s := range config.Services {
		t.servicesByName[s.Name] = s
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Limits returns the limits on client requests.
func (t *Table) Limits() track.RequestLimits {
	return t.config.Limits
}

// Services returns all services.
func (t *Table) Services() []track.RouteService {
	return t.config.Services
}

// Service returns the service with a name, and whether it exists.
func (t *Table) Service(name string) (track.RouteService, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// Route returns the route of a host with the longest path prefix that matches, and
// whether there is one. Letter case and the port of the host are ignored.
func (t *Table) Route(host, path string) (track.Route, bool) {
	for _, r := range t.routesByHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return track.Route{}, false
}

// RequiresKey reports whether requests on the route must carry the key of a client account.
// This is so if any account is configured and the route does not allow anonymous
// requests.
func (t *Table) RequiresKey(r track.Route) bool {
	return len(t.config.Accounts) > 0 && !r.Anonymous
}

// Account returns the client account that a key belongs to, and whether there is one.
func (t *Table) Account(key string) (track.RouteAccount, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// NormalizeHost returns the host in lower case and without its port, as routes are looked up.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService picks the service for a request at random, in proportion to the weights of the
// route's targets. The random number is uniform in [0, 1). If no weight is positive,
// PickService returns the service of the last target. The route must have a target.
func PickService(r track.Route, random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := random * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(max(t.Weight, 0))
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
