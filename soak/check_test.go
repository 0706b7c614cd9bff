package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/platform/mimic"
)

var start = time.Unix(1000, 0)

// passingHistory returns a history without violations, with safe and unsafe requests and streams.
func passingHistory() *History {
	h := &History{LeftAt: map[string]time.Time{}, RevokedAt: map[string]time.Time{}, AddedAt: map[string]time.Time{}, Faults: []FaultPeriod{{From: start, To: start.Add(time.Second), Fault: Kill}}}
	for i := range 40 {
		id := func(kind string) string { return fmt.Sprintf("%s-%d", kind, i) }
		stream := mimic.Event(id("c"), 1) + mimic.Event(id("c"), 2)
		for _, o := range []RequestRecord{
			{
				Request: mimic.Request{ID: id("a"), Key: "k"}, Kind: Safe,
				Response: mimic.Response{Body: mimic.Body(id("a"), "i-1")},
			},
			{
				Request: mimic.Request{ID: id("b"), Key: "k"}, Kind: Unsafe,
				Response: mimic.Response{Body: mimic.Body(id("b"), "i-1")},
			},
			{Request: mimic.Request{ID: id("c"), Key: "k"}, Kind: Stream, Events: 2, Response: mimic.Response{Body: stream}},
		} {
			o.Sent, o.Ended = start.Add(20*time.Second), start.Add(21*time.Second)
			o.Response.Status, o.Response.Complete, o.Response.Seal = 200, true, "seal-i-1"
			h.Requests = append(h.Requests, o)
			h.Runs = append(h.Runs, mimic.Execution{Request: o.Request.ID, Replica: "i-1", At: o.Sent})
		}
	}
	return h
}

// TestEachCheckDetectsItsViolation breaks one guarantee at a time, and checks that only the check
// of this guarantee reports a violation.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	assert.Equal(t, len(Check(passingHistory(), DefaultBounds())), 0, "%v", Check(passingHistory(), DefaultBounds()))
	for _, c := range []struct {
		name    string
		violate func(*History)
		rule    string
	}{
		{"unsafe request ran twice", func(h *History) { h.Runs = append(h.Runs, h.Runs[1]) }, "AtMostOnce"},
		{"refused request ran", func(h *History) {
			h.Requests[1].Response = mimic.Response{Status: 503, Complete: true, RetryAfter: true}
		}, "RefusalsAreTrue"},
		{"refusal without Retry-After", func(h *History) {
			h.Requests[0].Response = mimic.Response{Status: 503, Complete: true}
			h.Runs = h.Runs[1:]
		}, "RefusalsAreTrue"},
		{"response to another request", func(h *History) { h.Requests[0].Response.Body = mimic.Body("z-1", "i-1") }, "OwnWholeAnswer"},
		{"truncated response reported as whole", func(h *History) { h.Requests[0].Response.Body = h.Requests[0].Response.Body[:9] }, "OwnWholeAnswer"},
		{
			"authentication code of another replica", func(h *History) { h.Requests[0].Response.Seal = "seal-i-2" },
			"OwnWholeAnswer",
		},
		{"missing event", func(h *History) { h.Requests[2].Response.Body = mimic.Event("c-0", 2) }, "NoPieceLostOrDoubled"},
		{"duplicate event", func(h *History) { h.Requests[2].Response.Body += mimic.Event("c-0", 2) }, "NoPieceLostOrDoubled"},
		{"truncated stream reported as whole", func(h *History) { h.Requests[2].Response.Body = mimic.Event("c-0", 1) }, "NoPieceLostOrDoubled"},
		{"request sent to a replica that left", func(h *History) { h.LeftAt["i-1"] = start.Add(17 * time.Second) }, "LeavingReplicasGetNothing"},
		{"request refused by a replica of an evacuated zone", func(h *History) {
			h.ReplicaZones = map[string]string{"i-1": "zone-0", "i-2": "zone-1"}
			h.Evacuations = []Evacuation{{Zone: "zone-0", From: start.Add(10 * time.Second), To: start.Add(18 * time.Second)}}
			for _, after := range []time.Duration{14 * time.Second, 16 * time.Second, 19 * time.Second} {
				for _, replica := range []string{"i-1", "i-2"} {
					h.Received = append(h.Received, mimic.ReceivedRequest{Request: "z", Replica: replica, At: start.Add(after)})
				}
			}
			assert.Equal(t, len(Check(h, DefaultBounds())), 1, "only the request after the bound and before the end counts")
		}, "EvacuatedZonesGetNothing"},
		{"too many requests in a second at a cold replica", func(h *History) {
			h.ColdFrom = map[string]time.Time{"i-1": start.Add(20 * time.Second), "i-2": start.Add(20 * time.Second)}
			for i := range 9 {
				at := start.Add(22*time.Second + time.Duration(i)*110*time.Millisecond)
				h.Received = append(h.Received, mimic.ReceivedRequest{Replica: "i-1", At: at}, mimic.ReceivedRequest{Replica: "i-2", At: at.Add(time.Second)})
			}
			assert.Equal(t, len(Check(h, DefaultBounds())), 1, "a warm replica may get as many")
		}, "ColdReplicasAreSpared"},
		{"requests sent to a resting replica", func(h *History) {
			h.Entries = 2
			for i := range 5 {
				h.ArrivalsDuringRest = append(h.ArrivalsDuringRest, mimic.Arrival{
					Replica: "i-1", RestStart: start.Add(20 * time.Second), At: start.Add(time.Duration(21+i) * time.Second),
				})
			}
		}, "RestingReplicasGetNothing"},
		{"requests beyond the limit of a replica", func(h *History) {
			for i := range 18 {
				h.ArrivalsUnderLimit = append(h.ArrivalsUnderLimit, mimic.LimitedArrival{
					Replica: "i-1", Limit: 2, LimitStart: start, At: start.Add(10*time.Second + time.Duration(i)*200*time.Millisecond),
				})
			}
		}, "LimitsAreKept"},
		{"request that crashes replicas goes on", func(h *History) {
			for i := range 4 {
				at := start.Add(time.Duration(5+i) * time.Second)
				h.Crashes = append(h.Crashes, mimic.CrashEvent{Cause: "crash-1", At: at})
				h.CrashArrivals = append(h.CrashArrivals, mimic.CrashEvent{Cause: "crash-1", At: at.Add(6 * time.Second)})
			}
		}, "CrashingRequestsAreBarred"},
		{"part that crashes replicas goes on", func(h *History) {
			for i := range 5 {
				at := start.Add(time.Duration(5+i) * time.Second)
				h.Crashes = append(h.Crashes, mimic.CrashEvent{Cause: "bad1", At: at})
				h.CrashArrivals = append(h.CrashArrivals, mimic.CrashEvent{Cause: "bad1", At: at.Add(8 * time.Second)})
			}
		}, "CrashingRequestsAreBarred"},
		{"sound streams fail beside crashing ones", func(h *History) {
			h.Faults = append(h.Faults, FaultPeriod{From: start.Add(30 * time.Second), To: start.Add(60 * time.Second), Fault: CrashingPart})
			recovered := h.Requests[0]
			recovered.Sent, recovered.Ended = start.Add(80*time.Second), start.Add(81*time.Second)
			h.Requests = append(h.Requests, recovered)
			for i := range 20 {
				h.Requests = append(h.Requests, RequestRecord{
					Request: mimic.Request{ID: fmt.Sprint("d-", i), Key: "k"}, Kind: Stream,
					Sent: start.Add(45 * time.Second), Ended: start.Add(46 * time.Second), Response: mimic.Response{Status: 502, Complete: true},
				})
			}
		}, "SoundRequestsAreServedBesideCrashingOnes"},
		{"request with a revoked key ran", func(h *History) {
			h.Requests[0].Request.Key = "gone"
			h.RevokedAt["gone"] = start.Add(17 * time.Second)
		}, "RevokedKeysAreRefused"},
		{"request denied that all configurations allow", func(h *History) {
			h.Requests[0].Route, h.Requests[0].Response = "safe", mimic.Response{Status: 401, Complete: true}
		}, "ValidRequestsAreNotDenied"},
		{"added route unknown", func(h *History) {
			h.Requests[0].Route, h.Requests[0].Response = "more-3", mimic.Response{Status: 404, Complete: true}
			h.AddedAt["more-3"] = start.Add(17 * time.Second)
		}, "ValidRequestsAreNotDenied"},
		{"key passed on to a replica", func(h *History) { h.Runs[0].Key = "Token k" }, "RevokedKeysAreRefused"},
		{"two expert maps in a pass", func(h *History) { h.MixedMaps = "pass 7: rank 0 uses map 1, rank 2 map 2" }, "OneMapInEachPass"},
		{"no stream served", func(h *History) {
			for i := range h.Requests {
				if h.Requests[i].Kind == Stream {
					h.Requests[i].Response, h.Requests[i].Sent = mimic.Response{Status: 502, Complete: true}, start
				}
			}
		}, "NobodyStarves"},
		{"requests not served after the faults", func(h *History) {
			for i := range h.Requests {
				h.Requests[i].Response = mimic.Response{Status: 502, Complete: true}
			}
		}, "ServedAgain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := passingHistory()
			c.violate(h)
			found := Check(h, DefaultBounds())
			assert.Assert(t, len(found) > 0, "no violation found")
			for _, v := range found {
				assert.Equal(t, v.Rule, c.rule, "%s", v.Detail)
			}
		})
	}
}

// TestEachFaultHasInjector checks that each kind of fault can be injected.
func TestEachFaultHasInjector(t *testing.T) {
	for _, fault := range faults {
		_, known := faultInjectors[fault]
		assert.Assert(t, known || slices.Contains(longFaults, fault), "%s", fault)
	}
}
