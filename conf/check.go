package conf

import (
	"fmt"
	"net"
	"net/url"
	"path"
	"slices"
	"time"

	"filberttrack.example/track"
)

// Bounds of the settings.
const (
	maxReplicas        = 1000
	maxRanks           = 1024
	minTimeout         = time.Millisecond
	longestTimeout     = time.Hour
	maxAttemptsAllowed = 10
	tokenDigestLength  = 64
	maxBodyLimitBytes  = 1 << 30
)

// checker collects the faults of a file.
type checker struct {
	file     string
	lines    map[string][]int
	reported map[string]bool
	faults   Faults
}

// at is the place of a value: the dotted key, and which of several tables with
// that key it is in.
type at struct {
	key   string
	index int
}

func (c *checker) fault(place at, format string, args ...any) {
	if c.reported[place.key] {
		return
	}
	fault := Fault{File: c.file, Key: place.key, Problem: fmt.Sprintf(format, args...)}
	if places := c.lines[place.key]; place.index < len(places) {
		fault.Line = places[place.index]
	}
	c.faults = append(c.faults, fault)
}

func (c *checker) check(s *Settings, use Use) {
	c.logging(s.Logging)
	c.profiles(s.Profile)
	c.models(s)
	c.accounts(s.Account)
	c.zones(s.Zone)
	switch use {
	case UseEntry:
		c.entry(s.Entry)
		c.platform(s.Platform)
	case UseAgent:
		c.agent(s.Agent)
		c.platform(s.Platform)
	case UseStandin:
		c.standin(s.Standin)
	case UseDev:
		c.dev(s)
	case UseAny:
	}
}

func (c *checker) required(place at, value string) {
	if value == "" {
		c.fault(place, "missing")
	}
}

func (c *checker) address(place at, value string) {
	_, _, err := net.SplitHostPort(value)
	if err != nil {
		c.fault(place, "must be HOST:PORT, not %q", value)
	}
}

func (c *checker) baseURL(place at, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault(place, "must be a URL such as http://HOST:PORT, not %q", value)
	}
}

func (c *checker) oneOf(place at, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(place, "must be one of %v, not %q", allowed, value)
	}
}

func inRange[T int | int64 | float64 | time.Duration](c *checker, place at, value, low, high T) {
	if value < low || value > high {
		c.fault(place, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) unique(key string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		c.required(at{key, i}, name)
		if name != "" && seen[name] {
			c.fault(at{key, i}, "the name %q stands twice", name)
		}
		seen[name] = true
	}
}

func (c *checker) logging(l Logging) {
	c.oneOf(at{"Logging.Level", 0}, l.Level, "debug", "info", "warn", "error")
	c.oneOf(at{"Logging.Format", 0}, l.Format, "json", "console")
}

func (c *checker) platform(p Platform) {
	c.baseURL(at{"Platform.LogURL", 0}, p.LogURL)
	c.baseURL(at{"Platform.ListURL", 0}, p.ListURL)
}

func (c *checker) entry(e Entry) {
	c.required(at{"Entry.ID", 0}, string(e.ID))
	c.required(at{"Entry.Zone", 0}, string(e.Zone))
	c.entryLimits(e)
}

func (c *checker) entryLimits(e Entry) {
	c.address(at{"Entry.Listen", 0}, e.Listen)
	c.address(at{"Entry.Admin", 0}, e.Admin)
	inRange(c, at{"Entry.MaxBodyBytes", 0}, e.MaxBodyBytes, 1, maxBodyLimitBytes)
	inRange(c, at{"Entry.MaxHeaderBytes", 0}, e.MaxHeaderBytes, 1024, 1<<20)
	inRange(c, at{"Entry.MaxAnswerBytes", 0}, e.MaxAnswerBytes, 1024, maxBodyLimitBytes)
	inRange(c, at{"Entry.MaxTimeout", 0}, e.MaxTimeout, minTimeout, longestTimeout)
	inRange(c, at{"Entry.BalancerDelay", 0}, e.BalancerDelay, 0, longestTimeout)
	inRange(c, at{"Entry.StopTimeout", 0}, e.StopTimeout, minTimeout, longestTimeout)
}

func (c *checker) agent(a Agent) {
	c.required(at{"Agent.ID", 0}, string(a.ID))
	c.required(at{"Agent.Zone", 0}, string(a.Zone))
	c.required(at{"Agent.Serves", 0}, a.Serves)
	c.address(at{"Agent.Listen", 0}, a.Listen)
	c.baseURL(at{"Agent.BackendURL", 0}, a.BackendURL)
	inRange(c, at{"Agent.Ranks", 0}, a.Ranks, 0, maxRanks)
	inRange(c, at{"Agent.StopTimeout", 0}, a.StopTimeout, minTimeout, longestTimeout)
}

func (c *checker) standin(s Standin) {
	c.address(at{"Standin.Listen", 0}, s.Listen)
	for i, server := range s.Servers {
		c.address(at{"Standin.Servers.Listen", i}, server.Listen)
		c.required(at{"Standin.Servers.Target", i}, server.Target)
	}
}

func (c *checker) dev(s *Settings) {
	c.entryLimits(s.Entry)
	if len(s.Zone) == 0 {
		c.fault(at{"Zone", 0}, "at least one availability zone is needed")
	}
	targets := make(map[string]bool)
	for _, m := range s.Model {
		targets[m.Name] = true
	}
	for _, v := range s.Service {
		targets[v.Name] = true
	}
	i := 0
	for _, zone := range s.Zone {
		for _, r := range zone.Replicas {
			if !targets[r.Target] {
				c.fault(at{"Zone.Replicas.Target", i}, "no Model or Service has the name %q", r.Target)
			}
			i++
		}
	}
}

func (c *checker) profiles(profiles []track.Profile) {
	names := make([]string, 0, len(profiles))
	for i, p := range profiles {
		names = append(names, p.Name)
		inRange(c, at{"Profile.Timeout", i}, p.Timeout, minTimeout, longestTimeout)
		inRange(c, at{"Profile.Priority", i}, int(p.Priority), int(track.PriorityBatch), int(track.PriorityInteractive))
		inRange(c, at{"Profile.Retry.Share", i}, p.Retry.Share, 0, 1)
		inRange(c, at{"Profile.Retry.MaxAttempts", i}, p.Retry.MaxAttempts, 1, maxAttemptsAllowed)
		inRange(c, at{"Profile.Hedge.After", i}, p.Hedge.After, 0, longestTimeout)
		for _, pattern := range p.NonIdempotent {
			c.pattern(pattern)
		}
	}
	c.unique("Profile.Name", names)
}

func (c *checker) pattern(p track.CallPattern) {
	c.required(at{"Profile.NonIdempotent.Method", 0}, p.Method)
	_, err := path.Match(p.Path, "")
	if err != nil || p.Path == "" || p.Path[0] != '/' {
		c.fault(at{"Profile.NonIdempotent.Path", 0}, "must be a pattern such as /bookings, not %q", p.Path)
	}
}

func (c *checker) models(s *Settings) {
	profiles := make(map[string]bool)
	for _, p := range s.Profile {
		profiles[p.Name] = true
	}
	var names []string
	for i, m := range s.Model {
		names = append(names, m.Name)
		c.knownProfile(at{"Model.Profile", i}, profiles, m.Profile)
	}
	c.unique("Model.Name", names)
	names = nil
	for i, v := range s.Service {
		names = append(names, v.Name)
		c.knownProfile(at{"Service.Profile", i}, profiles, v.Profile)
	}
	c.unique("Service.Name", names)
}

func (c *checker) knownProfile(place at, profiles map[string]bool, name string) {
	if !profiles[name] {
		c.fault(place, "no Profile has the name %q", name)
	}
}

func (c *checker) accounts(accounts []track.ClientAccount) {
	var names, digests []string
	for i, a := range accounts {
		names = append(names, a.Name)
		digests = append(digests, a.TokenSHA256)
		if len(a.TokenSHA256) != tokenDigestLength {
			c.fault(at{"Account.TokenSHA256", i}, "must be the SHA-256 of the token, %d hexadecimal digits", tokenDigestLength)
		}
		inRange(c, at{"Account.Weight", i}, a.Weight, 0.001, 1e6)
		inRange(c, at{"Account.RequestsPerSecond", i}, a.RequestsPerSecond, 0, 1e9)
		inRange(c, at{"Account.TokensPerSecond", i}, a.TokensPerSecond, 0, 1e12)
	}
	c.unique("Account.Name", names)
	c.unique("Account.TokenSHA256", digests)
}

func (c *checker) zones(zones []Zone) {
	var names []string
	i := 0
	for _, z := range zones {
		names = append(names, string(z.Name))
		for _, r := range z.Replicas {
			c.required(at{"Zone.Replicas.Target", i}, r.Target)
			inRange(c, at{"Zone.Replicas.Count", i}, r.Count, 1, maxReplicas)
			inRange(c, at{"Zone.Replicas.Ranks", i}, r.Ranks, 0, maxRanks)
			inRange(c, at{"Zone.Replicas.StepTime", i}, r.StepTime, 0, time.Minute)
			i++
		}
	}
	c.unique("Zone.Name", names)
}
