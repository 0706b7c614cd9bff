package claims_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
)

// sendRequest sends a request with the key through an entry and returns the outcome,
// followed by the body of the answer or the kind of the error.
func (c *cluster) sendRequest(e *entry, id, key string, options ...func(*request)) string {
	r := &request{entry: e, key: key, body: "a", id: track.RequestID(id)}
	for _, option := range options {
		option(r)
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

// crashAfter cancels the context of the entry after the delay, which simulates a
// crash.
func crashAfter(e *entry, delay time.Duration) {
	e.cluster.pending.Go(func() {
		time.Sleep(delay)
		e.cancel()
	})
}

// crashAfterDispatch sends a request with the key "k" through an entry that crashes
// after the dispatch, so that only the agent knows the answer.
func (c *cluster) crashAfterDispatch(t *testing.T, e *entry) {
	c.agentCalls.planned = []callFault{replyLost}
	crashAfter(e, 40*time.Millisecond)
	assert.Equal(t, c.sendRequest(e, "r1", "k"), "Unknown timed out")
	time.Sleep(2 * time.Second)
}

// firstBooking is the result of the first request that the service runs.
const firstBooking = "Completed booking 1"

// withPause delays the entry between claim and dispatch.
func withPause(d time.Duration) func(*request) { return func(r *request) { r.pause = d } }

func withOtherBody(r *request) { r.body = "b" }

// Each scenario states how many requests the service must have run at its end.
func TestFailureScenarios(t *testing.T) {
	for name, test := range map[string]struct {
		runs  int
		steps func(t *testing.T, c *cluster, a, b *entry)
	}{
		"retry through another entry gets the answer": {1, func(t *testing.T, c *cluster, a, b *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"concurrent retries get one answer": {1, func(t *testing.T, c *cluster, a, b *entry) {
			for i, e := range []*entry{a, b, a, b, a, b} {
				c.pending.Go(func() { assert.Check(t, c.sendRequest(e, fmt.Sprint("r", i), "k") == firstBooking) })
			}
		}},
		"reply to an append lost": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.appends.planned = []callFault{replyLost}
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"claim appended after its entry crashed": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.appends.planned = []callFault{deliveredLate}
			crashAfter(a, 5*time.Millisecond)
			assert.Equal(t, c.sendRequest(a, "r1", "k"), "NotRun log unavailable")
			time.Sleep(3 * time.Minute)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"entry crashes after the claim": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.agentCalls.planned = []callFault{requestLost}
			crashAfter(a, 40*time.Millisecond)
			assert.Equal(t, c.sendRequest(a, "r1", "k"), "Unknown timed out")
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"entry crashes after the dispatch": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.agentCalls.planned = []callFault{replyLost}
			crashAfter(a, 40*time.Millisecond)
			assert.Equal(t, c.sendRequest(a, "r1", "k"), "Unknown timed out")
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"refused dispatch goes to another agent": {1, func(t *testing.T, c *cluster, a, _ *entry) {
			c.agentCalls.planned = []callFault{callRefused}
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
		}},
		"every agent refuses because it is full": {0, func(t *testing.T, c *cluster, a, b *entry) {
			for _, agent := range c.agents {
				agent.setRefusal(track.RefusedFull)
			}
			assert.Equal(t, c.sendRequest(a, "r1", "k"), "NotRun no backend server accepted the request")
			assert.Equal(t, c.sendRequest(b, "r2", "k"), "NotRun no backend server accepted the request")
		}},
		"agent gone after its answer was stored in the log": {1, func(t *testing.T, c *cluster, a, b *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			time.Sleep(time.Second)
			c.agents = nil
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r3", "k", withOtherBody), "NotRun key used with another body")
		}},
		"stored answer has an invalid head": {1, func(t *testing.T, c *cluster, a, b *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			time.Sleep(time.Second)
			c.withLock(func() {
				for i, r := range c.records {
					c.records[i].Data = bytes.Replace(r.Data, []byte(`"Status":200`), []byte(`"Status":600`), 1)
				}
			})
			fromAgent, err := (&request{entry: b, key: "k", body: "a", id: "r2"}).send()
			assert.NilError(t, err)
			assert.Equal(t, fromAgent.Frames[0].Status, 200)
			c.agents = nil
			assert.Equal(t, c.sendRequest(b, "r3", "k"), "Unknown agent unreachable")
		}},
		"agent restarted before it was asked for the answer": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.crashAfterDispatch(t, a)
			for _, agent := range c.agents {
				agent.restart()
			}
			assert.Equal(t, c.sendRequest(b, "r2", "k"), "Unknown agent lost the attempt")
			time.Sleep(time.Second)
			c.agents = nil
			assert.Equal(t, c.sendRequest(b, "r3", "k"), "Unknown agent lost the attempt")
		}},
		"agent restarted and its claim not closed": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.crashAfterDispatch(t, a)
			for _, agent := range c.agents {
				agent.restart()
			}
			time.Sleep(time.Second)
			b.log.cut.Store(true)
			c.pending.Go(func() {
				time.Sleep(c.settings.ClaimTimeout + time.Second)
				b.log.cut.Store(false)
			})
			assert.Equal(t, c.sendRequest(b, "r2", "k"), "Unknown agent lost the attempt")
		}},
		"agent gone before it was asked for the answer": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.crashAfterDispatch(t, a)
			c.agents = nil
			assert.Equal(t, c.sendRequest(b, "r2", "k"), "Unknown agent unreachable")
		}},
		"paused entry resumes after another ran the request": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.pending.Go(func() { assert.Check(t, c.sendRequest(a, "r1", "k", withPause(5*time.Second)) == firstBooking) })
			time.Sleep(time.Second)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"paused entry resumes after an hour": {0, func(t *testing.T, c *cluster, a, _ *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k", withPause(time.Hour)), "NotRun timed out")
		}},
		"log down": {2, func(t *testing.T, c *cluster, a, b *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			c.withLock(func() { c.logDown = true })
			assert.Equal(t, c.sendRequest(a, "r2", "k2"), "NotRun log unavailable")
			assert.Equal(t, c.sendRequest(b, "r3", "k2"), "Unknown log unavailable")
			assert.Equal(t, c.sendRequest(b, "r4", "k"), firstBooking)
			c.withLock(func() { c.logDown = false })
			assert.Equal(t, c.sendRequest(b, "r5", "k2"), "Completed booking 2")
		}},
		"zone cut off from the log": {3, func(t *testing.T, c *cluster, a, b *entry) {
			b.log.cut.Store(true)
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), "Unknown log unavailable")
			assert.Equal(t, c.sendRequest(b, "r3", "k2"), "NotRun log unavailable")
			assert.Equal(t, c.sendRequest(a, "r4", "k2"), "Completed booking 2")
			b.log.cut.Store(false)
			assert.Equal(t, c.sendRequest(b, "r5", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r6", "k3"), "Completed booking 3")
		}},
		"entry cut off from the log and its attempt barred by another": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.pending.Go(func() {
				assert.Check(t, c.sendRequest(a, "r1", "k", withPause(5*time.Second)) == "Unknown log unavailable")
			})
			time.Sleep(time.Second)
			a.log.cut.Store(true)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"records readable only after a delay": {1, func(t *testing.T, c *cluster, a, b *entry) {
			c.readLag = 2 * time.Second
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r2", "k"), firstBooking)
		}},
		"key used with another body": {1, func(t *testing.T, c *cluster, a, b *entry) {
			assert.Equal(t, c.sendRequest(a, "r1", "k"), firstBooking)
			assert.Equal(t, c.sendRequest(b, "r2", "k", withOtherBody), "NotRun key used with another body")
		}},
		"key older than the retention": {1, func(t *testing.T, c *cluster, a, b *entry) {
			key := uuidAt(time.Now(), 1)
			assert.Equal(t, c.sendRequest(a, "r1", key), firstBooking)
			time.Sleep(c.settings.KeyRetention + 2*c.settings.MaxKeyLead)
			assert.Equal(t, c.sendRequest(b, "r2", key), "Unknown key too old")
		}},
		"key with a timestamp in the future": {0, func(t *testing.T, c *cluster, a, _ *entry) {
			key := uuidAt(time.Now().Add(24*time.Hour), 1)
			assert.Equal(t, c.sendRequest(a, "r1", key), "NotRun key from the future")
		}},
		"new entry after records expired": {2, func(t *testing.T, c *cluster, a, _ *entry) {
			oldKey := uuidAt(time.Now(), 1)
			assert.Equal(t, c.sendRequest(a, "r1", oldKey), firstBooking)
			time.Sleep(5 * time.Minute)
			c.expireRecords(2 * time.Minute)
			newEntry := c.startEntry()
			c.entries = append(c.entries, newEntry)
			time.Sleep(c.settings.HeartbeatInterval)
			assert.Equal(t, c.sendRequest(newEntry, "r2", oldKey), "Unknown records expired")
			assert.Equal(t, c.sendRequest(newEntry, "r3", "opaque"), "NotRun records expired")
			assert.Equal(t, c.sendRequest(newEntry, "r4", uuidAt(time.Now(), 2)), "Completed booking 2")
			assert.Equal(t, c.sendRequest(a, "r5", oldKey), firstBooking)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, 2, 1)
				defer func() {
					c.shutdown()
					assert.Check(t, len(c.runs) == test.runs, "%v", c.runs)
				}()
				time.Sleep(time.Second)
				test.steps(t, c, c.entries[0], c.entries[1])
			})
		})
	}
}

func TestTimedKeysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 1, 1)
		c.settings.TimedKeysOnly = true
		c.entries = append(c.entries, c.startEntry())
		defer c.shutdown()
		assert.Equal(t, c.sendRequest(c.entries[0], "r1", "k"), "NotRun key is not a UUIDv7")
		assert.Equal(t, c.sendRequest(c.entries[0], "r2", uuidAt(time.Now(), 1)), firstBooking)
	})
}

// FuzzDecode checks that an index counts exactly the records that Decode rejects, and
// that a decoded record can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range []claims.Record{
		{Kind: claims.KindHeartbeat},
		{Kind: claims.KindClose, Close: &claims.Close{Key: claims.Key{Name: "k"}, Offset: 3, Reason: claims.ReasonBarred}},
		{Kind: claims.KindClose, Close: &claims.Close{
			Key: claims.Key{Name: "k"}, Reason: claims.ReasonFinished, Result: &claims.Result{Status: 201},
		}},
		{Kind: claims.KindClaim, Claim: &claims.Claim{
			Key: claims.Key{Name: "01890a5d-ac96-774b-bcce-b302099a8057"}, Agent: "a",
			Attempt: track.AttemptID{Request: "r", Number: 1},
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
		assert.Equal(t, err != nil, index.InvalidRecords() == 1)
		if err != nil {
			return
		}
		again, err := claims.Encode(r)
		assert.NilError(t, err)
		_, err = claims.Decode(again)
		assert.NilError(t, err)
	})
}
