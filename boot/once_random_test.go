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

// reply is what a caller is told about one sending of a key.
type reply struct {
	outcome, body string
}

// fault brings about a fault, and undoes it after the time.
func (x *session) fault(ctx context.Context, rng *rand.Rand, lasting time.Duration) {
	entry := x.entries[rng.IntN(len(x.entries))].Status().Instance.ID
	switch rng.IntN(9) {
	case 0:
		x.log.LoseAnswers(1)
	case 1:
		x.log.LoseRequests(1)
	case 2:
		x.log.Hold(1)
		time.AfterFunc(lasting, x.log.Release)
	case 3:
		x.log.SetAway(true)
		time.AfterFunc(lasting, func() { x.log.SetAway(false) })
	case 4:
		x.log.SetReadLag(lasting)
		time.AfterFunc(lasting, func() { x.log.SetReadLag(0) })
	case 5:
		x.network.Cut(entry, "agent-3")
		time.AfterFunc(lasting, func() { x.network.Heal(entry, "agent-3") })
	case 6:
		x.network.Kill("agent-3")
		time.AfterFunc(lasting, func() { x.addAgent(ctx, "agent-3", "pickup-desk", x.desks[0]) })
	case 7:
		x.transport.Serve("agent-3", nil)
		time.AfterFunc(lasting, func() { x.transport.Serve("agent-3", x.desks[0]) })
	case 8:
		x.desks[0].SetLatency(lasting)
	}
}

func (x *session) attempt(rng *rand.Rand, key string, first bool) reply {
	request := httptest.NewRequest(http.MethodPost, bookings, strings.NewReader(fmt.Sprintf(`{"Mill":%q}`, key)))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Filberttrack-First-Send", fmt.Sprint(first))
	request.Header.Set("Filberttrack-Timeout", fmt.Sprintf("%dms", 200+rng.IntN(6000)))
	recorder := httptest.NewRecorder()
	x.entries[rng.IntN(len(x.entries))].Callers().ServeHTTP(recorder, request)
	answer := recorder.Result()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(x.t, err)
	return reply{outcome: answer.Header.Get("Filberttrack-Outcome"), body: string(body)}
}

func (x *session) booked(key string) int {
	count := 0
	for _, item := range x.desks[0].Bookings() {
		if string(item.Body) == fmt.Sprintf(`{"Mill":%q}`, key) {
			count++
		}
	}
	return count
}

// Whole entries and agents, with faults that begin in the middle of requests:
// each key is booked once at most, and callers are told the truth.
func TestRandomSessionsBookOnce(t *testing.T) {
	const seeds, requests, keys = 6, 25, 4
	seen := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			rng := rand.New(rand.NewPCG(seed, 0))
			x := newSession(ctx, t, 3)
			x.pass(settling)
			replies := map[string][]reply{}
			for range requests {
				key := fmt.Sprint("key-", rng.IntN(keys))
				if rng.IntN(2) == 0 {
					lasting := time.Duration(1+rng.IntN(5000)) * time.Millisecond
					begin := time.Duration(rng.IntN(1000)) * time.Millisecond
					chosen := rand.New(rand.NewPCG(rng.Uint64(), 0))
					time.AfterFunc(begin, func() { x.fault(ctx, chosen, lasting) })
				}
				r := x.attempt(rng, key, len(replies[key]) == 0)
				replies[key] = append(replies[key], r)
				seen[r.outcome]++
				if r.outcome == "NotRun" {
					assert.Check(t, x.booked(key) == 0, "seed %d: %s was booked and called NotRun", seed, key)
				}
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			x.pass(2 * time.Minute)
			for key, told := range replies {
				x.checkKey(seed, key, told)
			}
			cancel()
		})
	}
	t.Log(seen)
	for _, outcome := range []string{"Completed", "NotRun", "Unknown"} {
		assert.Check(t, seen[outcome] > 0, "no %s", outcome)
	}
}

func (x *session) checkKey(seed uint64, key string, told []reply) {
	count := x.booked(key)
	assert.Check(x.t, count <= 1, "seed %d: %s booked %d times", seed, key, count)
	answer, open := "", false
	for _, r := range told {
		open = open || r.outcome != "NotRun"
		if r.outcome != "Completed" {
			continue
		}
		assert.Check(x.t, count == 1, "seed %d: %s not booked", seed, key)
		assert.Check(x.t, answer == "" || answer == r.body, "seed %d: two answers for %s", seed, key)
		answer = r.body
	}
	assert.Check(x.t, open || count == 0, "seed %d: %s ran after NotRun", seed, key)
}
