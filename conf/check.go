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
	maxReplicas    = 1000
	maxRanks       = 1024
	maxLayers      = 1024
	maxExperts     = 4096
	maxExpertBytes = 64 << 30
	// maxFetchBytesPerSecond bounds the rate of one rank.
	maxFetchBytesPerSecond = 1 << 40
	minTimeout             = time.Millisecond
	longestTimeout         = time.Hour
	minKeyRetention        = time.Minute
	maxKeyRetention        = 30 * 24 * time.Hour
	maxAttemptsAllowed     = 10
	tokenDigestLength      = 64
	maxBodyLimitBytes      = 1 << 30
	minLogRetention        = time.Hour
	maxLogRetention        = 365 * 24 * time.Hour
)

// checker collects the faults of a file.
type checker struct {
	file     string
	lines    *lineIndex
	reported map[string]bool
	faults   FaultsError
}

func (c *checker) fault(key, format string, args ...any) {
	if c.reported[key] {
		return
	}
	c.faults = append(c.faults, Fault{
		File: c.file, Line: c.lines.nearest(key), Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// each returns the key of one field of the nth table of an array.
func each(table string, n int, field string) string {
	return fmt.Sprintf("%s[%d].%s", table, n, field)
}

func (c *checker) check(s *Settings, use Use) {
	if use == UseObjects {
		c.profiles(s.Profile)
		c.accounts(s.Account)
		return
	}
	c.logging(s.Logging)
	c.tls(s.TLS)
	c.operators(s.Operators)
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

func (c *checker) required(key, value string) {
	if value == "" {
		c.fault(key, "missing")
	}
}

func (c *checker) address(key, value string) {
	_, _, err := net.SplitHostPort(value)
	if err != nil {
		c.fault(key, "must be HOST:PORT, not %q", value)
	}
}

func (c *checker) baseURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault(key, "must be a URL such as http://HOST:PORT, not %q", value)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(key, "must be one of %v, not %q", allowed, value)
	}
}

func inRange[T int | int64 | float64 | time.Duration](c *checker, key string, value, low, high T) {
	if value < low || value > high {
		c.fault(key, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) unique(table, field string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		c.required(each(table, i, field), name)
		if name != "" && seen[name] {
			c.fault(each(table, i, field), "the name %q stands twice", name)
		}
		seen[name] = true
	}
}

func (c *checker) logging(l Logging) {
	c.oneOf("Logging.Level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("Logging.Format", l.Format, "json", "console")
}

func (c *checker) tls(t TLS) {
	if t == (TLS{}) {
		return
	}
	c.required("TLS.Certificate", t.Certificate)
	c.required("TLS.Key", t.Key)
	c.required("TLS.Authority", t.Authority)
}

func (c *checker) operators(o Operators) {
	if o.TokenFile != "" && o.TokenSHA256 != "" {
		c.fault("Operators.TokenSHA256", "must not be given beside Operators.TokenFile")
	}
	if o.TokenSHA256 != "" && len(o.TokenSHA256) != tokenDigestLength {
		c.fault("Operators.TokenSHA256", "must be the SHA-256 of the token, %d hexadecimal digits", tokenDigestLength)
	}
}

func (c *checker) platform(p Platform) {
	c.baseURL("Platform.LogURL", p.LogURL)
	c.baseURL("Platform.ListURL", p.ListURL)
	inRange(c, "Platform.Retention", p.Retention, minLogRetention, maxLogRetention)
}

func (c *checker) entry(e Entry) {
	c.required("Entry.ID", string(e.ID))
	c.required("Entry.Zone", string(e.Zone))
	c.entryLimits(e)
}

func (c *checker) entryLimits(e Entry) {
	c.address("Entry.Listen", e.Listen)
	c.address("Entry.Admin", e.Admin)
	c.address("Entry.Peer", e.Peer)
	inRange(c, "Entry.MaxBodyBytes", e.MaxBodyBytes, 1, maxBodyLimitBytes)
	inRange(c, "Entry.MaxHeaderBytes", e.MaxHeaderBytes, 1024, 1<<20)
	inRange(c, "Entry.MaxAnswerBytes", e.MaxAnswerBytes, 1024, maxBodyLimitBytes)
	inRange(c, "Entry.MaxTimeout", e.MaxTimeout, minTimeout, longestTimeout)
	inRange(c, "Entry.BalancerDelay", e.BalancerDelay, 0, longestTimeout)
	inRange(c, "Entry.StopTimeout", e.StopTimeout, minTimeout, longestTimeout)
	inRange(c, "Entry.Claims.KeyRetention", e.Claims.KeyRetention, minKeyRetention, maxKeyRetention)
}

func (c *checker) agent(a Agent) {
	c.required("Agent.ID", string(a.ID))
	c.required("Agent.Zone", string(a.Zone))
	c.required("Agent.Serves", a.Serves)
	c.address("Agent.Listen", a.Listen)
	c.baseURL("Agent.BackendURL", a.BackendURL)
	inRange(c, "Agent.Ranks", a.Ranks, 0, maxRanks)
	if a.Ranks > 0 {
		inRange(c, "Agent.GroupRanks", a.GroupRanks, a.Ranks, maxRanks)
		c.experts(a.Experts)
	}
	inRange(c, "Agent.StopTimeout", a.StopTimeout, minTimeout, longestTimeout)
}

func (c *checker) experts(e Experts) {
	inRange(c, "Agent.Experts.Layers", e.Layers, 1, maxLayers)
	inRange(c, "Agent.Experts.PerLayer", e.PerLayer, 1, maxExperts)
	inRange(c, "Agent.Experts.Slots", e.Slots, 1, e.PerLayer)
	inRange(c, "Agent.Experts.Bytes", e.Bytes, 1, maxExpertBytes)
	inRange(c, "Agent.Experts.FetchBytesPerSecond", e.FetchBytesPerSecond, 1, maxFetchBytesPerSecond)
	inRange(c, "Agent.Experts.StagedCopies", e.StagedCopies, 1, maxLayers*maxExperts)
}

func (c *checker) standin(s Standin) {
	c.address("Standin.Listen", s.Listen)
	for i, server := range s.Servers {
		c.address(each("Standin.Servers", i, "Listen"), server.Listen)
		c.required(each("Standin.Servers", i, "Target"), server.Target)
	}
}

func (c *checker) dev(s *Settings) {
	c.entryLimits(s.Entry)
	if len(s.Zone) == 0 {
		c.fault("Zone", "at least one availability zone is needed")
	}
	targets := make(map[string]bool)
	for _, m := range s.Model {
		targets[m.Name] = true
	}
	for _, v := range s.Service {
		targets[v.Name] = true
	}
	for i, zone := range s.Zone {
		for j, r := range zone.Replicas {
			if !targets[r.Target] {
				c.fault(replicasKey(i, j, "Target"), "no Model or Service has the name %q", r.Target)
			}
		}
	}
}

func (c *checker) profiles(profiles []track.Profile) {
	names := make([]string, 0, len(profiles))
	for i, p := range profiles {
		names = append(names, p.Name)
		inRange(c, each("Profile", i, "Timeout"), p.Timeout, minTimeout, longestTimeout)
		inRange(c, each("Profile", i, "Priority"), int(p.Priority), int(track.PriorityBatch), int(track.PriorityInteractive))
		inRange(c, each("Profile", i, "Retry.Share"), p.Retry.Share, 0, 1)
		inRange(c, each("Profile", i, "Retry.MaxAttempts"), p.Retry.MaxAttempts, 1, maxAttemptsAllowed)
		inRange(c, each("Profile", i, "Hedge.After"), p.Hedge.After, 0, longestTimeout)
		for j, pattern := range p.NonIdempotent {
			c.pattern(each("Profile", i, fmt.Sprintf("NonIdempotent[%d]", j)), pattern)
		}
	}
	c.unique("Profile", "Name", names)
}

func (c *checker) pattern(key string, p track.CallPattern) {
	c.required(key+".Method", p.Method)
	_, err := path.Match(p.Path, "")
	if err != nil || p.Path == "" || p.Path[0] != '/' {
		c.fault(key+".Path", "must be a pattern such as /bookings, not %q", p.Path)
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
		c.knownProfile(each("Model", i, "Profile"), profiles, m.Profile)
	}
	c.unique("Model", "Name", names)
	names = nil
	for i, v := range s.Service {
		names = append(names, v.Name)
		c.knownProfile(each("Service", i, "Profile"), profiles, v.Profile)
	}
	c.unique("Service", "Name", names)
}

func (c *checker) knownProfile(key string, profiles map[string]bool, name string) {
	if !profiles[name] {
		c.fault(key, "no Profile has the name %q", name)
	}
}

func (c *checker) accounts(accounts []track.ClientAccount) {
	var names, digests []string
	for i, a := range accounts {
		names = append(names, a.Name)
		digests = append(digests, a.TokenSHA256)
		if len(a.TokenSHA256) != tokenDigestLength {
			c.fault(each("Account", i, "TokenSHA256"), "must be the SHA-256 of the token, %d hexadecimal digits", tokenDigestLength)
		}
		inRange(c, each("Account", i, "Weight"), a.Weight, 0.001, 1e6)
		inRange(c, each("Account", i, "RequestsPerSecond"), a.RequestsPerSecond, 0, 1e9)
		inRange(c, each("Account", i, "TokensPerSecond"), a.TokensPerSecond, 0, 1e12)
	}
	c.unique("Account", "Name", names)
	c.unique("Account", "TokenSHA256", digests)
}

// replicasKey returns the key of a field of a zone's replicas.
func replicasKey(zone, replicas int, field string) string {
	return each("Zone", zone, each("Replicas", replicas, field))
}

func (c *checker) zones(zones []Zone) {
	var names []string
	for i, z := range zones {
		names = append(names, string(z.Name))
		for j, r := range z.Replicas {
			c.required(replicasKey(i, j, "Target"), r.Target)
			inRange(c, replicasKey(i, j, "Count"), r.Count, 1, maxReplicas)
			inRange(c, replicasKey(i, j, "Ranks"), r.Ranks, 0, maxRanks)
			inRange(c, replicasKey(i, j, "StepTime"), r.StepTime, 0, time.Minute)
		}
	}
	c.unique("Zone", "Name", names)
}
