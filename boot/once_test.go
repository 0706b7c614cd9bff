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
	bookings = "/services/pickup-desk/bookings"
	booking  = `{"Mill":"nine"}`
)

func (x *session) book(entry int, body, key string, header ...string) {
	x.send(entry, "POST", bookings, body, append([]string{"Idempotency-Key", key}, header...)...)
}

// A key runs once through whichever entry it comes, and the log's outages are
// told honestly.
func TestSessionAtMostOnce(t *testing.T) {
	play(t, "session-at-most-once", 2, func(_ context.Context, x *session) {
		x.book(0, booking, "friday")
		x.pass(time.Second)
		x.book(1, booking, "friday")
		x.book(1, `{"Mill":"ten"}`, "friday")
		x.log.LoseAnswers(1)
		x.book(1, booking, "saturday", "Filberttrack-First-Send", "true")
		x.log.SetAway(true)
		x.book(0, booking, "friday")
		x.book(0, booking, "sunday")
		x.book(0, booking, "monday", "Filberttrack-First-Send", "true")
		x.log.SetAway(false)
		x.book(1, booking, "sunday")
		x.send(0, "GET", bookings, "")
	})
}

// Entries learn new stamps as time passes, so that dispatches stay welcome.
func TestBookingAfterTheDispatchWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x := newSession(ctx, t, 1)
		x.pass(2 * ledger.Defaults().MaxDispatchAge)
		x.book(0, booking, "friday")
		assert.Assert(t, strings.Contains(x.transcript.String(), "< 201 Completed"), x.transcript.String())
	})
}

// The agent dies before an entry has heard the answer; nobody can tell what
// became of the booking, and it does not run again.
func TestSessionAnswerLost(t *testing.T) {
	play(t, "session-answer-lost", 2, func(ctx context.Context, x *session) {
		x.desks[0].SetLatency(time.Second)
		x.book(0, booking, "friday", "Filberttrack-Timeout", "500ms")
		x.network.Kill("agent-3")
		x.book(1, booking, "friday")
		x.addAgent(ctx, "agent-3", "pickup-desk", x.desks[0])
		x.pass(2 * time.Second)
		x.book(1, booking, "friday")
		x.book(0, booking, "saturday")
		x.send(0, "GET", bookings, "")
	})
}

// The agent dies after the booking; the log has the answer.
func TestSessionAgentRestarted(t *testing.T) {
	play(t, "session-agent-restarted", 2, func(ctx context.Context, x *session) {
		x.book(0, booking, "friday")
		x.network.Kill("agent-3")
		x.pass(time.Second)
		x.book(1, booking, "friday")
		x.addAgent(ctx, "agent-3", "pickup-desk", x.desks[0])
		x.pass(2 * time.Second)
		x.book(1, booking, "friday")
		x.book(0, booking, "saturday")
		x.send(0, "GET", bookings, "")
	})
}

// The caller gives up while the service still books; its retry gets the answer
// to the first request.
func TestSessionCallerGaveUp(t *testing.T) {
	play(t, "session-caller-gave-up", 2, func(_ context.Context, x *session) {
		x.desks[0].SetLatency(3 * time.Second)
		x.book(0, booking, "friday", "Filberttrack-Timeout", "500ms")
		x.book(1, booking, "friday", "Filberttrack-Timeout", "10s")
		x.send(0, "GET", bookings, "", "Filberttrack-Timeout", "10s")
	})
}

// An entry that refuses a retry before it has looked at the key does not know
// whether the work ran.
func TestSessionRetryAtStoppingEntry(t *testing.T) {
	play(t, "session-retry-at-stopping-entry", 2, func(ctx context.Context, x *session) {
		x.book(0, booking, "friday")
		stops := make(chan struct{}, 1)
		stops <- struct{}{}
		assert.NilError(x.t, x.entries[1].Drain(ctx, drain.Timeouts{MaxDuration: time.Minute}, stops))
		x.book(1, booking, "friday")
		x.book(1, booking, "saturday", "Filberttrack-First-Send", "true")
	})
}

// A replica dies in the middle of a streamed generation; another goes on from
// the text that the caller has.
func TestSessionResume(t *testing.T) {
	play(t, "session-resume", 1, func(_ context.Context, x *session) {
		streamed := strings.Replace(generation, "{", `{"stream":true,"stream_options":{"include_usage":true},"max_tokens":9,`, 1)
		x.send(0, "POST", "/v1/chat/completions", streamed)
		crashed := time.AfterFunc(45*time.Millisecond, func() {
			for _, e := range x.engines {
				if e.Running() > 0 {
					e.Crash()
					// The other engine runs the rest from this instant on.
					return
				}
			}
		})
		defer crashed.Stop()
		x.send(0, "POST", "/v1/chat/completions", streamed)
	})
}
