package barred_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/barred"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/stand/memlog"
)

// silentGossip carries no notices: no other entry is left.
type silentGossip struct{}

func (silentGossip) Publish(track.Notice) {}

func (silentGossip) Subscribe(track.Topic, func(track.Notice)) {}

func (silentGossip) Summarize(track.Topic, func() []byte) {}

// countingLog counts the appends, which fail while it is down.
type countingLog struct {
	track.Log
	appends int
	down    bool
}

var errDown = errors.New("down")

func (l *countingLog) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if l.down {
		return 0, errDown
	}
	l.appends++
	return l.Log.Append(ctx, stream, data)
}

func (l *countingLog) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	if l.down {
		return track.Page{}, errDown
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// entry holds what an entry knows of requests that crash backend servers.
type entry struct {
	requests *crash.Tracker
	parts    *parts.Tracker
	keeper   *barred.Keeper
}

func newEntry(id track.InstanceID, clock clockwork.Clock, log track.Log) *entry {
	e := &entry{
		requests: crash.New(clock, crash.DefaultPolicy(), id, silentGossip{}, zap.NewNop(), metrics.NewSet()),
		parts:    parts.New(clock, zap.NewNop(), metrics.NewSet()),
	}
	e.keeper = barred.New(barred.Options{
		Self: id, Log: log, Requests: e.requests, Parts: e.parts, Clock: clock, Logger: zap.NewNop(),
	})
	return e
}

const (
	culprit = 13
	part    = parts.Part(5)
)

// quarantine has a request and a part crash backend servers until they are barred.
func (e *entry) quarantine(clock *clockwork.FakeClock) {
	for _, isolated := range []bool{false, true} {
		e.requests.Begin(culprit)
		e.requests.Finish(culprit, crash.RunResult{Crashed: true, Isolated: isolated})
	}
	e.convict(clock, part)
}

// convict has a part crash backend servers until it is convicted.
func (e *entry) convict(clock *clockwork.FakeClock, p parts.Part) {
	for n := range uint64(3) {
		sent := clock.Now()
		clock.Advance(time.Second)
		run := parts.Run{Request: n, Parts: []parts.Part{1, p}, SentAt: sent, BrokeAt: clock.Now()}
		e.parts.RunCrashed(run, parts.Crash{Replica: track.ReplicaID(fmt.Sprint("llm-", p)), Born: int64(n + 1)})
	}
}

func (e *entry) bars() (request, convicted time.Duration) {
	return e.requests.Check(culprit).RetryAfter, e.parts.ConvictedFor([]parts.Part{part})
}

// Guards against requests that crash backend servers once more after the restart of all entries.
func TestQuarantineOutlastsAllEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := &countingLog{Log: memlog.New(clock, memlog.Settings{})}
	old := newEntry("entry-1", clock, log)
	assert.NilError(t, old.keeper.Load(t.Context()))
	assert.NilError(t, old.keeper.Update(t.Context()))
	assert.Equal(t, log.appends, 0, "nothing is barred")
	old.quarantine(clock)
	log.down = true
	assert.ErrorIs(t, old.keeper.Update(t.Context()), errDown)
	log.down = false
	for range 3 {
		assert.NilError(t, old.keeper.Update(t.Context()))
		clock.Advance(20 * time.Second)
	}
	assert.Equal(t, log.appends, 1)

	log.down = true
	restarted := newEntry("entry-2", clock, log)
	assert.ErrorIs(t, restarted.keeper.Load(t.Context()), errDown)
	log.down = false
	assert.NilError(t, restarted.keeper.Load(t.Context()))
	wantRequest, wantPart := old.bars()
	request, convicted := restarted.bars()
	assert.Equal(t, request, wantRequest)
	assert.Equal(t, convicted, wantPart)
	assert.Assert(t, request > 0 && convicted > 0)
	assert.NilError(t, restarted.keeper.Update(t.Context()))
	assert.Equal(t, log.appends, 1, "what was read isn't written again")
}

// Guards against a quarantine that comes back after its end or after an operator has released it.
func TestReleasedQuarantineIsNotRestored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := memlog.New(clock, memlog.Settings{})
	old := newEntry("entry-1", clock, log)
	old.quarantine(clock)
	assert.NilError(t, old.keeper.Update(t.Context()))
	assert.Assert(t, old.requests.Release(culprit))
	assert.NilError(t, old.keeper.Update(t.Context()))
	released := newEntry("entry-2", clock, log)
	assert.NilError(t, released.keeper.Load(t.Context()))
	request, convicted := released.bars()
	assert.Equal(t, request, time.Duration(0))
	assert.Assert(t, convicted > 0)

	clock.Advance(15 * time.Minute)
	late := newEntry("entry-3", clock, log)
	assert.NilError(t, late.keeper.Load(t.Context()))
	_, convicted = late.bars()
	assert.Equal(t, convicted, time.Duration(0))
}

// Guards against a restart that keeps only as many parts as a message between entries holds.
func TestAllPartsAreRestored(t *testing.T) {
	const convicted = 20
	clock := clockwork.NewFakeClock()
	log := memlog.New(clock, memlog.Settings{})
	old := newEntry("entry-1", clock, log)
	for p := range parts.Part(convicted) {
		old.convict(clock, p+10)
	}
	assert.Equal(t, len(old.parts.Convicted()), convicted)
	assert.NilError(t, old.keeper.Update(t.Context()))
	restarted := newEntry("entry-2", clock, log)
	assert.NilError(t, restarted.keeper.Load(t.Context()))
	assert.Equal(t, len(restarted.parts.Convicted()), convicted)
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := memlog.New(clock, memlog.Settings{PageLimit: 1})
	_, err := log.Append(t.Context(), track.StreamBarred, [][]byte{[]byte("{")})
	assert.NilError(t, err)
	old := newEntry("entry-1", clock, log)
	old.quarantine(clock)
	assert.NilError(t, old.keeper.Update(t.Context()))
	started := newEntry("entry-2", clock, log)
	assert.NilError(t, started.keeper.Load(t.Context()))
	request, _ := started.bars()
	assert.Assert(t, request > 0)
}
