// Package verify checks a configuration for routing before it is sent. It finds references to
// nothing, entries that can never match, limits that contradict each other, and differences from
// the configuration in force.
package verify

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
)

// Level says how serious a finding is.
type Level string

// The levels of findings.
const (
	// Error is a fault for which a configuration must not be sent.
	Error Level = "error"
	// Warning is a part of a configuration that has probably another effect than intended.
	Warning Level = "warning"
	// Change is a difference from the configuration in force.
	Change Level = "change"
)

// Finding is one result of a check.
type Finding struct {
	Level Level
	// Place is the part of the configuration that the finding is about.
	Place string
	Text  string
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Level, f.Place, f.Text)
}

// The kinds of entries in places.
const (
	RouteKind   = "route"
	ServiceKind = "service"
	AccountKind = "account"
)

// Places returns the places of entries from their names. A name that occurs again is numbered, and an entry
// without a name has its position in the list, from 1, so that places are unique.
func Places(kind string, names []string) []string {
	places := make([]string, len(names))
	seen := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			places[i] = fmt.Sprintf("%s at position %d", kind, i+1)
			continue
		}
		places[i] = fmt.Sprintf("%s %q", kind, name)
		seen[name]++
		if n := seen[name]; n > 1 {
			places[i] += fmt.Sprintf(" (%d)", n)
		}
	}
	return places
}

// Sort sorts findings by level: errors, warnings, changes. Findings of one level keep their order.
func Sort(findings []Finding) {
	order := []Level{Error, Warning, Change}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Level), slices.Index(order, b.Level))
	})
}

// Check returns the errors and warnings about a configuration, sorted by level and then in the order of
// the configuration.
func Check(c track.RouteConfig) []Finding {
	findings := slices.Concat(checkRoutes(c), checkServices(c), checkAccounts(c.Accounts))
	Sort(findings)
	return findings
}

func checkRoutes(c track.RouteConfig) []Finding {
	places := Places(RouteKind, namesOf(c.Routes, routeName))
	findings := checkNames(places, c.Routes, routeName)
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	type match struct{ host, prefix string }
	first := make(map[match]string, len(c.Routes))
	for i, r := range c.Routes {
		at := place(places[i])
		findings = append(findings, at.checkTargets(r, services)...)
		m := match{hosts.NormalizeHost(r.Host), r.PathPrefix}
		if earlier, ok := first[m]; ok {
			findings = append(findings, at.warn("never matches: %s has the same host and prefix", earlier))
		} else {
			first[m] = places[i]
		}
		findings = append(findings, at.checkMatch(r)...)
		findings = append(findings, at.checkLimits(r)...)
	}
	return findings
}

// place makes findings about one part of a configuration.
type place string

func (p place) fail(format string, args ...any) Finding {
	return Finding{Level: Error, Place: string(p), Text: fmt.Sprintf(format, args...)}
}

func (p place) warn(format string, args ...any) Finding {
	return Finding{Level: Warning, Place: string(p), Text: fmt.Sprintf(format, args...)}
}

// checkTargets ignores a route without targets: the decoder reports it.
func (p place) checkTargets(r track.Route, services map[string]bool) []Finding {
	var findings []Finding
	positive := len(r.Targets) == 0
	for _, t := range r.Targets {
		positive = positive || t.Weight > 0
		if !services[t.Service] {
			findings = append(findings, p.fail("target %q isn't a service", t.Service))
		}
	}
	if !positive {
		findings = append(findings, p.fail("no target has a positive weight"))
	}
	return findings
}

func (p place) checkMatch(r track.Route) []Finding {
	var findings []Finding
	if host := hosts.NormalizeHost(r.Host); host != r.Host {
		findings = append(findings, p.warn("host %q has capital letters or a port: it matches as %q", r.Host, host))
	}
	switch {
	case r.PathPrefix == "":
		findings = append(findings, p.warn("the prefix is empty: it matches all paths"))
	case !strings.HasPrefix(r.PathPrefix, "/"):
		findings = append(findings, p.warn("never matches: prefix %q doesn't begin with a slash", r.PathPrefix))
	case !strings.HasSuffix(r.PathPrefix, "/"):
		findings = append(findings, p.warn("prefix %q doesn't end with a slash: it also matches %q", r.PathPrefix, r.PathPrefix+"x"))
	}
	return findings
}

func (p place) checkLimits(r track.Route) []Finding {
	var findings []Finding
	if r.Timeout > 0 && r.Timeout < r.Objective {
		findings = append(findings, p.warn("the timeout of %v is below the objective of %v", r.Timeout, r.Objective))
	}
	if r.RetryRule == track.RetryOnlyIfNotRun && r.MaxAttempts > 1 {
		findings = append(findings, p.warn("%d attempts are allowed, but requests that may have run must not be repeated", r.MaxAttempts))
	}
	switch {
	case r.RetryRule == "" || r.MaxGap <= r.Patience:
		// The rule, and with it the patience, is unknown if the decoder refused the route's kind.
	case r.Stream:
		findings = append(findings, p.warn("the gap target of %v is above the clients' patience of %v", r.MaxGap, r.Patience))
	default:
		findings = append(findings, p.warn("the gap target of %v doesn't apply: responses aren't streams", r.MaxGap))
	}
	return findings
}

func checkServices(c track.RouteConfig) []Finding {
	places := Places(ServiceKind, namesOf(c.Services, serviceName))
	findings := checkNames(places, c.Services, serviceName)
	used := make(map[string]bool, len(c.Services))
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, s := range c.Services {
		if !used[s.Name] {
			findings = append(findings, place(places[i]).warn("no route uses it"))
		}
	}
	return findings
}

func checkAccounts(accounts []track.RouteAccount) []Finding {
	places := Places(AccountKind, namesOf(accounts, accountName))
	findings := checkNames(places, accounts, accountName)
	owners := make(map[string]int)
	for i, a := range accounts {
		at := place(places[i])
		if len(a.Keys) == 0 {
			findings = append(findings, at.warn("has no keys: its clients can use anonymous routes only"))
		}
		reported := make(map[string]bool)
		for _, key := range a.Keys {
			owner, ok := owners[key]
			if !ok {
				owners[key] = i
			} else if owner != i && !reported[key] {
				reported[key] = true
				findings = append(findings, at.fail("key %q also belongs to %s", maskKey(key), places[owner]))
			}
		}
	}
	return findings
}

// checkNames reports names that occur more than once.
func checkNames[T any](places []string, entries []T, name func(T) string) []Finding {
	var findings []Finding
	first := make(map[string]bool, len(entries))
	for i, e := range entries {
		if first[name(e)] {
			findings = append(findings, place(places[i]).fail("the name occurs before"))
		}
		first[name(e)] = true
	}
	return findings
}

func routeName(r track.Route) string          { return r.Name }
func serviceName(s track.RouteService) string { return s.Name }
func accountName(a track.RouteAccount) string { return a.Name }
func namesOf[T any](entries []T, name func(T) string) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = name(e)
	}
	return names
}

// shownKeyCharacters is the number of characters of a key that operators see.
const shownKeyCharacters = 4

// maskKey returns the first characters of a key, at most half of it, so that no key is shown whole.
func maskKey(key string) string {
	characters := []rune(key)
	return string(characters[:min(shownKeyCharacters, len(characters)/2)]) + "..."
}
