package cold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/cold"
)

var spec = cold.Spec{StartTime: 3 * time.Second, PerSecond: 17, Overshoot: 1.5, Slack: 5}

var start = time.Unix(1_790_000_000, 0)

func isCold(g *cold.Guard, after time.Duration) bool {
	limit, possiblyCold := g.Limit(start.Add(after))
	return possiblyCold && limit == spec.PerSecond
}

// Guards against a cold period that ends before an entry can have learned that the replica has started, and against
// one that never ends.
func TestPeriodsOfAReplica(t *testing.T) {
	g := cold.New(spec, 1, time.Time{}, start)
	assert.Assert(t, isCold(g, 4999*time.Millisecond) && !isCold(g, 5*time.Second), "first sighting")
	g.Suspect(start.Add(time.Minute))
	g.Suspect(start.Add(50 * time.Second))
	assert.Assert(t, isCold(g, 64*time.Second) && !isCold(g, 65*time.Second), "an earlier suspicion doesn't shorten a later one")
	g.Update(0, 2, start.Add(2*time.Minute))
	assert.Assert(t, isCold(g, 124*time.Second) && !isCold(g, 125*time.Second), "another start")
	g.Update(time.Second, 2, start.Add(3*time.Minute))
	assert.Assert(t, isCold(g, 190*time.Second), "no record says that the replica is warm")
	assert.Assert(t, !isCold(g, 191*time.Second), "an outage of the log doesn't keep the replica cold")
	g.Update(time.Hour, 2, start.Add(4*time.Minute))
	g.Update(0, 2, start.Add(4*time.Minute))
	assert.Assert(t, !isCold(g, 4*time.Minute), "the record says that the replica is warm")
	assert.Assert(t, !isCold(cold.New(cold.Spec{StartTime: time.Second}, 1, time.Time{}, start), 0), "services without a rate")
}

// Guards against bounds that leave no room: the permits of a second and those that are kept must stay under the breach
// for any of them.
func TestPermitsOfASecondStayUnderTheBreach(t *testing.T) {
	for _, s := range []cold.Spec{
		spec,
		{PerSecond: 17, Overshoot: 1, Slack: 3},
		{PerSecond: 17, Overshoot: 0.5, Slack: 0},
		{PerSecond: 0.5, Overshoot: 2, Slack: 2},
		{PerSecond: 300, Overshoot: 1.2, Slack: 0},
		{PerSecond: 4, Overshoot: 1.5, Slack: 5},
	} {
		kept := s.Rate()*s.KeepTime(s.Rate()).Seconds() + 1
		assert.Assert(t, s.Rate() > 0 && s.Rate() <= s.PerSecond && s.Rate()+1+float64(int(kept)) <= s.Breach(), "%+v", s)
	}
	// Entries dispatch every 0.05 s, and must find each of their permits.
	assert.Assert(t, spec.KeepTime(17) > 150*time.Millisecond, "%s", spec.KeepTime(17))
}

// Guards against the loss of most requests after a restart of all entries, which see all replicas for the first time then, and
// against a replica with a wrong clock that counts as warm.
func TestReplicaThatStartedLongAgoIsWarm(t *testing.T) {
	for age, want := range map[time.Duration]bool{-time.Hour: true, 0: true, 9 * time.Second: true, 10 * time.Second: false} {
		_, isCold := cold.New(spec, 1, start.Add(-age), start).Limit(start)
		assert.Equal(t, isCold, want, "%v", age)
	}
}
