package crash_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
)

func TestMain(m *testing.M) {
	os.Args = append(os.Args, "-rapid.seed=4", "-rapid.checks=150")
	os.Exit(m.Run())
}

// fakeGossip connects trackers. It holds published digests back until deliver is called.
type fakeGossip struct {
	handlers []func(track.Notice)
	pending  []track.Notice
}

func (g *fakeGossip) Publish(d track.Notice) {
	d.Data = bytes.Clone(d.Data)
	g.pending = append(g.pending, d)
}

func (*fakeGossip) Summarize(track.Topic, func() []byte) {}

func (g *fakeGossip) Subscribe(_ track.Topic, handle func(track.Notice)) {
	g.handlers = append(g.handlers, handle)
}

// deliver passes the pending digests to all trackers, the publisher included.
func (g *fakeGossip) deliver() {
	pending := g.pending
	g.pending = nil
	for _, d := range pending {
		for _, handle := range g.handlers {
			handle(d)
		}
	}
}

const maxRecords = 200

func testPolicy() crash.Policy {
	p := crash.DefaultPolicy()
	p.MaxRecords = maxRecords
	return p
}

func newZone(n int) ([]*crash.Tracker, *fakeGossip, *clockwork.FakeClock) {
	clock, gossip := clockwork.NewFakeClock(), &fakeGossip{}
	trackers := make([]*crash.Tracker, n)
	for i := range trackers {
		id := track.InstanceID(fmt.Sprintf("entry-%d", i))
		trackers[i] = crash.New(clock, testPolicy(), id, gossip, zap.NewNop(), metrics.NewSet())
	}
	return trackers, gossip, clock
}

const culprit, innocent = 13, 7

// quarantine has a fingerprint crash a shared run and then an isolated one.
func quarantine(t *crash.Tracker, fingerprint uint64) {
	t.Begin(fingerprint)
	t.Finish(fingerprint, crash.RunResult{Crashed: true})
	t.Begin(fingerprint)
	t.Finish(fingerprint, crash.RunResult{Crashed: true, Isolated: true})
}

func TestIsolatedCrashQuarantinesInAllEntries(t *testing.T) {
	entries, gossip, clock := newZone(3)
	assert.Equal(t, entries[0].Begin(culprit), crash.Decision{})
	assert.Equal(t, entries[0].Finish(culprit, crash.RunResult{Crashed: true}), crash.Suspect)
	gossip.deliver()
	assert.Equal(t, entries[1].Begin(culprit), crash.Decision{Standing: crash.Suspect})
	assert.Equal(t, entries[1].Finish(culprit, crash.RunResult{Crashed: true, Isolated: true}), crash.Quarantined)
	gossip.deliver()
	for _, entry := range entries {
		v := entry.Begin(culprit)
		assert.Assert(t, v.Refused)
		assert.Equal(t, v.RetryAfter, crash.DefaultPolicy().QuarantineFor)
	}
	clock.Advance(crash.DefaultPolicy().QuarantineFor)
	for _, entry := range entries {
		assert.Assert(t, !entry.Begin(culprit).Refused, "the quarantine must expire")
	}
}

func TestSuspectRunsOnceAtATime(t *testing.T) {
	entries, _, _ := newZone(1)
	entries[0].Begin(culprit)
	entries[0].Finish(culprit, crash.RunResult{Crashed: true})
	assert.Assert(t, !entries[0].Begin(culprit).Refused)
	duplicate := entries[0].Begin(culprit)
	assert.Assert(t, duplicate.Refused)
	assert.Assert(t, duplicate.RetryAfter > 0 && duplicate.RetryAfter < time.Minute)
	entries[0].Finish(culprit, crash.RunResult{Completed: true, Isolated: true})
	<-duplicate.RunEnded
	assert.Equal(t, entries[0].Begin(culprit), crash.Decision{})
}

func TestSharedCrashDoesNotQuarantine(t *testing.T) {
	entries, _, _ := newZone(1)
	for range 5 {
		entries[0].Begin(innocent)
		assert.Equal(t, entries[0].Finish(innocent, crash.RunResult{Crashed: true}), crash.Suspect)
	}
}

func TestIsolatedCompletionClearsSuspect(t *testing.T) {
	entries, gossip, _ := newZone(2)
	entries[0].Begin(innocent)
	entries[0].Finish(innocent, crash.RunResult{Crashed: true})
	old := gossip.pending
	gossip.deliver()
	entries[1].Begin(innocent)
	assert.Equal(t, entries[1].Finish(innocent, crash.RunResult{Completed: true, Isolated: true}), crash.Clear)
	gossip.pending = append(gossip.pending, old...)
	gossip.deliver()
	for _, entry := range entries {
		assert.Equal(t, entry.Begin(innocent), crash.Decision{}, "an old digest must not bring the suspicion back")
	}
}

func TestReleaseEndsQuarantineInAllEntries(t *testing.T) {
	entries, gossip, _ := newZone(2)
	quarantine(entries[0], culprit)
	gossip.deliver()
	assert.Equal(t, len(entries[1].List()), 1)
	assert.Assert(t, entries[1].Release(culprit))
	assert.Assert(t, !entries[1].Release(culprit))
	entries[0].Publish()
	gossip.deliver()
	for _, entry := range entries {
		assert.Assert(t, !entry.Begin(culprit).Refused)
		assert.Equal(t, len(entry.List()), 0)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	entries, gossip, _ := newZone(1)
	quarantine(entries[0], culprit)
	for f := range uint64(2 * maxRecords) {
		entries[0].Begin(1000 + f)
		entries[0].Finish(1000+f, crash.RunResult{Crashed: true})
		gossip.pending = nil
	}
	assert.Equal(t, len(entries[0].List()), maxRecords)
	assert.Assert(t, entries[0].Begin(culprit).Refused, "suspects must not evict quarantined fingerprints")
	entries[0].Publish()
	assert.Assert(t, len(gossip.pending[0].Data) <= 64*24)
}

// TestOnlyCulpritIsQuarantined runs one request that crashes replicas among others that
// don't, through random entries, replicas and interleavings. Each crash is attributed to
// all requests in flight on the replica.
func TestOnlyCulpritIsQuarantined(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, gossip, _ := newZone(3)
		type run struct {
			fingerprint uint64
			entry       *crash.Tracker
			isolated    bool
		}
		replicas := make([][]run, 6)
		crashes := 0
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			replica := rapid.IntRange(0, len(replicas)-1).Draw(rt, "replica")
			fingerprint := rapid.Uint64Range(1, culprit).Draw(rt, "fingerprint")
			entry := rapid.SampledFrom(entries).Draw(rt, "entry")
			gossip.deliver()
			if rapid.Bool().Draw(rt, "finish") {
				for _, r := range replicas[replica] {
					if r.fingerprint == culprit {
						crashes++
						for _, victim := range replicas[replica] {
							victim.entry.Finish(victim.fingerprint, crash.RunResult{Crashed: true, Isolated: victim.isolated})
						}
						replicas[replica] = nil
						break
					}
				}
				for _, r := range replicas[replica] {
					r.entry.Finish(r.fingerprint, crash.RunResult{Completed: true, Isolated: r.isolated})
				}
				replicas[replica] = nil
				continue
			}
			if fingerprint == culprit && isRunning(replicas, culprit, func(r run) uint64 { return r.fingerprint }) {
				continue
			}
			v := entry.Begin(fingerprint)
			if v.Refused {
				if v.Standing == crash.Quarantined {
					assert.Equal(rt, fingerprint, uint64(culprit), "innocent request %d was quarantined", fingerprint)
				}
				continue
			}
			target := replica
			if v.Standing == crash.Suspect {
				target = -1
				for i := range replicas {
					if len(replicas[i]) == 0 {
						target = i
					}
				}
				if target < 0 {
					entry.Finish(fingerprint, crash.RunResult{})
					continue
				}
			}
			replicas[target] = append(replicas[target], run{fingerprint, entry, v.Standing == crash.Suspect})
		}
		assert.Assert(rt, crashes <= 2, "%d crashes", crashes)
	})
}

func isRunning[T any](replicas [][]T, fingerprint uint64, fingerprintOf func(T) uint64) bool {
	for _, replica := range replicas {
		for _, r := range replica {
			if fingerprintOf(r) == fingerprint {
				return true
			}
		}
	}
	return false
}

// TestMergeIgnoresOrderAndDuplicates delivers each digest twice, in any order.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, gossip, _ := newZone(1)
		for range rapid.IntRange(1, 8).Draw(rt, "events") {
			entries[0].Begin(culprit)
			entries[0].Finish(culprit, crash.RunResult{
				Crashed: rapid.Bool().Draw(rt, "crashed"), Completed: true, Isolated: rapid.Bool().Draw(rt, "isolated"),
			})
		}
		if rapid.Bool().Draw(rt, "release") {
			entries[0].Release(culprit)
		}
		other, late, _ := newZone(1)
		order := rapid.Permutation(append(gossip.pending, gossip.pending...)).Draw(rt, "order")
		for _, d := range order {
			late.handlers[0](d)
		}
		if len(order) > 0 {
			assert.DeepEqual(rt, other[0].List(), entries[0].List())
		}
	})
}

func FuzzDigest(f *testing.F) {
	f.Add([]byte("short"))
	f.Add(make([]byte, 24))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, gossip, _ := newZone(1)
		gossip.handlers[0](track.Notice{Data: data})
		for _, e := range entries[0].List() {
			assert.Assert(t, e.Remaining > 0 && e.Remaining <= crash.DefaultPolicy().QuarantineFor)
		}
	})
}

func ExampleTracker() {
	clock := clockwork.NewFakeClock()
	tracker := crash.New(clock, crash.DefaultPolicy(), "entry-1", &fakeGossip{}, zap.NewNop(), metrics.NewSet())
	tracker.Begin(culprit)
	fmt.Println(tracker.Finish(culprit, crash.RunResult{Crashed: true}))
	fmt.Println(tracker.Begin(culprit).Standing)
	fmt.Println(tracker.Finish(culprit, crash.RunResult{Crashed: true, Isolated: true}))
	fmt.Println(tracker.Begin(culprit).Refused)
	// Output:
	// Suspect
	// Suspect
	// Quarantined
	// true
}
