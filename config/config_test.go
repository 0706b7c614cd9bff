package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/tail"
)

// inForceTarget is the maximum time for a change to be in force on all instances,
// at the size of these tests.
const inForceTarget = 5 * time.Second

// withFleet runs a test with a fleet of running instances in a synctest bubble.
func withFleet(t *testing.T, entries, agents int, test func(ctx context.Context, t *testing.T, f *fleet)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(clockwork.NewRealClock(), 1)
		for range entries {
			f.start(ctx, f.add(track.RoleEntry))
		}
		for range agents {
			f.start(ctx, f.add(track.RoleAgent))
		}
		time.Sleep(10 * time.Second)
		test(ctx, t, f)
		cancel()
		for _, n := range f.live() {
			f.remove(n)
		}
	})
}

// awaitAll waits until the condition holds on all instances or the limit has
// passed, and returns the time that it took.
func awaitAll(f *fleet, limit time.Duration, holds func(*node) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		synctest.Wait()
		all := true
		for _, n := range f.live() {
			all = all && holds(n)
		}
		if all {
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	return time.Since(start)
}

func publish(ctx context.Context, t *testing.T, n *node, c change.Change) change.Decision {
	t.Helper()
	d, err := n.Publish(ctx, c)
	assert.NilError(t, err)
	return d
}

func TestChangeInForceEverywhere(t *testing.T) {
	withFleet(t, 9, 12, func(ctx context.Context, t *testing.T, f *fleet) {
		entry := f.live()[0]
		longest := time.Duration(0)
		for i := range 20 {
			replaces := uint64(i)
			started := time.Now()
			d := publish(ctx, t, entry, newChange(fmt.Sprint("c", i),
				profileEdit("lunch", time.Duration(i+1)*time.Second, replaces)))
			assert.Assert(t, d.Verdict.Accepted, d.Verdict.Detail)
			awaitAll(f, time.Minute, func(n *node) bool { return n.timeout("lunch") == time.Duration(i+1)*time.Second })
			longest = max(longest, time.Since(started))
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
		}
		t.Logf("seed 1: longest time until a change was in force on all instances: %s", longest)
		assert.Assert(t, longest <= inForceTarget)
	})
}

func TestLogUnavailableDuringPublish(t *testing.T) {
	withFleet(t, 9, 12, func(ctx context.Context, t *testing.T, f *fleet) {
		f.log.SetUnavailable(true)
		result := make(chan change.Decision, 1)
		go func() {
			d, err := f.live()[0].Publish(ctx, newChange("c1", profileEdit("lunch", time.Second, 0)))
			assert.Check(t, err)
			result <- d
		}()
		time.Sleep(testRetention / 2)
		status := f.live()[1].Status()
		assert.Assert(t, status.LogError != "" && status.Age > testRetention/2-5*time.Second, "%+v", status)
		assert.Equal(t, len(result), 0)
		f.log.SetUnavailable(false)
		took := awaitAll(f, time.Minute, func(n *node) bool { return n.timeout("lunch") == time.Second })
		t.Logf("seed 1: in force on all instances %s after the log became available", took)
		assert.Assert(t, took <= inForceTarget)
		assert.Assert(t, (<-result).Verdict.Accepted)
		assert.Equal(t, f.live()[1].Status().LogError, "")
	})
}

// Entries call names unknown only while they know that there is no newer configuration.
func TestConfigurationIsConfirmedWhileTheLogAnswers(t *testing.T) {
	withFleet(t, 9, 12, func(_ context.Context, t *testing.T, f *fleet) {
		confirmed := func(n *node) bool { return n.Directory().Confirmed() }
		awaitAll(f, time.Minute, confirmed)
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range f.live() {
				assert.Assert(t, confirmed(n), "%s", n.Status().Age)
			}
		}
		f.log.SetUnavailable(true)
		time.Sleep(inForceWithin + 5*time.Second)
		for _, n := range f.live() {
			assert.Assert(t, !confirmed(n), "%s", n.Status().Age)
		}
		f.log.SetUnavailable(false)
		assert.Assert(t, awaitAll(f, time.Minute, confirmed) <= inForceTarget)
	})
}

func TestPublishTimeoutReportsUnknown(t *testing.T) {
	withFleet(t, 1, 0, func(ctx context.Context, t *testing.T, f *fleet) {
		f.log.HoldAppends(100)
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		_, err := f.live()[0].Publish(shortCtx, newChange("c1", profileEdit("lunch", time.Second, 0)))
		assert.Assert(t, track.IsKind(err, Unknown), "%v", err)
		f.log.ReleaseAppends()
		d := publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Second, 0)))
		assert.Assert(t, d.Verdict.Accepted)
		assert.Equal(t, f.live()[0].Status().Seq, uint64(1))
	})
}

func TestRetriedAppendCountsOnce(t *testing.T) {
	for name, fault := range map[string]func(*fleet){
		"responses lost":       func(f *fleet) { f.log.LoseResponses(2) },
		"requests lost":        func(f *fleet) { f.log.LoseRequests(2) },
		"responses delayed":    func(f *fleet) { f.log.SetDelay(1900 * time.Millisecond) },
		"reads behind appends": func(f *fleet) { f.log.SetReadLag(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, 1, func(ctx context.Context, t *testing.T, f *fleet) {
				fault(f)
				n := f.live()[0]
				d := publish(ctx, t, n, newChange("c1", profileEdit("lunch", time.Second, 0)))
				assert.Assert(t, d.Verdict.Accepted)
				repeated := publish(ctx, t, f.live()[1], newChange("c1", profileEdit("lunch", time.Second, 0)))
				assert.DeepEqual(t, repeated, d)
				time.Sleep(time.Minute)
				for _, n := range f.live() {
					assert.Equal(t, n.Status().Seq, uint64(1))
				}
			})
		})
	}
}

func TestConcurrentChangesConflict(t *testing.T) {
	withFleet(t, 2, 0, func(ctx context.Context, t *testing.T, f *fleet) {
		verdicts := make(chan change.Decision, 2)
		for i, operator := range []string{"maria", "jose"} {
			go func() {
				c := newChange(operator+"-1", profileEdit("lunch", time.Duration(i+1)*time.Second, 0))
				c.Operator = operator
				d, err := f.live()[i].Publish(ctx, c)
				assert.Check(t, err)
				verdicts <- d
			}()
		}
		accepted, refused := <-verdicts, <-verdicts
		if refused.Verdict.Accepted {
			accepted, refused = refused, accepted
		}
		assert.Assert(t, accepted.Verdict.Accepted && !refused.Verdict.Accepted)
		assert.Equal(t, refused.Verdict.Reason, change.Conflict)
		assert.Equal(t, refused.Verdict.Winner.Operator, accepted.Change.Operator)
		assert.Equal(t, refused.Verdict.Winner.ChangeID, accepted.Change.ID)
	})
}

func TestPausedReaderRecovers(t *testing.T) {
	withFleet(t, 3, 0, func(ctx context.Context, t *testing.T, f *fleet) {
		// The paused entry is isolated from its peers, so that it can catch up
		// only from the snapshot in the log.
		paused := f.add(track.RoleEntry)
		f.isolated.Store(paused)
		paused.reader.Poll(ctx)
		for i := range 40 {
			publish(ctx, t, f.live()[0], newChange(fmt.Sprint("c", i),
				profileEdit("lunch", time.Duration(i+1)*time.Second, uint64(i))))
			time.Sleep(testRetention / 20)
		}
		f.start(ctx, paused)
		time.Sleep(10 * time.Second)
		assert.Equal(t, paused.timeout("lunch"), 40*time.Second)
		assert.Equal(t, paused.stateBytes(), f.live()[0].stateBytes())
		// Although all entries may append snapshots, there are only a few.
		appends := f.log.Counts().Appends - 40
		assert.Assert(t, appends >= 4 && appends <= 40, "%d snapshots in two retention periods", appends)
	})
}

func TestStartWithLogUnavailable(t *testing.T) {
	withFleet(t, 3, 0, func(ctx context.Context, t *testing.T, f *fleet) {
		publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Second, 0)))
		time.Sleep(10 * time.Second)
		f.log.SetUnavailable(true)
		time.Sleep(testRetention)
		newEntry := f.add(track.RoleEntry)
		assert.Assert(t, !newEntry.Ready() && newEntry.Current() == nil)
		f.start(ctx, newEntry)
		time.Sleep(inForceTarget)
		assert.Assert(t, newEntry.Ready())
		assert.Equal(t, newEntry.timeout("lunch"), time.Second)
		age := newEntry.Status().Age
		assert.Assert(t, age >= testRetention && age < testRetention+time.Minute, "age %s", age)
	})
}

func TestIsolatedStartWithLogUnavailable(t *testing.T) {
	withFleet(t, 0, 0, func(ctx context.Context, t *testing.T, f *fleet) {
		f.log.SetUnavailable(true)
		n := f.start(ctx, f.add(track.RoleEntry))
		time.Sleep(time.Hour)
		assert.Assert(t, !n.Ready() && n.Current() == nil && !n.Status().Known)
		assert.Equal(t, n.Status().Age, time.Duration(-1))
	})
}

// All entries are replaced one by one while the log is unavailable, and the log
// becomes available only after all its records have expired.
func TestEntriesReplacedDuringLongLogOutage(t *testing.T) {
	withFleet(t, 9, 12, func(ctx context.Context, t *testing.T, f *fleet) {
		publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Second, 0)))
		time.Sleep(10 * time.Second)
		f.log.SetUnavailable(true)
		for _, n := range f.live() {
			if n.self.Role == track.RoleEntry {
				f.remove(n)
				f.start(ctx, f.add(track.RoleEntry))
				time.Sleep(10 * time.Second)
			}
		}
		time.Sleep(testRetention)
		for _, n := range f.live() {
			assert.Equal(t, n.timeout("lunch"), time.Second)
		}
		f.log.SetUnavailable(false)
		// Records that no instance has read expire too.
		_, err := f.log.Append(ctx, track.StreamConfig, [][]byte{{}, {}, {}})
		assert.NilError(t, err)
		f.log.Expire(track.StreamConfig, 4)
		var entry *node
		for _, n := range f.live() {
			if n.self.Role == track.RoleEntry {
				entry = n
			}
		}
		started := time.Now()
		d := publish(ctx, t, entry, newChange("c2", profileEdit("lunch", time.Minute, 1)))
		assert.Assert(t, d.Verdict.Accepted, d.Verdict.Detail)
		awaitAll(f, time.Minute, func(n *node) bool { return n.timeout("lunch") == time.Minute })
		t.Logf("seed 1: a change was in force on all instances %s after an outage longer than the retention",
			time.Since(started))
		for _, n := range f.live() {
			assert.Equal(t, n.stateBytes(), entry.stateBytes())
		}
	})
}

// All entries are killed at once while the log is unavailable. The agents, which
// are the only instances left, pass the configuration on to new entries.
func TestAgentsPassConfigurationToNewEntries(t *testing.T) {
	withFleet(t, 2, 2, func(ctx context.Context, t *testing.T, f *fleet) {
		publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Second, 0)))
		time.Sleep(10 * time.Second)
		f.log.SetUnavailable(true)
		for _, n := range f.live()[:2] {
			f.remove(n)
		}
		newEntry := f.start(ctx, f.add(track.RoleEntry))
		time.Sleep(inForceTarget)
		assert.Equal(t, newEntry.timeout("lunch"), time.Second)
	})
}

// The result of AwaitPropagation lists the instances that have not answered.
func TestPropagationListsSilentInstances(t *testing.T) {
	withFleet(t, 2, 2, func(ctx context.Context, t *testing.T, f *fleet) {
		silent := f.live()[3]
		f.isolated.Store(silent)
		d := publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Second, 0)))
		timeoutCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		propagation := f.live()[0].AwaitPropagation(timeoutCtx, d.Verdict.Version)
		assert.DeepEqual(t, propagation.Silent, []track.InstanceID{silent.self.ID})
		assert.Equal(t, len(propagation.InForce), 3)
		f.isolated.Store(nil)
		assert.Assert(t, f.live()[0].AwaitPropagation(ctx, d.Verdict.Version).Complete())
	})
}

func TestCorruptRecordsAreSkipped(t *testing.T) {
	withFleet(t, 2, 1, func(ctx context.Context, t *testing.T, f *fleet) {
		good, err := change.EncodeChange(newChange("half", profileEdit("lunch", time.Second, 0)))
		assert.NilError(t, err)
		for _, data := range [][]byte{nil, good[:len(good)/2], []byte("{}"), append([]byte{' ', 'x'}, good...)} {
			_, err := f.log.Append(ctx, track.StreamConfig, [][]byte{data})
			assert.NilError(t, err)
		}
		d := publish(ctx, t, f.live()[0], newChange("c1", profileEdit("lunch", time.Minute, 0)))
		assert.Assert(t, d.Verdict.Accepted)
		took := awaitAll(f, time.Minute, func(n *node) bool { return n.timeout("lunch") == time.Minute })
		assert.Assert(t, took <= inForceTarget)
	})
}

// A store rejects damaged or wrong configuration from a peer.
func TestInvalidPeerUpdateRejected(t *testing.T) {
	f := newFleet(clockwork.NewFakeClock(), 1)
	source, target := f.add(track.RoleEntry), f.add(track.RoleAgent)
	data, err := change.EncodeChange(newChange("c1", profileEdit("lunch", time.Second, 0)))
	assert.NilError(t, err)
	_, err = f.log.Append(t.Context(), track.StreamConfig, [][]byte{data})
	assert.NilError(t, err)
	source.reader.Poll(t.Context())

	complete, err := source.FetchUpdate(t.Context(), track.ConfigPosition{})
	assert.NilError(t, err)
	damaged := complete
	damaged.State = append([]byte(nil), complete.State...)
	damaged.State[len(damaged.State)/2] ^= 1
	assert.Assert(t, target.applyUpdate(damaged, "peer") != nil)
	assert.Assert(t, target.Current() == nil)
	assert.NilError(t, target.applyUpdate(complete, "peer"))

	data, err = change.EncodeChange(newChange("c2", profileEdit("lunch", time.Minute, 1)))
	assert.NilError(t, err)
	wrong := track.ConfigUpdate{Position: complete.Position, Records: [][]byte{data}, Next: 9}
	wrong.Position.Seq, wrong.Position.Checksum = 2, change.HexSHA256([]byte("another state"))
	assert.Assert(t, target.applyUpdate(wrong, "peer") != nil)
	assert.Equal(t, target.timeout("lunch"), time.Second)
	assert.Equal(t, target.counters.diverged.Get(), uint64(1))

	// A complete state that arrives late is older than the one in force and has
	// no effect.
	valid := track.ConfigUpdate{Position: complete.Position, Records: [][]byte{data}, Next: 2}
	_, err = f.log.Append(t.Context(), track.StreamConfig, [][]byte{data})
	assert.NilError(t, err)
	source.reader.Poll(t.Context())
	valid.Position, err = newestPosition(t, source)
	assert.NilError(t, err)
	assert.NilError(t, target.applyUpdate(valid, "peer"))
	assert.NilError(t, target.applyUpdate(complete, "peer"))
	assert.Equal(t, target.Status().Version, uint64(2))
	assert.Equal(t, target.timeout("lunch"), time.Minute)

	wrong.Position.Seq, wrong.Records = 2, nil
	assert.NilError(t, target.applyUpdate(wrong, "peer"))
	assert.Equal(t, target.counters.diverged.Get(), uint64(2))
}

// The result of a read that was sent during the search for a snapshot must not be
// applied if state from a peer has meanwhile ended the search at an earlier
// offset.
func TestBatchBeyondPositionIsIgnored(t *testing.T) {
	f := newFleet(clockwork.NewFakeClock(), 1)
	n := f.add(track.RoleEntry)
	n.reader.Poll(t.Context())
	c := newChange("c2", profileEdit("lunch", time.Second, 0))
	(*follower)(n.Store).HandleBatch(tail.Batch[change.Record]{
		From: 5, Next: 6, End: 6,
		Records: []tail.Record[change.Record]{{Offset: 5, Value: change.Record{Change: &c}}},
	})
	assert.Equal(t, n.Status().Seq, uint64(0))
	assert.Equal(t, n.Status().Offset, uint64(0))
}

// A peer that has not answered may have applied a change that has expired from
// the log, so no recovery snapshot is appended before every peer has answered.
func TestRecoveryWaitsForEveryAnswer(t *testing.T) {
	clock := newFakeClock()
	f := newFleet(clock, 1)
	behind, ahead := f.add(track.RoleEntry), f.add(track.RoleAgent)
	behind.reader.Poll(t.Context())
	ahead.pollPeer(t.Context(), ahead.contact(behind))
	data, err := change.EncodeChange(newChange("c1", profileEdit("lunch", time.Second, 0)))
	assert.NilError(t, err)
	_, err = f.log.Append(t.Context(), track.StreamConfig, [][]byte{data, {}})
	assert.NilError(t, err)
	last := f.add(track.RoleEntry)
	last.reader.Poll(t.Context())
	ahead.pollPeer(t.Context(), ahead.contact(last))
	f.remove(last)

	f.log.Expire(track.StreamConfig, 2)
	_, err = f.log.Append(t.Context(), track.StreamConfig, [][]byte{{}})
	assert.NilError(t, err)
	behind.reader.Poll(t.Context())
	clock.Advance(time.Hour)
	assert.Assert(t, behind.Status().Searching && !behind.recoverySnapshotNeeded())
	behind.pollPeer(t.Context(), behind.contact(ahead))
	assert.Equal(t, behind.timeout("lunch"), time.Second)
	assert.Assert(t, !behind.Status().Searching)
}

func newestPosition(t *testing.T, n *node) (track.ConfigPosition, error) {
	update, err := n.FetchUpdate(t.Context(), track.ConfigPosition{})
	return update.Position, err
}

func TestShouldAppendSnapshot(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const instances, checks = 350, 2000
	wanted := 0
	for range checks {
		assert.Assert(t, !shouldAppendSnapshot(testRetention/4-1, testRetention, instances, rng))
		assert.Assert(t, shouldAppendSnapshot(testRetention/2, testRetention, instances, rng))
		for range instances {
			if shouldAppendSnapshot(testRetention/4, testRetention, instances, rng) {
				wanted++
			}
		}
	}
	mean := float64(wanted) / checks
	assert.Assert(t, mean > 0.9 && mean < 1.1, "%.3f snapshots per check", mean)
}

func TestIndexes(t *testing.T) {
	token := "the-token"
	cfg := &track.Config{Version: 1, Accounts: []track.ClientAccount{
		{Name: "farm", TokenSHA256: change.HexSHA256([]byte("other"))},
		{Name: "mill", TokenSHA256: change.HexSHA256([]byte(token))},
	}}
	first := NewIndex(cfg, nil)
	next := *cfg
	next.Version, next.Services = 2, []track.Service{{Name: "desk"}}
	second := NewIndex(&next, first)
	for _, idx := range []*Index{first, second} {
		account, ok := idx.Account(change.HexSHA256([]byte(token)))
		assert.Assert(t, ok && account.Name == "mill")
		_, ok = idx.Account("wrong")
		assert.Assert(t, !ok)
	}
	_, ok := first.Service("desk")
	assert.Assert(t, !ok)
	_, ok = second.Service("desk")
	assert.Assert(t, ok)
	last := next
	last.Accounts = nil
	_, ok = NewIndex(&last, second).Account(change.HexSHA256([]byte(token)))
	assert.Assert(t, !ok)
}
