package verify

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// sound returns a configuration without findings.
func sound() track.RouteConfig {
	return track.RouteConfig{
		Version: 7,
		Routes: []track.Route{
			{
				Name: "book", Host: "desk.example", PathPrefix: "/book/", RetryRule: track.RetryOnlyIfNotRun, MaxAttempts: 1,
				Timeout: 2 * time.Second, Objective: time.Second, Targets: []track.RouteTarget{{Service: "book", Weight: 1}},
			},
			{
				Name: "notes", Host: "desk.example", PathPrefix: "/notes/", RetryRule: track.RetryFromLastEvent, MaxAttempts: 3, Stream: true,
				Timeout: 8 * time.Second, MaxGap: time.Second, Patience: 8 * time.Second, Targets: []track.RouteTarget{{Service: "llm", Weight: 1}},
			},
		},
		Services: []track.RouteService{{Name: "book"}, {Name: "llm", Engine: &track.EngineSpec{Slots: 12}}},
		Limits:   track.RequestLimits{MaxBodyBytes: 4096},
		Accounts: []track.RouteAccount{{Name: "mills", Keys: []string{"key-of-mills"}}, {Name: "ames", Keys: []string{"key-of-ames"}}},
	}
}

func lines(findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// Guards against faults that the entry accepts and that then show only in requests that fail.
func TestCheckFindsEachFault(t *testing.T) {
	assert.Equal(t, lines(Check(sound())), "")
	for want, edit := range map[string]func(c *track.RouteConfig){
		`error: route "book": target "b" isn't a service` + "\n" + `warning: service "book": no route uses it`: func(c *track.RouteConfig) {
			c.Routes[0].Targets[0].Service = "b"
		},
		`error: route "book" (2): the name occurs before`: func(c *track.RouteConfig) { c.Routes[1].Name = "book" },
		`error: service "llm" (2): the name occurs before`: func(c *track.RouteConfig) {
			c.Services = append(c.Services, c.Services[1])
		},
		`error: account "mills" (2): the name occurs before`:                   func(c *track.RouteConfig) { c.Accounts[1].Name = "mills" },
		`error: account "ames": key "key-..." also belongs to account "mills"`: func(c *track.RouteConfig) { c.Accounts[1].Keys = []string{"key-of-mills", "key-of-mills"} },
		`error: route at position 2: no target has a positive weight`:          func(c *track.RouteConfig) { c.Routes[1].Name, c.Routes[1].Targets[0].Weight = "", 0 },
		`warning: route "notes": never matches: route "book" has the same host and prefix`: func(c *track.RouteConfig) {
			c.Routes[1].PathPrefix = "/book/"
		},
		`warning: route "notes": host "Desk.example:80" has capital letters or a port: it matches as "desk.example"`: func(c *track.RouteConfig) {
			c.Routes[1].Host = "Desk.example:80"
		},
		`warning: route "notes": never matches: prefix "notes" doesn't begin with a slash`: func(c *track.RouteConfig) {
			c.Routes[1].PathPrefix = "notes"
		},
		`warning: route "notes": prefix "/notes" doesn't end with a slash: it also matches "/notesx"`: func(c *track.RouteConfig) {
			c.Routes[1].PathPrefix = "/notes"
		},
		`warning: route "notes": the prefix is empty: it matches all paths`:               func(c *track.RouteConfig) { c.Routes[1].PathPrefix = "" },
		`warning: account "ames": has no keys: its clients can use anonymous routes only`: func(c *track.RouteConfig) { c.Accounts[1].Keys = nil },
		`warning: route "book": the timeout of 500ms is below the objective of 1s`:        func(c *track.RouteConfig) { c.Routes[0].Timeout = time.Second / 2 },
		`warning: route "book": 2 attempts are allowed, but requests that may have run must not be repeated`: func(c *track.RouteConfig) {
			c.Routes[0].MaxAttempts = 2
		},
		`warning: route "notes": the gap target of 9s is above the clients' patience of 8s`: func(c *track.RouteConfig) { c.Routes[1].MaxGap = 9 * time.Second },
		`warning: route "book": the gap target of 1s doesn't apply: responses aren't streams`: func(c *track.RouteConfig) {
			c.Routes[0].MaxGap = time.Second
		},
	} {
		c := sound()
		edit(&c)
		assert.Equal(t, lines(Check(c)), want+"\n")
	}
}

// Guards against changes that an operator didn't intend and doesn't see before sending, and against keys in
// terminals and logs.
func TestCompareShowsOldAndNewValues(t *testing.T) {
	assert.Equal(t, lines(Compare(sound(), sound())), `warning: version: 7 isn't above 7, the version in force: entries ignore it`+"\n")
	c := sound()
	c.Version = 8
	c.Routes[0].Name = "new"
	c.Routes[1].Targets = append(c.Routes[1].Targets, track.RouteTarget{Service: "book", Weight: 2})
	c.Services[0].Engine = &track.EngineSpec{}
	c.Services[1].Engine.Slots = 13
	c.Limits.MaxBodyBytes = 8192
	priority := 2
	c.Accounts[0].Keys, c.Accounts[0].Priority = []string{"abc", "key-of-nobody"}, &priority
	c.Accounts[1].Name = "all"
	got := lines(Compare(sound(), c))
	engine := `{Slots: 0, MemoryTokens: 0, TokensPerPass: 0, StepTime: 0s, StepPerRequest: 0s, StepPerContext: 0s, ` +
		`PromptTokensPerSecond: 0, MeanPromptTokens: 0, MeanAnswerTokens: 0, Experts: {Layers: 0, Experts: 0, SlotsPerRank: 0, ` +
		`StagedPerLayer: 0, ExpertBytes: 0, LinkBytesPerSecond: 0, ExpertTimeShare: 0, ReportLag: 0s}, GroupRecoveryTime: 0s}`
	route := `", Host: "desk.example", PathPrefix: "/book/", RetryRule: "AtMostOnce", Stream: false, Timeout: 2s, Objective: 1s, ` +
		`MaxGap: 0s, Patience: 0s, Priority: 0, Targets: [{Service: "book", Weight: 1}], MaxAttempts: 1, Anonymous: false, HomeRegions: []}`
	assert.Equal(t, got, strings.Join([]string{
		`change: route "new": added: {Name: "new` + route,
		`change: route "notes": Targets: [{Service: "llm", Weight: 1}] -> [{Service: "llm", Weight: 1}, {Service: "book", Weight: 2}]`,
		`change: route "book": removed: {Name: "book` + route,
		`change: service "book": Engine: none -> ` + engine,
		`change: service "llm": Engine.Slots: 12 -> 13`,
		`change: account "mills": key 1 ("a...") added`,
		`change: account "mills": key 2 ("key-...") added`,
		`change: account "mills": key 1 ("key-...") removed`,
		`change: account "mills": Priority: none -> 2`,
		`change: account "all": added: {Name: "all", Keys: ["key-..."], Priority: none, HomeRegions: []}`,
		`change: account "ames": removed: {Name: "ames", Keys: ["key-..."], Priority: none, HomeRegions: []}`,
		`change: limits: MaxBodyBytes: 4096 -> 8192`,
		"",
	}, "\n"))
}
