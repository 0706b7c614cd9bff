package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/ledger"
)

const (
	dispatchWindow = 10 * time.Second
	retention      = time.Minute
)

func settings() ledger.Settings {
	return ledger.Settings{
		MaxDispatchAge: dispatchWindow, Retention: retention, KeyedRetention: 10 * time.Minute,
		MaxUnkeyedAttempts: 4, MaxKeyedAttempts: 4, MaxAnswerBytes: 10, MaxTotalAnswerBytes: 15,
	}
}

type fixture struct {
	*ledger.Ledger
	clock *clockwork.FakeClock
}

func newFixture() fixture {
	clock := clockwork.NewFakeClock()
	return fixture{Ledger: ledger.New("a1", 7, clock, settings()), clock: clock}
}

func (f fixture) dispatch(request string, key string) track.Dispatch {
	d := track.Dispatch{
		ID: track.AttemptID{Request: track.RequestID(request), Number: 1}, Agent: "a1", Incarnation: 7, Stamp: f.Stamp(),
	}
	if key != "" {
		d.Claim = &track.Claim{Account: "mill", Service: "desk", IdempotencyKey: key}
	}
	return d
}

func assertRefused(t *testing.T, result ledger.AdmitResult, refusal track.Refusal, outcome track.Outcome) {
	t.Helper()
	assert.Check(t, result.Attempt == nil)
	assert.Equal(t, result.Refusal, refusal)
	assert.Equal(t, result.Outcome, outcome)
}

func TestDispatchIsAdmittedOnce(t *testing.T) {
	for _, key := range []string{"", "k"} {
		f := newFixture()
		d := f.dispatch("r", key)
		first := f.Admit(d, "")
		assert.Assert(t, first.Attempt != nil)
		assertRefused(t, f.Admit(d, ""), track.RefusedDuplicate, track.Unknown)
		assert.Equal(t, f.Bar(d.Ref()), track.AttemptStarted)
		first.Attempt.Finish()
		assertRefused(t, f.Admit(d, ""), track.RefusedDuplicate, track.Unknown)
		assert.Equal(t, f.Bar(d.Ref()), track.AttemptDone)
	}
}

func TestBarIsFinal(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)
	assertRefused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	f.clock.Advance(dispatchWindow + 1)
	assertRefused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	f.clock.Advance(time.Hour)
	assertRefused(t, f.Admit(d, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptForgotten)
}

func TestDispatchRefusedByAgentIsBarred(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	assertRefused(t, f.Admit(d, track.RefusedFull), track.RefusedFull, track.NotRun)
	assertRefused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	other := f.Admit(f.dispatch("r2", "k"), "")
	assert.Assert(t, other.Attempt != nil, "a refused attempt must not reserve its key")
}

func TestStaleDispatchIsRefused(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "")
	f.clock.Advance(dispatchWindow + 1)
	assertRefused(t, f.Admit(d, ""), track.RefusedStale, track.NotRun)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)

	otherIncarnation := f.dispatch("r2", "")
	otherIncarnation.Incarnation = 6
	assertRefused(t, f.Admit(otherIncarnation, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(otherIncarnation.Ref()), track.AttemptForgotten)

	otherAgent := f.dispatch("r3", "")
	otherAgent.Agent = "a2"
	assertRefused(t, f.Admit(otherAgent, ""), track.RefusedStale, track.Unknown)

	future := f.dispatch("r4", "")
	future.Stamp++
	assertRefused(t, f.Admit(future, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(future.Ref()), track.AttemptForgotten)
}

// Guards against a copy of a dispatch that arrives after the first copy ran and was
// forgotten: its outcome must not be NotRun.
func TestOutcomeOfForgottenAttemptIsUnknown(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "")
	f.Admit(d, "").Attempt.Finish()
	f.clock.Advance(retention + 1)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptForgotten)
	assertRefused(t, f.Admit(d, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Len(), 0)
}

func TestFullLedgerReportsForgottenAttempts(t *testing.T) {
	f := newFixture()
	first := f.dispatch("r0", "")
	f.Admit(first, "").Attempt.Finish()
	for i := 1; i <= 4; i++ {
		f.clock.Advance(1)
		assert.Assert(t, f.Admit(f.dispatch(fmt.Sprint("r", i), ""), "").Attempt != nil)
	}
	assert.Equal(t, f.Bar(first.Ref()), track.AttemptForgotten)
	assertRefused(t, f.Admit(first, ""), track.RefusedStale, track.Unknown)
	assertRefused(t, f.Admit(f.dispatch("r5", ""), ""), track.RefusedFull, track.Unknown)
	assert.Equal(t, f.Bar(f.dispatch("r6", "").Ref()), track.AttemptForgotten)
	assert.Equal(t, f.Len(), 4)
}

func TestKeyIsAdmittedOnce(t *testing.T) {
	f := newFixture()
	first := f.Admit(f.dispatch("r1", "k"), "")
	assertRefused(t, f.Admit(f.dispatch("r2", "k"), ""), track.RefusedDuplicate, track.Unknown)
	first.Attempt.Finish()
	assertRefused(t, f.Admit(f.dispatch("r3", "k"), ""), track.RefusedDuplicate, track.Unknown)
	assert.Assert(t, f.Admit(f.dispatch("r4", "other"), "").Attempt != nil)
}

func TestAbortReleasesKey(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r1", "k")
	f.Admit(d, "").Attempt.MarkNotStarted()
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)
	assertRefused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	_, err := f.Answer(t.Context(), d.Ref())
	assert.Assert(t, track.IsKind(err, ledger.Barred))
	assert.Assert(t, f.Admit(f.dispatch("r2", "k"), "").Attempt != nil)
}

func TestAnswerIsStoredWithinLimits(t *testing.T) {
	f := newFixture()
	runAttempt := func(request, data string) track.Dispatch {
		d := f.dispatch(request, request)
		attempt := f.Admit(d, "").Attempt
		attempt.StoreFrame(track.Frame{ID: d.ID, Data: []byte(data)})
		attempt.Finish()
		return d
	}
	first := runAttempt("r1", "12345678")
	got, err := f.Answer(t.Context(), first.Ref())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []track.Frame{{ID: first.ID, Data: []byte("12345678")}})

	second := runAttempt("r2", "12345678")
	_, err = f.Answer(t.Context(), first.Ref())
	assert.Assert(t, track.IsKind(err, ledger.AnswerNotStored), "the oldest answer must be dropped: %v", err)
	assert.Equal(t, f.Bar(first.Ref()), track.AttemptDone)
	_, err = f.Answer(t.Context(), second.Ref())
	assert.NilError(t, err)

	_, err = f.Answer(t.Context(), runAttempt("r3", "longer than ten").Ref())
	assert.Assert(t, track.IsKind(err, ledger.AnswerNotStored))
	_, err = f.Answer(t.Context(), f.dispatch("r4", "k").Ref())
	assert.Assert(t, track.IsKind(err, ledger.Forgotten))
}

func TestAnswerWaitsForEnd(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	attempt := f.Admit(d, "").Attempt
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.Answer(ctx, d.Ref())
	assert.Assert(t, track.IsKind(err, ledger.Canceled))
	go func() {
		attempt.StoreFrame(track.Frame{ID: d.ID, Kind: track.FrameFinal})
		attempt.Finish()
	}()
	got, err := f.Answer(t.Context(), d.Ref())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
}

// BenchmarkAdmit measures an attempt without a key when the ledger is full.
func BenchmarkAdmit(b *testing.B) {
	l := ledger.New("a1", 7, clockwork.NewRealClock(), ledger.Defaults())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := track.Dispatch{
			ID: track.AttemptID{Request: "r", Number: uint32(i)}, Agent: "a1", Incarnation: 7, Stamp: l.Stamp(),
		}
		l.Admit(d, "").Attempt.Finish()
	}
}
