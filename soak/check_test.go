package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/platform/mimic"
)

var start = time.Unix(1000, 0)

// calm returns a history without a broken promise: calls, bookings and streams.
func calm() *History {
	h := &History{Left: map[string]time.Time{}, Revoked: map[string]time.Time{}, Faults: []Span{{From: start, To: start.Add(time.Second), Fault: Kill}}}
	for i := range 40 {
		id := func(kind string) string { return fmt.Sprintf("%s-%d", kind, i) }
		stream := mimic.Event(id("c"), 1) + mimic.Event(id("c"), 2)
		for _, o := range []Outcome{
			{Ask: mimic.Ask{ID: id("a"), Key: "k"}, Kind: Safe, Reply: mimic.Reply{Body: mimic.Body(id("a"), "i-1")}},
			{Ask: mimic.Ask{ID: id("b"), Key: "k"}, Kind: Unsafe, Reply: mimic.Reply{Body: mimic.Body(id("b"), "i-1")}},
			{Ask: mimic.Ask{ID: id("c"), Key: "k"}, Kind: Stream, Events: 2, Reply: mimic.Reply{Body: stream}},
		} {
			o.Sent, o.Ended = start.Add(20*time.Second), start.Add(21*time.Second)
			o.Reply.Status, o.Reply.Whole, o.Reply.Sealed = 200, true, "seal-i-1"
			h.Outcomes = append(h.Outcomes, o)
			h.Runs = append(h.Runs, mimic.Run{Request: o.Ask.ID, Replica: "i-1", At: o.Sent})
		}
	}
	return h
}

// TestEachCheckSeesItsFault breaks each promise in a history that keeps all others.
func TestEachCheckSeesItsFault(t *testing.T) {
	assert.Equal(t, len(Check(calm(), DefaultBounds())), 0, "%v", Check(calm(), DefaultBounds()))
	for _, c := range []struct {
		name  string
		spoil func(*History)
		rule  string
	}{
		{"a booking ran twice", func(h *History) { h.Runs = append(h.Runs, h.Runs[1]) }, "AtMostOnce"},
		{"told 503 and ran", func(h *History) {
			h.Outcomes[1].Reply = mimic.Reply{Status: 503, Whole: true, RetryAfter: true}
		}, "RefusalsAreTrue"},
		{"told 503 without a time", func(h *History) {
			h.Outcomes[0].Reply = mimic.Reply{Status: 503, Whole: true}
			h.Runs = h.Runs[1:]
		}, "RefusalsAreTrue"},
		{"another request's answer", func(h *History) { h.Outcomes[0].Reply.Body = mimic.Body("z-1", "i-1") }, "OwnWholeAnswer"},
		{"half an answer that looks whole", func(h *History) { h.Outcomes[0].Reply.Body = h.Outcomes[0].Reply.Body[:9] }, "OwnWholeAnswer"},
		{"another replica's seal", func(h *History) { h.Outcomes[0].Reply.Sealed = "seal-i-2" }, "OwnWholeAnswer"},
		{"an event is missing", func(h *History) { h.Outcomes[2].Reply.Body = mimic.Event("c-0", 2) }, "NoPieceLostOrDoubled"},
		{"an event came twice", func(h *History) { h.Outcomes[2].Reply.Body += mimic.Event("c-0", 2) }, "NoPieceLostOrDoubled"},
		{"a stream that looks complete", func(h *History) { h.Outcomes[2].Reply.Body = mimic.Event("c-0", 1) }, "NoPieceLostOrDoubled"},
		{"sent to a replica that left", func(h *History) { h.Left["i-1"] = start.Add(17 * time.Second) }, "LeavingReplicasGetNothing"},
		{"ran with a revoked key", func(h *History) {
			h.Outcomes[0].Ask.Key = "gone"
			h.Revoked["gone"] = start.Add(17 * time.Second)
		}, "RevokedKeysAreRefused"},
		{"the key was passed on", func(h *History) { h.Runs[0].Key = "Token k" }, "RevokedKeysAreRefused"},
		{"two maps in a pass", func(h *History) { h.Mixed = "pass 7: rank 0 uses map 1, rank 2 map 2" }, "OneMapInEachPass"},
		{"no stream was served", func(h *History) {
			for i := range h.Outcomes {
				if h.Outcomes[i].Kind == Stream {
					h.Outcomes[i].Reply, h.Outcomes[i].Sent = mimic.Reply{Status: 502, Whole: true}, start
				}
			}
		}, "NobodyStarves"},
		{"not served after the faults", func(h *History) {
			for i := range h.Outcomes {
				h.Outcomes[i].Reply = mimic.Reply{Status: 502, Whole: true}
			}
		}, "ServedAgain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := calm()
			c.spoil(h)
			found := Check(h, DefaultBounds())
			assert.Assert(t, len(found) > 0, "not noticed")
			for _, v := range found {
				assert.Equal(t, v.Rule, c.rule, "%s", v.Detail)
			}
		})
	}
}

// TestEachFaultCanBegin keeps the list of faults and what carries them out together.
func TestEachFaultCanBegin(t *testing.T) {
	for _, fault := range faults {
		_, known := begins[fault]
		assert.Assert(t, known || fault == ReplicaLeaves || fault == ReplicaDies, "%s", fault)
	}
}
