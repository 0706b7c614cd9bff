package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
)

// zonedHarness is a harness whose replicas are in one zone each, and whose routes and account have home regions.
func zonedHarness(routeRegions, accountRegions []string, script ...behaviour) *harness {
	h := newHarness(script...)
	for i := range h.replicas {
		h.replicas[i].Zone = []track.AvailabilityZone{"rivera", "artigas", "salto"}[i%replicaCount]
	}
	for _, p := range h.pools {
		p.Update(h.replicas)
	}
	config := track.RouteConfig{
		Version: 1, Accounts: []track.RouteAccount{{Name: "mills", Keys: []string{"key"}, HomeRegions: accountRegions}},
	}
	for _, r := range routes {
		r.HomeRegions = routeRegions
		config.Routes = append(config.Routes, r)
	}
	h.table = hosts.New(config)
	return h
}

// Guards against requests that run outside their home regions: of the route, of the account, of both, and when they are
// retried. The zone salto is in no known region.
func TestRequestsRunInHomeRegionsOnly(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []string
		path           string
		zones          int
	}{
		{"none", nil, nil, "/status/1", 3},
		{"empty lists", []string{}, []string{}, "/status/1", 3},
		{"route", []string{"norte", "sur"}, nil, "/status/1", 2},
		{"account", nil, []string{"sur"}, "/status/1", 1},
		{"both", []string{"norte", "sur"}, []string{"sur", "este"}, "/status/1", 1},
		{"route of clients without account", []string{"norte"}, []string{"sur"}, "/free/1", 1},
		{"no region in both", []string{"norte"}, []string{"sur"}, "/status/1", 0},
		{"unknown region", []string{"", "este"}, nil, "/status/1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := zonedHarness(c.route, c.account)
			for range 8 {
				// The replicas that have answered so far are busier than the others.
				busy := make(map[track.ReplicaID]track.InFlight)
				for _, call := range h.calls {
					busy[call.Replica.ID] = track.InFlight{Running: 8}
				}
				h.pools["desk"].SetOtherInFlight(busy)
				response, err := h.post(c.path)
				assert.NilError(t, err)
				if c.zones == 0 {
					assert.Equal(t, response.Code, http.StatusServiceUnavailable)
					assert.Equal(t, response.Header().Get("Reason"), "NoReplicaInHomeRegion")
					assert.Equal(t, response.Header().Get("Retry-After"), "1s")
				}
			}
			zones := make(map[track.AvailabilityZone]bool)
			for _, call := range h.calls {
				zones[call.Replica.Zone] = true
			}
			assert.Equal(t, len(zones), c.zones, "%v", zones)
			assert.Assert(t, c.zones == 3 || !zones["salto"])
		})
	}
}

var artigasAndSalto = map[track.AvailabilityZone]bool{"artigas": true, "salto": true}

// Guards against a retry, or the rest of a stream, that leaves the home region or goes to an evacuated zone.
func TestRetriesStayInHomeRegionsAndOutOfEvacuatedZones(t *testing.T) {
	for _, c := range []struct {
		name       string
		regions    []string
		evacuated  map[track.AvailabilityZone]bool
		path       string
		broken     behaviour
		wantStatus int
		wantReason string
	}{
		{"declined", []string{"norte"}, nil, "/status/1", atCapacity, http.StatusServiceUnavailable, "NoReplica"},
		{"broken", []string{"norte"}, nil, "/status/1", resetsBeforeHead, http.StatusBadGateway, "NoReplica"},
		{"evacuated", nil, artigasAndSalto, "/status/1", atCapacity, http.StatusServiceUnavailable, "Evacuated"},
		{"evacuated, may have run", nil, artigasAndSalto, "/status/1", resetsBeforeHead, http.StatusBadGateway, "Evacuated"},
		{"other zone left", nil, map[track.AvailabilityZone]bool{"artigas": true}, "/notes/1", resetsInBody, http.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := zonedHarness(c.regions, nil, c.broken)
			for _, p := range h.pools {
				p.SetEvacuated(c.evacuated)
			}
			response, err := h.post(c.path)
			assert.NilError(t, err)
			assert.Equal(t, response.Code, c.wantStatus)
			assert.Equal(t, response.Header().Get("Reason"), c.wantReason)
			for _, call := range h.calls {
				assert.Assert(t, !c.evacuated[call.Replica.Zone] && (c.regions == nil || call.Replica.Zone == "rivera"), "%v", call.Replica)
			}
		})
	}
}
