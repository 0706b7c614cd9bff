package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/parts"
)

var crasher = blame.FingerprintOf([]byte("POST"), []byte("/notes/1"))

// fixture is a Tracker with a fake clock, and the list of replicas that the Tracker is given.
type fixture struct {
	clock    *clockwork.FakeClock
	tracker  *blame.Tracker
	replicas []track.Replica
}

func newFixture(replicas int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.tracker = blame.New(f.clock, zap.NewNop(), metrics.NewSet(), parts.New(f.clock, zap.NewNop(), metrics.NewSet()))
	for i := range replicas {
		f.replicas = append(f.replicas, track.Replica{ID: track.ReplicaID(fmt.Sprint("llm-", i)), StartID: 1})
	}
	f.tracker.SetReplicas(f.replicas)
	return f
}

// attemptBroke has an attempt break off as soon as it was sent.
func (f *fixture) attemptBroke(request blame.Fingerprint, replica track.Replica) {
	f.tracker.AttemptBroke(blame.Attempt{Fingerprint: request, Replica: replica, SentAt: f.clock.Now()})
}

// restart restarts a replica and gives the Tracker the new list.
func (f *fixture) restart(i int) {
	f.replicas[i].StartID++
	f.tracker.SetReplicas(f.replicas)
}

func TestBarredAfterThreeDeaths(t *testing.T) {
	f := newFixture(4)
	for i := range 3 {
		assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0), "after %d deaths", i)
		f.attemptBroke(crasher, f.replicas[i])
		f.clock.Advance(time.Second)
		f.restart(i)
	}
	assert.Equal(t, f.tracker.BarredFor(crasher), 10*time.Minute)
	assert.Equal(t, f.tracker.BarredFor(blame.FingerprintOf([]byte("GET"), []byte("/notes/1"))), time.Duration(0))
	f.clock.Advance(10 * time.Minute)
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0), "forgotten")
}

func TestBrokenAttemptWithoutDeathIsNotCharged(t *testing.T) {
	f := newFixture(8)
	for i := range 8 {
		f.attemptBroke(crasher, f.replicas[i])
		f.tracker.SetReplicas(f.replicas)
	}
	// Replicas that die long after the attempt die for another reason.
	f.clock.Advance(6 * time.Second)
	for i := range 8 {
		f.restart(i)
	}
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
}

func TestDeathListedBeforeAttemptBreaks(t *testing.T) {
	f := newFixture(3)
	for i := range 3 {
		old := f.replicas[i]
		f.restart(i)
		f.attemptBroke(crasher, old)
		f.attemptBroke(crasher, old)
	}
	assert.Assert(t, f.tracker.BarredFor(crasher) > 0)
}

// Guards against deaths that count only when the entry of the replica has lapsed.
func TestRefusedConnectionConfirmsDeath(t *testing.T) {
	f := newFixture(3)
	for i, r := range f.replicas {
		f.attemptBroke(crasher, r)
		f.tracker.ReplicaDied(r)
		assert.Equal(t, f.tracker.BarredFor(crasher) > 0, i == 2)
	}
	other := blame.FingerprintOf([]byte("GET"), []byte("/notes/1"))
	for _, r := range f.replicas {
		f.attemptBroke(other, r)
	}
	assert.Assert(t, f.tracker.BarredFor(other) > 0, "attempts that break later are charged, too")
}

// Guards against a replica that is held for dead although its address refused connections long ago.
func TestRefusalIsForgotten(t *testing.T) {
	f := newFixture(3)
	for _, r := range f.replicas {
		f.tracker.ReplicaDied(r)
	}
	f.clock.Advance(6 * time.Second)
	for _, r := range f.replicas {
		f.attemptBroke(crasher, r)
	}
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
}

// Guards against deaths that count only when the entry of the replica has lapsed, although another replica has
// taken its address.
func TestReplacementAtTheSameAddressConfirmsDeath(t *testing.T) {
	f := newFixture(3)
	for i := range 3 {
		f.replicas[i].Address = fmt.Sprint("10.0.0.", i, ":80")
		f.attemptBroke(crasher, f.replicas[i])
	}
	f.tracker.SetReplicas(f.replicas)
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
	for i := range 3 {
		f.replicas = append(f.replicas, track.Replica{
			ID: track.ReplicaID(fmt.Sprint("new-", i)), Address: f.replicas[i].Address, StartID: 2,
		})
	}
	f.tracker.SetReplicas(f.replicas)
	assert.Assert(t, f.tracker.BarredFor(crasher) > 0)
}

// Guards against messages that carry, for ten minutes after each crash, what all peers know.
func TestOnlyNewsAndBarredRequestsAreShared(t *testing.T) {
	f := newFixture(4)
	f.attemptBroke(crasher, f.replicas[0])
	f.restart(0)
	assert.Equal(t, len(f.tracker.ChargesToShare()), 1)
	f.clock.Advance(16 * time.Second)
	assert.Equal(t, len(f.tracker.ChargesToShare()), 0)
	for i := range 3 {
		f.attemptBroke(crasher, f.replicas[1+i])
		f.restart(1 + i)
	}
	f.clock.Advance(5 * time.Minute)
	assert.Equal(t, len(f.tracker.ChargesToShare()), 1, "a barred request, for entries that start")
	f.tracker.RequestCompleted(crasher)
	assert.Equal(t, len(f.tracker.ChargesToShare()), 1, "peers must learn that it is cleared")
	f.clock.Advance(16 * time.Second)
	assert.Equal(t, len(f.tracker.ChargesToShare()), 0)
}

func TestCompletionClearsRequest(t *testing.T) {
	f, other := newFixture(3), newFixture(3)
	for i := range 3 {
		f.attemptBroke(crasher, f.replicas[i])
		f.restart(i)
	}
	other.tracker.Merge(f.tracker.ChargesToShare())
	assert.Assert(t, other.tracker.BarredFor(crasher) > 0, "a peer must learn of the charge")
	f.tracker.RequestCompleted(crasher)
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
	f.tracker.Merge(other.tracker.ChargesToShare())
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0), "an older charge must not come back")
	other.tracker.Merge(f.tracker.ChargesToShare())
	assert.Equal(t, other.tracker.BarredFor(crasher), time.Duration(0), "the peer must learn that the request was cleared")
}

// TestDeathsAreCountedOnce has entries send each other the same deaths in any order, and
// checks that none of them counts a death twice.
func TestDeathsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []*fixture{newFixture(4), newFixture(4), newFixture(4)}
		died := map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"die": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "replica")
				if died[i] {
					t.Skip("died already")
				}
				died[i] = true
				for _, f := range peers {
					f.attemptBroke(crasher, f.replicas[i])
					f.restart(i)
				}
			},
			"tell": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				peers[to].tracker.Merge(peers[from].tracker.ChargesToShare())
			},
			"": func(t *rapid.T) {
				for _, f := range peers {
					assert.Equal(t, f.tracker.BarredFor(crasher) > 0, len(died) >= 3)
				}
			},
		})
	})
}

func Example() {
	clock := clockwork.NewFakeClock()
	tracker := blame.New(clock, zap.NewNop(), metrics.NewSet(), parts.New(clock, zap.NewNop(), metrics.NewSet()))
	request := blame.FingerprintOf([]byte("POST"), []byte("/draft"), []byte("body"))
	for i := range 3 {
		replica := track.Replica{ID: track.ReplicaID(fmt.Sprint("llm-", i)), StartID: 1}
		tracker.SetReplicas([]track.Replica{replica})
		tracker.AttemptBroke(blame.Attempt{Fingerprint: request, Replica: replica, SentAt: clock.Now()})
		tracker.SetReplicas(nil)
	}
	fmt.Println(tracker.BarredFor(request))
	// Output: 10m0s
}

// Guards against barring a sound request that many clients send, since some of its copies are in flight on each of
// several replicas that crash under another one.
func TestRequestThatIsServedMeanwhileIsNotBarred(t *testing.T) {
	f, other := newFixture(12), newFixture(12)
	for i := range 12 {
		if i%4 == 0 {
			f.tracker.RequestCompleted(crasher)
		}
		f.clock.Advance(time.Second)
		for _, x := range []*fixture{f, other} {
			x.attemptBroke(crasher, x.replicas[i])
			x.restart(i)
		}
		other.tracker.Merge(f.tracker.ChargesToShare())
		f.tracker.Merge(other.tracker.ChargesToShare())
		other.tracker.Merge(f.tracker.ChargesToShare())
		assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
		assert.Equal(t, other.tracker.BarredFor(crasher), time.Duration(0), "the peer learns that the request is served")
	}
}

// Guards against a request that is never barred since it was served some minutes ago.
func TestCompletionIsForgotten(t *testing.T) {
	f := newFixture(3)
	f.tracker.RequestCompleted(crasher)
	f.clock.Advance(2 * time.Minute)
	for i := range 3 {
		f.attemptBroke(crasher, f.replicas[i])
		f.restart(i)
	}
	assert.Assert(t, f.tracker.BarredFor(crasher) > 0)
}

// Guards against barring a sound request whose copies were in flight on three replicas that were lost at once.
func TestReplicasLostTogetherProveNothing(t *testing.T) {
	f := newFixture(6)
	sent := f.clock.Now()
	f.clock.Advance(time.Second)
	for i := range 6 {
		f.tracker.AttemptBroke(blame.Attempt{Fingerprint: crasher, Replica: f.replicas[i], SentAt: sent})
	}
	for i := range 6 {
		f.restart(i)
	}
	assert.Equal(t, f.tracker.BarredFor(crasher), time.Duration(0))
}
