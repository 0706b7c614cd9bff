package boot_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// bookingReply is the response to one request with an idempotency key.
type bookingReply struct {
	outcome, body string
}

// injectFault injects a random fault. Outages, cuts and lags end after the duration; an
// append is lost or delayed once; a latency of the desk stays until the next one is set.
func (sim *simulation) injectFault(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	entry := sim.entries[rng.IntN(len(sim.entries))].Status().Instance.ID
	switch rng.IntN(9) {
	case 0:
		sim.log.LoseResponses(1)
	case 1:
		sim.log.LoseRequests(1)
	case 2:
		sim.log.HoldAppends(1)
		time.AfterFunc(duration, sim.log.ReleaseAppends)
	case 3:
		sim.log.SetUnavailable(true)
		time.AfterFunc(duration, func() { sim.log.SetUnavailable(false) })
	case 4:
		sim.log.SetReadLag(duration)
		time.AfterFunc(duration, func() { sim.log.SetReadLag(0) })
	case 5:
		sim.network.Cut(entry, "agent-3")
		time.AfterFunc(duration, func() { sim.network.Heal(entry, "agent-3") })
	case 6:
		sim.network.Kill("agent-3")
		time.AfterFunc(duration, func() { sim.addAgent(ctx, "agent-3", "pickup-desk", sim.desks[0]) })
	case 7:
		sim.transport.Serve("agent-3", nil)
		time.AfterFunc(duration, func() { sim.transport.Serve("agent-3", sim.desks[0]) })
	case 8:
		sim.desks[0].SetLatency(duration)
	}
}

// sendBooking sends a booking to a random entry, with a random timeout.
func (sim *simulation) sendBooking(rng *rand.Rand, key string, first bool) bookingReply {
	request := httptest.NewRequest(http.MethodPost, bookingsPath, strings.NewReader(fmt.Sprintf(`{"Mill":%q}`, key)))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Filberttrack-First-Send", fmt.Sprint(first))
	request.Header.Set("Filberttrack-Timeout", fmt.Sprintf("%dms", 200+rng.IntN(6000)))
	recorder := httptest.NewRecorder()
	sim.entries[rng.IntN(len(sim.entries))].ClientHandler().ServeHTTP(recorder, request)
	answer := recorder.Result()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(sim.t, err)
	return bookingReply{outcome: answer.Header.Get("Filberttrack-Outcome"), body: string(body)}
}

// countBookings returns how often the request with the key was carried out.
func (sim *simulation) countBookings(key string) int {
	count := 0
	for _, item := range sim.desks[0].Bookings() {
		if string(item.Body) == fmt.Sprintf(`{"Mill":%q}`, key) {
			count++
		}
	}
	return count
}

// Runs complete entries and agents with random faults that begin in the middle of
// requests. Each idempotency key must be booked at most once, and the outcomes that
// clients are given must be true.
func TestRandomFaultsBookAtMostOnce(t *testing.T) {
	const seeds, requests, keys = 6, 25, 4
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			rng := rand.New(rand.NewPCG(seed, 0))
			sim := newSimulation(ctx, t, 3)
			sim.advance(startupTime)
			replies := map[string][]bookingReply{}
			for range requests {
				key := fmt.Sprint("key-", rng.IntN(keys))
				if rng.IntN(2) == 0 {
					duration := time.Duration(1+rng.IntN(5000)) * time.Millisecond
					delay := time.Duration(rng.IntN(1000)) * time.Millisecond
					faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
					time.AfterFunc(delay, func() { sim.injectFault(ctx, faultRNG, duration) })
				}
				r := sim.sendBooking(rng, key, len(replies[key]) == 0)
				replies[key] = append(replies[key], r)
				outcomes[r.outcome]++
				if r.outcome == "NotRun" {
					assert.Check(t, sim.countBookings(key) == 0, "seed %d: %s was booked although its outcome is NotRun", seed, key)
				}
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			sim.advance(2 * time.Minute)
			for key, keyReplies := range replies {
				sim.checkReplies(seed, key, keyReplies)
			}
			cancel()
		})
	}
	t.Log(outcomes)
	for _, outcome := range []string{"Completed", "NotRun", "Unknown"} {
		assert.Check(t, outcomes[outcome] > 0, "no request had the outcome %s", outcome)
	}
}

// checkReplies checks that the replies for a key agree with each other and with the
// number of bookings.
func (sim *simulation) checkReplies(seed uint64, key string, replies []bookingReply) {
	count := sim.countBookings(key)
	assert.Check(sim.t, count <= 1, "seed %d: %s booked %d times", seed, key, count)
	answer, mayHaveRun := "", false
	for _, r := range replies {
		mayHaveRun = mayHaveRun || r.outcome != "NotRun"
		if r.outcome != "Completed" {
			continue
		}
		assert.Check(sim.t, count == 1, "seed %d: %s was completed but not booked", seed, key)
		assert.Check(sim.t, answer == "" || answer == r.body, "seed %d: two different answers for %s", seed, key)
		answer = r.body
	}
	assert.Check(sim.t, mayHaveRun || count == 0, "seed %d: %s was booked although each outcome is NotRun", seed, key)
}
