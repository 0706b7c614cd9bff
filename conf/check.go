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

// Limits of the settings.
const (
	maxReplicas    = 1000
	maxRanks       = 1024
	maxLayers      = 1024
	maxExperts     = 4096
	maxExpertBytes = 64 << 30
	// maxFetchBytesPerSecond limits the rate of a single rank.
	maxFetchBytesPerSecond = 1 << 40
	minTimeout             = time.Millisecond
	maxTimeout             = time.Hour
	minKeyRetention        = time.Minute
	maxKeyRetention        = 30 * 24 * time.Hour
	maxAttempts            = 10
	tokenHashDigits        = 64
	maxBodyBytes           = 1 << 30
	minLogRetention        = time.Hour
	maxLogRetention        = 365 * 24 * time.Hour
)

// checker validates settings and collects the issues found.
type checker struct {
	file  string
	lines *lineIndex
	// reported holds the keys for which decoding already reported an issue. They get no
	// further ones.
	reported map[string]bool
	issues   ValidationError
}

// addIssue adds an issue, unless decoding already reported one for the key.
func (c *checker) addIssue(key, format string, args ...any) {
	if c.reported[key] {
		return
	}
	c.issues = append(c.issues, Issue{
		File: c.file, Line: c.lines.nearestLine(key), Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// elementKey returns the key of a field of the nth table of an array, counted from 0.
func elementKey(table string, n int, field string) string {
	return fmt.Sprintf("%s[%d].%s", table, n, field)
}

func (c *checker) check(s *Settings, use Use) {
	if use == UseSharedConfig {
		c.checkProfiles(s.Profile)
		c.checkAccounts(s.Account)
		return
	}
	c.checkLogging(s.Logging)
	c.checkTLS(s.TLS)
	c.checkOperators(s.Operators)
	c.checkProfiles(s.Profile)
	c.checkModels(s)
	c.checkAccounts(s.Account)
	c.checkZones(s.Zone)
	switch use {
	case UseEntry:
		c.checkEntry(s.Entry)
		c.checkPlatform(s.Platform)
	case UseAgent:
		c.checkAgent(s.Agent)
		c.checkPlatform(s.Platform)
	case UseStandin:
		c.checkStandin(s.Standin)
	case UseDev:
		c.checkDev(s)
	case UseAny:
	}
}

func (c *checker) requireNonEmpty(key, value string) {
	if value == "" {
		c.addIssue(key, "missing")
	}
}

func (c *checker) requireHostPort(key, value string) {
	_, _, err := net.SplitHostPort(value)
	if err != nil {
		c.addIssue(key, "must be HOST:PORT, not %q", value)
	}
}

func (c *checker) requireBaseURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addIssue(key, "must be a URL such as http://HOST:PORT, not %q", value)
	}
}

func (c *checker) requireOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addIssue(key, "must be one of %v, not %q", allowed, value)
	}
}

func requireRange[T int | int64 | float64 | time.Duration](c *checker, key string, value, low, high T) {
	if value < low || value > high {
		c.addIssue(key, "must be between %v and %v, not %v", low, high, value)
	}
}

// requireUnique requires a non-empty and unique value of a field in each table of an array.
func (c *checker) requireUnique(table, field string, values []string) {
	seen := make(map[string]bool)
	for i, value := range values {
		c.requireNonEmpty(elementKey(table, i, field), value)
		if value != "" && seen[value] {
			c.addIssue(elementKey(table, i, field), "duplicate value %q", value)
		}
		seen[value] = true
	}
}

func (c *checker) checkLogging(l Logging) {
	c.requireOneOf("Logging.Level", l.Level, "debug", "info", "warn", "error")
	c.requireOneOf("Logging.Format", l.Format, "json", "console")
}

func (c *checker) checkTLS(t TLS) {
	if t == (TLS{}) {
		return
	}
	c.requireNonEmpty("TLS.Certificate", t.Certificate)
	c.requireNonEmpty("TLS.Key", t.Key)
	c.requireNonEmpty("TLS.Authority", t.Authority)
}

func (c *checker) checkOperators(o Operators) {
	if o.TokenFile != "" && o.TokenSHA256 != "" {
		c.addIssue("Operators.TokenSHA256", "must not be set together with Operators.TokenFile")
	}
	if o.TokenSHA256 != "" && len(o.TokenSHA256) != tokenHashDigits {
		c.addIssue("Operators.TokenSHA256", "must be the SHA-256 of the token, %d hexadecimal digits", tokenHashDigits)
	}
}

func (c *checker) checkPlatform(p Platform) {
	c.requireBaseURL("Platform.LogURL", p.LogURL)
	c.requireBaseURL("Platform.ListURL", p.ListURL)
	requireRange(c, "Platform.Retention", p.Retention, minLogRetention, maxLogRetention)
}

func (c *checker) checkEntry(e Entry) {
	c.requireNonEmpty("Entry.ID", string(e.ID))
	c.requireNonEmpty("Entry.Zone", string(e.Zone))
	c.checkEntryLimits(e)
}

// checkEntryLimits checks the part of the section that a development environment uses too.
func (c *checker) checkEntryLimits(e Entry) {
	c.requireHostPort("Entry.Listen", e.Listen)
	c.requireHostPort("Entry.Admin", e.Admin)
	c.requireHostPort("Entry.Peer", e.Peer)
	requireRange(c, "Entry.MaxBodyBytes", e.MaxBodyBytes, 1, maxBodyBytes)
	requireRange(c, "Entry.MaxHeaderBytes", e.MaxHeaderBytes, 1024, 1<<20)
	requireRange(c, "Entry.MaxAnswerBytes", e.MaxAnswerBytes, 1024, maxBodyBytes)
	requireRange(c, "Entry.MaxTimeout", e.MaxTimeout, minTimeout, maxTimeout)
	requireRange(c, "Entry.BalancerDelay", e.BalancerDelay, 0, maxTimeout)
	requireRange(c, "Entry.StopTimeout", e.StopTimeout, minTimeout, maxTimeout)
	requireRange(c, "Entry.Claims.KeyRetention", e.Claims.KeyRetention, minKeyRetention, maxKeyRetention)
}

func (c *checker) checkAgent(a Agent) {
	c.requireNonEmpty("Agent.ID", string(a.ID))
	c.requireNonEmpty("Agent.Zone", string(a.Zone))
	c.requireNonEmpty("Agent.Serves", a.Serves)
	c.requireHostPort("Agent.Listen", a.Listen)
	c.requireBaseURL("Agent.BackendURL", a.BackendURL)
	requireRange(c, "Agent.Ranks", a.Ranks, 0, maxRanks)
	if a.Ranks > 0 {
		requireRange(c, "Agent.GroupRanks", a.GroupRanks, a.Ranks, maxRanks)
		c.checkExperts(a.Experts)
	}
	requireRange(c, "Agent.StopTimeout", a.StopTimeout, minTimeout, maxTimeout)
}

func (c *checker) checkExperts(e Experts) {
	requireRange(c, "Agent.Experts.Layers", e.Layers, 1, maxLayers)
	requireRange(c, "Agent.Experts.PerLayer", e.PerLayer, 1, maxExperts)
	requireRange(c, "Agent.Experts.Slots", e.Slots, 1, e.PerLayer)
	requireRange(c, "Agent.Experts.Bytes", e.Bytes, 1, maxExpertBytes)
	requireRange(c, "Agent.Experts.FetchBytesPerSecond", e.FetchBytesPerSecond, 1, maxFetchBytesPerSecond)
	requireRange(c, "Agent.Experts.StagedCopies", e.StagedCopies, 1, maxLayers*maxExperts)
}

func (c *checker) checkStandin(s Standin) {
	c.requireHostPort("Standin.Listen", s.Listen)
	for i, server := range s.Servers {
		c.requireHostPort(elementKey("Standin.Servers", i, "Listen"), server.Listen)
		c.requireNonEmpty(elementKey("Standin.Servers", i, "Target"), server.Target)
	}
}

func (c *checker) checkDev(s *Settings) {
	c.checkEntryLimits(s.Entry)
	if len(s.Zone) == 0 {
		c.addIssue("Zone", "at least one availability zone is required")
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
				c.addIssue(replicasKey(i, j, "Target"), "no Model or Service is named %q", r.Target)
			}
		}
	}
}

func (c *checker) checkProfiles(profiles []track.Profile) {
	names := make([]string, 0, len(profiles))
	for i, p := range profiles {
		names = append(names, p.Name)
		requireRange(c, elementKey("Profile", i, "Timeout"), p.Timeout, minTimeout, maxTimeout)
		requireRange(c, elementKey("Profile", i, "Priority"), int(p.Priority),
			int(track.PriorityBatch), int(track.PriorityInteractive))
		requireRange(c, elementKey("Profile", i, "Retry.Share"), p.Retry.Share, 0, 1)
		requireRange(c, elementKey("Profile", i, "Retry.MaxAttempts"), p.Retry.MaxAttempts, 1, maxAttempts)
		requireRange(c, elementKey("Profile", i, "Hedge.After"), p.Hedge.After, 0, maxTimeout)
		for j, pattern := range p.NonIdempotent {
			c.checkCallPattern(elementKey("Profile", i, fmt.Sprintf("NonIdempotent[%d]", j)), pattern)
		}
	}
	c.requireUnique("Profile", "Name", names)
}

func (c *checker) checkCallPattern(key string, p track.CallPattern) {
	c.requireNonEmpty(key+".Method", p.Method)
	_, err := path.Match(p.Path, "")
	if err != nil || p.Path == "" || p.Path[0] != '/' {
		c.addIssue(key+".Path", "must be a path pattern such as /bookings, not %q", p.Path)
	}
}

func (c *checker) checkModels(s *Settings) {
	profiles := make(map[string]bool)
	for _, p := range s.Profile {
		profiles[p.Name] = true
	}
	var names []string
	for i, m := range s.Model {
		names = append(names, m.Name)
		c.requireProfile(elementKey("Model", i, "Profile"), profiles, m.Profile)
	}
	c.requireUnique("Model", "Name", names)
	names = nil
	for i, v := range s.Service {
		names = append(names, v.Name)
		c.requireProfile(elementKey("Service", i, "Profile"), profiles, v.Profile)
	}
	c.requireUnique("Service", "Name", names)
}

func (c *checker) requireProfile(key string, profiles map[string]bool, name string) {
	if !profiles[name] {
		c.addIssue(key, "no Profile is named %q", name)
	}
}

func (c *checker) checkAccounts(accounts []track.ClientAccount) {
	var names, tokenHashes []string
	for i, a := range accounts {
		names = append(names, a.Name)
		tokenHashes = append(tokenHashes, a.TokenSHA256)
		if len(a.TokenSHA256) != tokenHashDigits {
			c.addIssue(elementKey("Account", i, "TokenSHA256"),
				"must be the SHA-256 of the token, %d hexadecimal digits", tokenHashDigits)
		}
		requireRange(c, elementKey("Account", i, "Weight"), a.Weight, 0.001, 1e6)
		requireRange(c, elementKey("Account", i, "RequestsPerSecond"), a.RequestsPerSecond, 0, 1e9)
		requireRange(c, elementKey("Account", i, "TokensPerSecond"), a.TokensPerSecond, 0, 1e12)
	}
	c.requireUnique("Account", "Name", names)
	c.requireUnique("Account", "TokenSHA256", tokenHashes)
}

// replicasKey returns the key of a field of an element of a zone's Replicas.
func replicasKey(zone, replicas int, field string) string {
	return elementKey("Zone", zone, elementKey("Replicas", replicas, field))
}

func (c *checker) checkZones(zones []Zone) {
	var names []string
	for i, z := range zones {
		names = append(names, string(z.Name))
		for j, r := range z.Replicas {
			c.requireNonEmpty(replicasKey(i, j, "Target"), r.Target)
			requireRange(c, replicasKey(i, j, "Count"), r.Count, 1, maxReplicas)
			requireRange(c, replicasKey(i, j, "Ranks"), r.Ranks, 0, maxRanks)
			requireRange(c, replicasKey(i, j, "StepTime"), r.StepTime, 0, time.Minute)
		}
	}
	c.requireUnique("Zone", "Name", names)
}
