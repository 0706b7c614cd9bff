package claims_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
)

// ask sends a request for the key through an entry and returns a short form of
// what the caller is told.
func (w *world) ask(e *entry, id, key string, change ...func(*request)) string {
	r := &request{entry: e, key: key, body: "a", id: track.RequestID(id)}
	for _, f := range change {
		f(r)
	}
	answer, err := r.send()
	if err == nil {
		return fmt.Sprintf("%s %s", answer.Outcome, answer.Frames[1].Data)
	}
	for kind := claims.Invalid; kind <= claims.TimedOut; kind++ {
		if track.IsKind(err, kind) {
			return fmt.Sprintf("%s %s", answer.Outcome, kind)
		}
	}
	return err.Error()
}

// crashing ends the entry after the time.
func crashing(e *entry, after time.Duration) {
	e.world.pending.Go(func() {
		time.Sleep(after)
		e.cancel()
	})
}

// dieAfterDispatch has the entry die after the work of key k was dispatched, so
// that only the agent knows the answer.
func (w *world) dieAfterDispatch(t *testing.T, e *entry) {
	w.calls.plan = []fate{answerLost}
	crashing(e, 40*time.Millisecond)
	assert.Equal(t, w.ask(e, "r1", "k"), "Unknown timed out")
	time.Sleep(2 * time.Second)
}

const booked = "Completed booking 1"

func paused(d time.Duration) func(*request) { return func(r *request) { r.pause = d } }

func otherBody(r *request) { r.body = "b" }

func TestScenarios(t *testing.T) {
	for name, test := range map[string]struct {
		runs int
		play func(t *testing.T, w *world, a, b *entry)
	}{
		"retry through another entry gets the answer": {1, func(t *testing.T, w *world, a, b *entry) {
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"concurrent retries get one answer": {1, func(t *testing.T, w *world, a, b *entry) {
			for i, e := range []*entry{a, b, a, b, a, b} {
				w.pending.Go(func() { assert.Check(t, w.ask(e, fmt.Sprint("r", i), "k") == booked) })
			}
		}},
		"answer of append lost": {1, func(t *testing.T, w *world, a, b *entry) {
			w.appends.plan = []fate{answerLost}
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"claim lands after its entry gave up": {1, func(t *testing.T, w *world, a, b *entry) {
			w.appends.plan = []fate{late}
			crashing(a, 5*time.Millisecond)
			assert.Equal(t, w.ask(a, "r1", "k"), "NotRun log unavailable")
			time.Sleep(3 * time.Minute)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"entry dead after claim": {1, func(t *testing.T, w *world, a, b *entry) {
			w.calls.plan = []fate{lost}
			crashing(a, 40*time.Millisecond)
			assert.Equal(t, w.ask(a, "r1", "k"), "Unknown timed out")
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"entry dead after dispatch": {1, func(t *testing.T, w *world, a, b *entry) {
			w.calls.plan = []fate{answerLost}
			crashing(a, 40*time.Millisecond)
			assert.Equal(t, w.ask(a, "r1", "k"), "Unknown timed out")
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"dispatch that never left goes elsewhere": {1, func(t *testing.T, w *world, a, _ *entry) {
			w.calls.plan = []fate{refused}
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
		}},
		"every agent full": {0, func(t *testing.T, w *world, a, b *entry) {
			for _, agent := range w.agents {
				agent.refuse(track.RefusedFull)
			}
			assert.Equal(t, w.ask(a, "r1", "k"), "NotRun no backend server took the work")
			assert.Equal(t, w.ask(b, "r2", "k"), "NotRun no backend server took the work")
		}},
		"agent restarted after the answer": {1, func(t *testing.T, w *world, a, b *entry) {
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			time.Sleep(time.Second)
			w.agents = nil
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
			assert.Equal(t, w.ask(b, "r3", "k", otherBody), "NotRun key used with another body")
		}},
		"agent restarted": {1, func(t *testing.T, w *world, a, b *entry) {
			w.dieAfterDispatch(t, a)
			for _, agent := range w.agents {
				agent.restart()
			}
			assert.Equal(t, w.ask(b, "r2", "k"), "Unknown agent lost the attempt")
			time.Sleep(time.Second)
			w.agents = nil
			assert.Equal(t, w.ask(b, "r3", "k"), "Unknown agent lost the attempt")
		}},
		"agent restarted and close not appended": {1, func(t *testing.T, w *world, a, b *entry) {
			w.dieAfterDispatch(t, a)
			for _, agent := range w.agents {
				agent.restart()
			}
			time.Sleep(time.Second)
			b.log.cut.Store(true)
			w.pending.Go(func() {
				time.Sleep(w.settings.ClaimTimeout + time.Second)
				b.log.cut.Store(false)
			})
			assert.Equal(t, w.ask(b, "r2", "k"), "Unknown agent lost the attempt")
		}},
		"agent gone": {1, func(t *testing.T, w *world, a, b *entry) {
			w.dieAfterDispatch(t, a)
			w.agents = nil
			assert.Equal(t, w.ask(b, "r2", "k"), "Unknown agent unreachable")
		}},
		"paused entry wakes after another ran the work": {1, func(t *testing.T, w *world, a, b *entry) {
			w.pending.Go(func() { assert.Check(t, w.ask(a, "r1", "k", paused(5*time.Second)) == booked) })
			time.Sleep(time.Second)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"paused entry wakes after an hour": {0, func(t *testing.T, w *world, a, _ *entry) {
			assert.Equal(t, w.ask(a, "r1", "k", paused(time.Hour)), "NotRun timed out")
		}},
		"log away": {2, func(t *testing.T, w *world, a, b *entry) {
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			w.locked(func() { w.away = true })
			assert.Equal(t, w.ask(a, "r2", "k2"), "NotRun log unavailable")
			assert.Equal(t, w.ask(b, "r3", "k2"), "Unknown log unavailable")
			assert.Equal(t, w.ask(b, "r4", "k"), booked)
			w.locked(func() { w.away = false })
			assert.Equal(t, w.ask(b, "r5", "k2"), "Completed booking 2")
		}},
		"zone cut off from the log": {3, func(t *testing.T, w *world, a, b *entry) {
			b.log.cut.Store(true)
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			assert.Equal(t, w.ask(b, "r2", "k"), "Unknown log unavailable")
			assert.Equal(t, w.ask(b, "r3", "k2"), "NotRun log unavailable")
			assert.Equal(t, w.ask(a, "r4", "k2"), "Completed booking 2")
			b.log.cut.Store(false)
			assert.Equal(t, w.ask(b, "r5", "k"), booked)
			assert.Equal(t, w.ask(b, "r6", "k3"), "Completed booking 3")
		}},
		"barred by another and cut off": {1, func(t *testing.T, w *world, a, b *entry) {
			w.pending.Go(func() { assert.Check(t, w.ask(a, "r1", "k", paused(5*time.Second)) == "Unknown log unavailable") })
			time.Sleep(time.Second)
			a.log.cut.Store(true)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"log slow": {1, func(t *testing.T, w *world, a, b *entry) {
			w.lag = 2 * time.Second
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			assert.Equal(t, w.ask(b, "r2", "k"), booked)
		}},
		"other body": {1, func(t *testing.T, w *world, a, b *entry) {
			assert.Equal(t, w.ask(a, "r1", "k"), booked)
			assert.Equal(t, w.ask(b, "r2", "k", otherBody), "NotRun key used with another body")
		}},
		"key of yesterday": {1, func(t *testing.T, w *world, a, b *entry) {
			key := uuidAt(time.Now(), 1)
			assert.Equal(t, w.ask(a, "r1", key), booked)
			time.Sleep(w.settings.KeyRetention + 2*w.settings.KeyLead)
			assert.Equal(t, w.ask(b, "r2", key), "Unknown key too old")
		}},
		"key of tomorrow": {0, func(t *testing.T, w *world, a, _ *entry) {
			key := uuidAt(time.Now().Add(24*time.Hour), 1)
			assert.Equal(t, w.ask(a, "r1", key), "NotRun key from the future")
		}},
		"records expired": {2, func(t *testing.T, w *world, a, _ *entry) {
			old := uuidAt(time.Now(), 1)
			assert.Equal(t, w.ask(a, "r1", old), booked)
			time.Sleep(5 * time.Minute)
			w.expire(2 * time.Minute)
			fresh := w.startEntry()
			w.entries = append(w.entries, fresh)
			time.Sleep(w.settings.MarkInterval)
			assert.Equal(t, w.ask(fresh, "r2", old), "Unknown records expired")
			assert.Equal(t, w.ask(fresh, "r3", "opaque"), "NotRun records expired")
			assert.Equal(t, w.ask(fresh, "r4", uuidAt(time.Now(), 2)), "Completed booking 2")
			assert.Equal(t, w.ask(a, "r5", old), booked)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, 2, 1)
				defer func() {
					w.end()
					assert.Check(t, len(w.runs) == test.runs, "%v", w.runs)
				}()
				time.Sleep(time.Second)
				test.play(t, w, w.entries[0], w.entries[1])
			})
		})
	}
}

func TestTimedKeysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0, 1, 1)
		w.settings.TimedKeysOnly = true
		w.entries = append(w.entries, w.startEntry())
		defer w.end()
		assert.Equal(t, w.ask(w.entries[0], "r1", "k"), "NotRun key is no UUIDv7")
		assert.Equal(t, w.ask(w.entries[0], "r2", uuidAt(time.Now(), 1)), booked)
	})
}

func FuzzDecode(f *testing.F) {
	for _, r := range []claims.Record{
		{Kind: claims.KindMark},
		{Kind: claims.KindClose, Close: &claims.Close{Key: claims.Key{Name: "k"}, Offset: 3, Reason: claims.Barred}},
		{Kind: claims.KindClose, Close: &claims.Close{Key: claims.Key{Name: "k"}, Reason: claims.Finished, Result: &claims.Result{Status: 201}}},
		{Kind: claims.KindClaim, Claim: &claims.Claim{
			Key: claims.Key{Name: "01890a5d-ac96-774b-bcce-b302099a8057"}, Agent: "a", Attempt: track.AttemptID{Request: "r", Number: 1},
		}},
	} {
		data, err := claims.Encode(r)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		index := claims.NewIndex(claims.Defaults())
		index.Apply(track.Page{Records: []track.Record{{Data: data}}, Next: 1}, time.Time{})
		r, err := claims.Decode(data)
		assert.Equal(t, err != nil, index.Invalid() == 1)
		if err != nil {
			return
		}
		again, err := claims.Encode(r)
		assert.NilError(t, err)
		_, err = claims.Decode(again)
		assert.NilError(t, err)
	})
}
