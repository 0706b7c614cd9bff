package boot_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/drain"
	"filberttrack.example/track/ledger"
)

const (
	bookingsPath = "/services/pickup-desk/bookings"
	booking      = `{"Mill":"nine"}`
)

// book sends a booking with an idempotency key to an entry.
func (sim *simulation) book(entry int, body, key string, header ...string) {
	sim.send(entry, "POST", bookingsPath, body, append([]string{"Idempotency-Key", key}, header...)...)
}

// A booking runs once per idempotency key, whichever entry receives it. During an
// outage of the log, responses must not claim more than the entry knows.
func TestBookingRunsAtMostOnce(t *testing.T) {
	checkTranscript(t, "session-at-most-once", 2, func(_ context.Context, sim *simulation) {
		sim.book(0, booking, "friday")
		sim.advance(time.Second)
		sim.book(1, booking, "friday")
		sim.book(1, `{"Mill":"ten"}`, "friday")
		sim.log.LoseResponses(1)
		sim.book(1, booking, "saturday", "Filberttrack-First-Send", "true")
		sim.log.SetUnavailable(true)
		sim.book(0, booking, "friday")
		sim.book(0, booking, "sunday")
		sim.book(0, booking, "monday", "Filberttrack-First-Send", "true")
		sim.log.SetUnavailable(false)
		sim.book(1, booking, "sunday")
		sim.send(0, "GET", bookingsPath, "")
	})
}

// Agents refuse dispatches with an old stamp. Entries must learn new stamps as time
// passes, so that agents still accept their dispatches.
func TestBookingAfterMaxDispatchAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sim := newSimulation(ctx, t, 1)
		sim.advance(2 * ledger.Defaults().MaxDispatchAge)
		sim.book(0, booking, "friday")
		assert.Assert(t, strings.Contains(sim.transcript.String(), "< 201 Completed"), sim.transcript.String())
	})
}

// The agent dies before an entry has received the answer. The outcome of the booking
// is then unknown, and it must not run again.
func TestBookingWhoseAnswerWasLost(t *testing.T) {
	checkTranscript(t, "session-answer-lost", 2, func(ctx context.Context, sim *simulation) {
		sim.desks[0].SetLatency(time.Second)
		sim.book(0, booking, "friday", "Filberttrack-Timeout", "500ms")
		sim.network.Kill("agent-3")
		sim.book(1, booking, "friday")
		sim.addAgent(ctx, "agent-3", "pickup-desk", sim.desks[0])
		sim.advance(2 * time.Second)
		sim.book(1, booking, "friday")
		sim.book(0, booking, "saturday")
		sim.send(0, "GET", bookingsPath, "")
	})
}

// The agent dies after the booking, and retries get the answer from the log.
func TestBookingAfterAgentRestart(t *testing.T) {
	checkTranscript(t, "session-agent-restarted", 2, func(ctx context.Context, sim *simulation) {
		sim.book(0, booking, "friday")
		sim.network.Kill("agent-3")
		sim.advance(time.Second)
		sim.book(1, booking, "friday")
		sim.addAgent(ctx, "agent-3", "pickup-desk", sim.desks[0])
		sim.advance(2 * time.Second)
		sim.book(1, booking, "friday")
		sim.book(0, booking, "saturday")
		sim.send(0, "GET", bookingsPath, "")
	})
}

// The client gives up while the service still handles the booking. Its retry must get
// the answer to the first request.
func TestBookingAfterClientTimeout(t *testing.T) {
	checkTranscript(t, "session-caller-gave-up", 2, func(_ context.Context, sim *simulation) {
		sim.desks[0].SetLatency(3 * time.Second)
		sim.book(0, booking, "friday", "Filberttrack-Timeout", "500ms")
		sim.book(1, booking, "friday", "Filberttrack-Timeout", "10s")
		sim.send(0, "GET", bookingsPath, "", "Filberttrack-Timeout", "10s")
	})
}

// A stopping entry refuses a retry before it has looked up the key, so it must not
// claim that the booking did not run.
func TestBookingRetryAtStoppingEntry(t *testing.T) {
	checkTranscript(t, "session-retry-at-stopping-entry", 2, func(ctx context.Context, sim *simulation) {
		sim.book(0, booking, "friday")
		stops := make(chan struct{}, 1)
		stops <- struct{}{}
		assert.NilError(sim.t, sim.entries[1].Drain(ctx, drain.Timeouts{MaxDuration: time.Minute}, stops))
		sim.book(1, booking, "friday")
		sim.book(1, booking, "saturday", "Filberttrack-First-Send", "true")
	})
}

// A replica crashes in the middle of a streamed generation. Another must continue from
// the text that the client already has.
func TestGenerationResumesAfterCrash(t *testing.T) {
	checkTranscript(t, "session-resume", 1, func(_ context.Context, sim *simulation) {
		streaming := strings.Replace(generation, "{", `{"stream":true,"stream_options":{"include_usage":true},"max_tokens":9,`, 1)
		sim.send(0, "POST", "/v1/chat/completions", streaming)
		crash := time.AfterFunc(45*time.Millisecond, func() {
			for _, e := range sim.engines {
				if e.Running() > 0 {
					e.Crash()
					// From now on the other engine runs the request, and must not crash.
					return
				}
			}
		})
		defer crash.Stop()
		sim.send(0, "POST", "/v1/chat/completions", streaming)
	})
}
