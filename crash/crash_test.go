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

// bus is a gossip between trackers that holds digests back until told.
type bus struct {
	handlers []func(track.Notice)
	held     []track.Notice
}

func (b *bus) Publish(d track.Notice) {
	d.Data = bytes.Clone(d.Data)
	b.held = append(b.held, d)
}

func (*bus) Summarize(track.Topic, func() []byte) {}

func (b *bus) Subscribe(_ track.Topic, handle func(track.Notice)) {
	b.handlers = append(b.handlers, handle)
}

// deliver hands over what is held, to all.
func (b *bus) deliver() {
	held := b.held
	b.held = nil
	for _, d := range held {
		for _, handle := range b.handlers {
			handle(d)
		}
	}
}

const maxRecords = 200

func policy() crash.Policy {
	p := crash.DefaultPolicy()
	p.MaxRecords = maxRecords
	return p
}

func newZone(n int) ([]*crash.Tracker, *bus, *clockwork.FakeClock) {
	clock, b := clockwork.NewFakeClock(), &bus{}
	trackers := make([]*crash.Tracker, n)
	for i := range trackers {
		id := track.InstanceID(fmt.Sprintf("entry-%d", i))
		trackers[i] = crash.New(clock, policy(), id, b, zap.NewNop(), metrics.NewSet())
	}
	return trackers, b, clock
}

const culprit, innocent = 13, 7

// convict has a fingerprint crash a shared and then an isolated run.
func convict(t *crash.Tracker, fingerprint uint64) {
	t.Begin(fingerprint)
	t.End(fingerprint, crash.End{Crashed: true})
	t.Begin(fingerprint)
	t.End(fingerprint, crash.End{Crashed: true, Isolated: true})
}

func TestSecondCrashQuarantinesInAllEntries(t *testing.T) {
	entries, b, clock := newZone(3)
	assert.Equal(t, entries[0].Begin(culprit), crash.Verdict{})
	assert.Equal(t, entries[0].End(culprit, crash.End{Crashed: true}), crash.Suspect)
	b.deliver()
	assert.Equal(t, entries[1].Begin(culprit), crash.Verdict{Standing: crash.Suspect})
	assert.Equal(t, entries[1].End(culprit, crash.End{Crashed: true, Isolated: true}), crash.Quarantined)
	b.deliver()
	for _, entry := range entries {
		v := entry.Begin(culprit)
		assert.Assert(t, v.Barred)
		assert.Equal(t, v.RetryAfter, crash.DefaultPolicy().QuarantineFor)
	}
	clock.Advance(crash.DefaultPolicy().QuarantineFor)
	for _, entry := range entries {
		assert.Assert(t, !entry.Begin(culprit).Barred, "ends by time")
	}
}

func TestSuspectRunsOnceAtATime(t *testing.T) {
	entries, _, _ := newZone(1)
	entries[0].Begin(culprit)
	entries[0].End(culprit, crash.End{Crashed: true})
	assert.Assert(t, !entries[0].Begin(culprit).Barred)
	copied := entries[0].Begin(culprit)
	assert.Assert(t, copied.Barred)
	assert.Assert(t, copied.RetryAfter > 0 && copied.RetryAfter < time.Minute)
	entries[0].End(culprit, crash.End{Completed: true, Isolated: true})
	<-copied.Busy
	assert.Equal(t, entries[0].Begin(culprit), crash.Verdict{})
}

func TestCrowdedCrashDoesNotConvict(t *testing.T) {
	entries, _, _ := newZone(1)
	for range 5 {
		entries[0].Begin(innocent)
		assert.Equal(t, entries[0].End(innocent, crash.End{Crashed: true}), crash.Suspect)
	}
}

func TestCompletionClears(t *testing.T) {
	entries, b, _ := newZone(2)
	entries[0].Begin(innocent)
	entries[0].End(innocent, crash.End{Crashed: true})
	old := b.held
	b.deliver()
	entries[1].Begin(innocent)
	assert.Equal(t, entries[1].End(innocent, crash.End{Completed: true, Isolated: true}), crash.Clear)
	b.held = append(b.held, old...)
	b.deliver()
	for _, entry := range entries {
		assert.Equal(t, entry.Begin(innocent), crash.Verdict{}, "an old digest must not bring the charge back")
	}
}

func TestReleaseEndsQuarantineInAllEntries(t *testing.T) {
	entries, b, _ := newZone(2)
	convict(entries[0], culprit)
	b.deliver()
	assert.Equal(t, len(entries[1].List()), 1)
	assert.Assert(t, entries[1].Release(culprit))
	assert.Assert(t, !entries[1].Release(culprit))
	entries[0].Publish()
	b.deliver()
	for _, entry := range entries {
		assert.Assert(t, !entry.Begin(culprit).Barred)
		assert.Equal(t, len(entry.List()), 0)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	entries, b, _ := newZone(1)
	convict(entries[0], culprit)
	for f := range uint64(2 * maxRecords) {
		entries[0].Begin(1000 + f)
		entries[0].End(1000+f, crash.End{Crashed: true})
		b.held = nil
	}
	assert.Equal(t, len(entries[0].List()), maxRecords)
	assert.Assert(t, entries[0].Begin(culprit).Barred, "suspects must not push out the quarantined")
	entries[0].Publish()
	assert.Assert(t, len(b.held[0].Data) <= 64*24)
}

// TestOneCulpritAmongInnocents runs a culprit among innocents through random
// entries, replicas and interleavings. Each crash is charged to all that was in
// flight on the replica.
func TestOneCulpritAmongInnocents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, b, _ := newZone(3)
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
			b.deliver()
			if rapid.Bool().Draw(rt, "finish") {
				for _, r := range replicas[replica] {
					if r.fingerprint == culprit {
						crashes++
						for _, victim := range replicas[replica] {
							victim.entry.End(victim.fingerprint, crash.End{Crashed: true, Isolated: victim.isolated})
						}
						replicas[replica] = nil
						break
					}
				}
				for _, r := range replicas[replica] {
					r.entry.End(r.fingerprint, crash.End{Completed: true, Isolated: r.isolated})
				}
				replicas[replica] = nil
				continue
			}
			if fingerprint == culprit && runs(replicas, culprit, func(r run) uint64 { return r.fingerprint }) {
				continue
			}
			v := entry.Begin(fingerprint)
			if v.Barred {
				if v.Standing == crash.Quarantined {
					assert.Equal(rt, fingerprint, uint64(culprit), "innocent %d was barred", fingerprint)
				}
				continue
			}
			at := replica
			if v.Standing == crash.Suspect {
				at = -1
				for i := range replicas {
					if len(replicas[i]) == 0 {
						at = i
					}
				}
				if at < 0 {
					entry.End(fingerprint, crash.End{})
					continue
				}
			}
			replicas[at] = append(replicas[at], run{fingerprint, entry, v.Standing == crash.Suspect})
		}
		assert.Assert(rt, crashes <= 2, "%d crashes", crashes)
	})
}

func runs[T any](replicas [][]T, fingerprint uint64, of func(T) uint64) bool {
	for _, replica := range replicas {
		for _, r := range replica {
			if of(r) == fingerprint {
				return true
			}
		}
	}
	return false
}

// TestMergeOrder has digests arrive in any order, doubled.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, b, _ := newZone(1)
		for range rapid.IntRange(1, 8).Draw(rt, "events") {
			entries[0].Begin(culprit)
			entries[0].End(culprit, crash.End{
				Crashed: rapid.Bool().Draw(rt, "crashed"), Completed: true, Isolated: rapid.Bool().Draw(rt, "isolated"),
			})
		}
		if rapid.Bool().Draw(rt, "release") {
			entries[0].Release(culprit)
		}
		other, late, _ := newZone(1)
		order := rapid.Permutation(append(b.held, b.held...)).Draw(rt, "order")
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
		entries, b, _ := newZone(1)
		b.handlers[0](track.Notice{Data: data})
		for _, e := range entries[0].List() {
			assert.Assert(t, e.Left > 0 && e.Left <= crash.DefaultPolicy().QuarantineFor)
		}
	})
}

func ExampleTracker() {
	clock := clockwork.NewFakeClock()
	tracker := crash.New(clock, crash.DefaultPolicy(), "entry-1", &bus{}, zap.NewNop(), metrics.NewSet())
	tracker.Begin(culprit)
	fmt.Println(tracker.End(culprit, crash.End{Crashed: true}))
	fmt.Println(tracker.Begin(culprit).Standing)
	fmt.Println(tracker.End(culprit, crash.End{Crashed: true, Isolated: true}))
	fmt.Println(tracker.Begin(culprit).Barred)
	// Output:
	// Suspect
	// Suspect
	// Quarantined
	// true
}
