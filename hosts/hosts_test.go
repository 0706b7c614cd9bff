package hosts_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
)

var table = hosts.New(track.RouteConfig{
	Version: 7,
	Routes: []track.Route{
		{Name: "notes", Host: "yard.example", PathPrefix: "/notes/", Targets: []track.RouteTarget{{Service: "llm", Weight: 1}}},
		{Name: "old notes", Host: "yard.example", PathPrefix: "/notes/old/", Anonymous: true},
		{Name: "all", Host: "desk.example", PathPrefix: "/"},
	},
	Accounts: []track.RouteAccount{{Name: "mills", Keys: []string{"k1", "k2"}}},
})

func TestRoute(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"yard.example", "/notes/1", "notes"},
		{"yard.example", "/notes/old/1", "old notes"},
		{"yard.example", "/notes/older", "notes"},
		{"yard.example", "/notes", ""},
		{"yard.example", "/other/", ""},
		{"YARD.example:8080", "/notes/", "notes"},
		{"desk.example", "/anything/at/all", "all"},
		{"nobody.example", "/notes/1", ""},
	} {
		r, ok := table.Route(c.host, c.path)
		assert.Equal(t, r.Name, c.want, "%s%s", c.host, c.path)
		assert.Equal(t, ok, c.want != "")
	}
}

func TestAccount(t *testing.T) {
	a, ok := table.Account("k2")
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, "mills")
	_, ok = table.Account("k3")
	assert.Assert(t, !ok)
	notes, _ := table.Route("yard.example", "/notes/1")
	assert.Assert(t, table.RequiresKey(notes))
	old, _ := table.Route("yard.example", "/notes/old/1")
	assert.Assert(t, !table.RequiresKey(old))
	assert.Assert(t, !hosts.New(track.RouteConfig{}).RequiresKey(notes), "without accounts, no request needs a key")
}

func TestPickService(t *testing.T) {
	split := track.Route{Targets: []track.RouteTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for random, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b"} {
		assert.Equal(t, hosts.PickService(split, random), want)
	}
	unweighted := track.Route{Targets: []track.RouteTarget{{Service: "a"}, {Service: "b"}}}
	assert.Equal(t, hosts.PickService(unweighted, 0.3), "b")
}
