package claims_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
)

// requestResult is a request and what the entry answered to its client.
type requestResult struct {
	request *request
	start   time.Time
	end     time.Time
	answer  claims.Answer
	err     error
}

// uuidAt returns a UUIDv7 with the given creation time and n in its last digits.
func uuidAt(at time.Time, n int) string {
	millis := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", millis[:8], millis[8:], n)
}

// eventCounts counts events that the random scenarios must produce. Without them,
// the properties would hold trivially.
type eventCounts map[string]int

// withoutDeadline hides the Deadline method of a test, which must not be called in a
// synctest bubble.
type withoutDeadline struct{ testing.TB }

// While processes crash and pause, links are cut and messages arrive late or twice,
// each key must run at most once, the outcome NotRun must be true, and all requests
// with a key must get the same answer.
func TestAtMostOnceUnderFaults(t *testing.T) {
	counts := eventCounts{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(rt *rapid.T) { runRandomScenario(rt, counts) })
	})
	t.Log(counts)
	for _, event := range []string{"Completed", "NotRun", "Unknown", "replayed", "second claim", "Lost"} {
		assert.Check(t, counts[event] > 0, "the scenarios produced no %s", event)
	}
}

// runRandomScenario sends requests with three keys and injects faults between them.
func runRandomScenario(rt *rapid.T, counts eventCounts) {
	c := newCluster(rt, 3, 2, rapid.Uint64().Draw(rt, "seed"))
	c.agentCalls.rate = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "agent call faults")
	c.appends.rate = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "append faults")
	pauseProbability := rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "pauses")
	keys := []string{"opaque", uuidAt(time.Now(), 1), uuidAt(time.Now(), 2)}
	results := make(chan requestResult, 1000)
	for step := range rapid.IntRange(5, 25).Draw(rt, "steps") {
		switch op := rapid.IntRange(0, 19).Draw(rt, "step"); {
		case op < 11:
			r := &request{
				entry: c.entries[rapid.IntRange(0, 2).Draw(rt, "entry")], key: rapid.SampledFrom(keys).Draw(rt, "key"),
				body: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(rt, "body"),
				id:   track.RequestID(fmt.Sprint("r", step)), pauseProbability: pauseProbability,
			}
			if strings.Contains(r.key, "opaque") && step > 15 {
				continue
			}
			c.pending.Go(func() {
				start := time.Now()
				answer, err := r.send()
				results <- requestResult{r, start, time.Now(), answer, err}
			})
		case op < 13:
			i := rapid.IntRange(0, 2).Draw(rt, "entry")
			c.entries[i].stop()
			c.entries[i] = c.startEntry()
		case op < 14:
			c.agents[rapid.IntRange(0, 1).Draw(rt, "agent")].restart()
		case op == 19:
			c.agents[rapid.IntRange(0, 1).Draw(rt, "agent")].setRefusal(
				rapid.SampledFrom([]track.Refusal{"", track.RefusedFull}).Draw(rt, "refusal"))
		case op < 15:
			c.withLock(func() { c.logDown = !c.logDown })
		case op < 16:
			log := c.entries[rapid.IntRange(0, 2).Draw(rt, "entry")].log
			log.cut.Store(!log.cut.Load())
		case op < 17:
			c.withLock(func() { c.readLag = time.Second - c.readLag })
		case op < 18 && step > 15:
			c.expireRecords(time.Duration(rapid.IntRange(0, 12).Draw(rt, "age")) * time.Minute)
		}
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 700, 3000, 30000}).Draw(rt, "wait")) * time.Millisecond)
	}
	c.withLock(func() { c.logDown = false })
	c.shutdown()
	close(results)
	var all []requestResult
	for r := range results {
		all = append(all, r)
	}
	checkProperties(rt, c, all, counts)
}

// checkProperties compares the results of all requests with what the service ran.
func checkProperties(rt *rapid.T, c *cluster, all []requestResult, counts eventCounts) {
	runs := map[string][]run{}
	for _, r := range c.runs {
		runs[r.key] = append(runs[r.key], r)
	}
	for key, keyRuns := range runs {
		assert.Check(rt, len(keyRuns) <= 1, "key %s ran %d times: %v", key, len(keyRuns), keyRuns)
		if keyRuns[0].attempt.Number > 1 {
			counts["second claim"]++
		}
	}
	answers := map[string]string{}
	for _, result := range all {
		counts[result.answer.Outcome.String()]++
		if result.err != nil && track.IsKind(result.err, claims.AttemptLost) {
			counts["Lost"]++
		}
		if result.answer.Replayed {
			counts["replayed"]++
		}
		switch result.answer.Outcome {
		case track.Completed:
			body := string(result.answer.Frames[1].Data)
			assert.Check(rt, answers[result.request.key] == "" || answers[result.request.key] == body,
				"different answers for key %s", result.request.key)
			answers[result.request.key] = body
			assert.Check(rt, len(runs[result.request.key]) == 1, "completed, but the service did not run the request")
			assert.Check(rt, runs[result.request.key][0].body == result.request.body, "answer to another body")
		case track.NotRun:
			checkNotRun(rt, result, all, runs[result.request.key])
		}
	}
}

// checkNotRun checks that the service never ran a request with the outcome NotRun,
// nor, with the same key and body, an earlier request that ran and ended before this
// one started.
func checkNotRun(rt *rapid.T, result requestResult, all []requestResult, runs []run) {
	for _, r := range runs {
		assert.Check(rt, r.attempt.Request != result.request.id, "NotRun, but %v ran", r.attempt)
		for _, earlier := range all {
			ranBefore := earlier.request.id == r.attempt.Request &&
				earlier.end.Before(result.start) && r.at.Before(result.start)
			assert.Check(rt, !ranBefore || r.body != result.request.body, "NotRun, but %v had run before", r.attempt)
		}
	}
}
