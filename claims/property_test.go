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

// told is what a caller was told about a request.
type told struct {
	request *request
	began   time.Time
	ended   time.Time
	answer  claims.Answer
	err     error
}

// uuidAt returns a UUIDv7 of the time.
func uuidAt(at time.Time, n int) string {
	millis := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", millis[:8], millis[8:], n)
}

// tally counts what the random scenarios brought about, to show that the
// properties are not true of nothing.
type tally map[string]int

// bubble hides the deadline of a test, which may not be read in a bubble.
type bubble struct{ testing.TB }

// Whatever crashes, pauses, is cut off, late or doubled: each key runs at most
// once, NotRun is true, and there is one answer.
func TestAtMostOnceUnderFaults(t *testing.T) {
	seen := tally{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) { scenario(rt, seen) })
	})
	t.Log(seen)
	for _, needed := range []string{"Completed", "NotRun", "Unknown", "replayed", "second claim", "Lost"} {
		assert.Check(t, seen[needed] > 0, "no %s", needed)
	}
}

func scenario(rt *rapid.T, seen tally) {
	w := newWorld(rt, 3, 2, rapid.Uint64().Draw(rt, "seed"))
	w.calls.share = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "lost calls")
	w.appends.share = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "lost appends")
	pauseShare := rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "pauses")
	keys := []string{"opaque", uuidAt(time.Now(), 1), uuidAt(time.Now(), 2)}
	results := make(chan told, 1000)
	for step := range rapid.IntRange(5, 25).Draw(rt, "steps") {
		switch op := rapid.IntRange(0, 19).Draw(rt, "step"); {
		case op < 11:
			r := &request{
				entry: w.entries[rapid.IntRange(0, 2).Draw(rt, "entry")], key: rapid.SampledFrom(keys).Draw(rt, "key"),
				body: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(rt, "body"),
				id:   track.RequestID(fmt.Sprint("r", step)), pauseShare: pauseShare,
			}
			if strings.Contains(r.key, "opaque") && step > 15 {
				continue
			}
			w.pending.Go(func() {
				began := time.Now()
				answer, err := r.send()
				results <- told{r, began, time.Now(), answer, err}
			})
		case op < 13:
			i := rapid.IntRange(0, 2).Draw(rt, "entry")
			w.entries[i].stop()
			w.entries[i] = w.startEntry()
		case op < 14:
			w.agents[rapid.IntRange(0, 1).Draw(rt, "agent")].restart()
		case op == 19:
			w.agents[rapid.IntRange(0, 1).Draw(rt, "agent")].refuse(
				rapid.SampledFrom([]track.Refusal{"", track.RefusedFull}).Draw(rt, "refusal"))
		case op < 15:
			w.locked(func() { w.away = !w.away })
		case op < 16:
			log := w.entries[rapid.IntRange(0, 2).Draw(rt, "entry")].log
			log.cut.Store(!log.cut.Load())
		case op < 17:
			w.locked(func() { w.lag = time.Second - w.lag })
		case op < 18 && step > 15:
			w.expire(time.Duration(rapid.IntRange(0, 12).Draw(rt, "age")) * time.Minute)
		}
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 700, 3000, 30000}).Draw(rt, "wait")) * time.Millisecond)
	}
	w.locked(func() { w.away = false })
	w.end()
	close(results)
	var all []told
	for r := range results {
		all = append(all, r)
	}
	check(rt, w, all, seen)
}

func check(rt *rapid.T, w *world, all []told, seen tally) {
	runs := map[string][]run{}
	for _, r := range w.runs {
		runs[r.key] = append(runs[r.key], r)
	}
	for key, of := range runs {
		assert.Check(rt, len(of) <= 1, "key %s ran %d times: %v", key, len(of), of)
		if of[0].attempt.Number > 1 {
			seen["second claim"]++
		}
	}
	answers := map[string]string{}
	for _, x := range all {
		seen[x.answer.Outcome.String()]++
		if x.err != nil && track.IsKind(x.err, claims.Lost) {
			seen["Lost"]++
		}
		if x.answer.Replayed {
			seen["replayed"]++
		}
		switch x.answer.Outcome {
		case track.Completed:
			text := string(x.answer.Frames[1].Data)
			assert.Check(rt, answers[x.request.key] == "" || answers[x.request.key] == text, "two answers for %s", x.request.key)
			answers[x.request.key] = text
			assert.Check(rt, len(runs[x.request.key]) == 1, "completed without a run")
			assert.Check(rt, runs[x.request.key][0].body == x.request.body, "answer to another body")
		case track.NotRun:
			checkNotRun(rt, x, all, runs[x.request.key])
		}
	}
}

// checkNotRun compares a NotRun with what the service ran: not this request,
// ever, and under its key and body no request that had ended before it began.
func checkNotRun(rt *rapid.T, x told, all []told, runs []run) {
	for _, r := range runs {
		assert.Check(rt, r.attempt.Request != x.request.id, "NotRun, but %v ran", r.attempt)
		for _, earlier := range all {
			before := earlier.request.id == r.attempt.Request && earlier.ended.Before(x.began) && r.at.Before(x.began)
			assert.Check(rt, !before || r.body != x.request.body, "NotRun, but %v had run", r.attempt)
		}
	}
}
