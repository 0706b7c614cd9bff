package batch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
)

// Guards against clients that get ahead of others by retrying at once, when an overload leaves many late requests in
// the queue.
func TestLateRequestsThatReturnWhenToldComeFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	got := map[track.RequestID]<-chan acquireResult{}
	for i, c := range []struct {
		name    track.RequestID
		age     time.Duration
		kind    batch.Return
		urgency int
	}{
		{"early", 2 * time.Second, batch.Early, 0},
		{"late first attempt", 2 * time.Second, batch.FirstAttempt, 0},
		{"booked", 2 * time.Second, batch.Booked, 0},
		{"urgent early", 2 * time.Second, batch.Early, 1},
		{"on time, early", 0, batch.Early, 0},
		{"on time, booked", 0, batch.Booked, 0},
	} {
		request := newAsk(clock, c.age)
		request.RequestID, request.Return, request.Priority = c.name, c.kind, -c.urgency
		got[c.name] = acquireAsync(t, p, request)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), i+1))
	}
	for i, name := range []track.RequestID{
		"urgent early", "on time, early", "on time, booked", "booked", "late first attempt", "early",
	} {
		grants[i].Done(batch.Result{Verdict: batch.Served})
		r := <-got[name]
		assert.NilError(t, r.err)
		r.grant.Started()
		grants = append(grants, r.grant)
	}
}
