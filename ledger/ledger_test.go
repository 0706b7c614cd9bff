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
	window = 10 * time.Second
	memory = time.Minute
)

func settings() ledger.Settings {
	return ledger.Settings{
		DispatchWindow: window, Memory: memory, KeyMemory: 10 * time.Minute,
		MaxAttempts: 4, MaxKeyed: 4, MaxAnswerBytes: 10, MaxStoredBytes: 15,
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

func refused(t *testing.T, v ledger.Verdict, refusal track.Refusal, outcome track.Outcome) {
	t.Helper()
	assert.Check(t, v.Attempt == nil)
	assert.Equal(t, v.Refusal, refusal)
	assert.Equal(t, v.Outcome, outcome)
}

func TestAdmitOnce(t *testing.T) {
	for _, key := range []string{"", "k"} {
		f := newFixture()
		d := f.dispatch("r", key)
		first := f.Admit(d, "")
		assert.Assert(t, first.Attempt != nil)
		refused(t, f.Admit(d, ""), track.RefusedDuplicate, track.Unknown)
		assert.Equal(t, f.Bar(d.Ref()), track.AttemptStarted)
		first.Attempt.Done()
		refused(t, f.Admit(d, ""), track.RefusedDuplicate, track.Unknown)
		assert.Equal(t, f.Bar(d.Ref()), track.AttemptDone)
	}
}

func TestBarIsFinal(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)
	refused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	f.clock.Advance(window + 1)
	refused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	f.clock.Advance(time.Hour)
	refused(t, f.Admit(d, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptForgotten)
}

func TestRefusalOfAgentBars(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	refused(t, f.Admit(d, track.RefusedFull), track.RefusedFull, track.NotRun)
	refused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	other := f.Admit(f.dispatch("r2", "k"), "")
	assert.Assert(t, other.Attempt != nil, "a refused attempt must not own its key")
}

func TestStaleDispatch(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "")
	f.clock.Advance(window + 1)
	refused(t, f.Admit(d, ""), track.RefusedStale, track.NotRun)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)

	otherIncarnation := f.dispatch("r2", "")
	otherIncarnation.Incarnation = 6
	refused(t, f.Admit(otherIncarnation, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(otherIncarnation.Ref()), track.AttemptForgotten)

	otherAgent := f.dispatch("r3", "")
	otherAgent.Agent = "a2"
	refused(t, f.Admit(otherAgent, ""), track.RefusedStale, track.Unknown)

	future := f.dispatch("r4", "")
	future.Stamp++
	refused(t, f.Admit(future, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Bar(future.Ref()), track.AttemptForgotten)
}

// A copy of a dispatch that ran and was forgotten must not be called NotRun.
func TestForgottenIsUnknown(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "")
	f.Admit(d, "").Attempt.Done()
	f.clock.Advance(memory + 1)
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptForgotten)
	refused(t, f.Admit(d, ""), track.RefusedStale, track.Unknown)
	assert.Equal(t, f.Len(), 0)
}

func TestFullLedgerIsHonest(t *testing.T) {
	f := newFixture()
	first := f.dispatch("r0", "")
	f.Admit(first, "").Attempt.Done()
	for i := 1; i <= 4; i++ {
		f.clock.Advance(1)
		assert.Assert(t, f.Admit(f.dispatch(fmt.Sprint("r", i), ""), "").Attempt != nil)
	}
	assert.Equal(t, f.Bar(first.Ref()), track.AttemptForgotten)
	refused(t, f.Admit(first, ""), track.RefusedStale, track.Unknown)
	refused(t, f.Admit(f.dispatch("r5", ""), ""), track.RefusedFull, track.Unknown)
	assert.Equal(t, f.Bar(f.dispatch("r6", "").Ref()), track.AttemptForgotten)
	assert.Equal(t, f.Len(), 4)
}

func TestKeyRunsOnce(t *testing.T) {
	f := newFixture()
	first := f.Admit(f.dispatch("r1", "k"), "")
	refused(t, f.Admit(f.dispatch("r2", "k"), ""), track.RefusedDuplicate, track.Unknown)
	first.Attempt.Done()
	refused(t, f.Admit(f.dispatch("r3", "k"), ""), track.RefusedDuplicate, track.Unknown)
	assert.Assert(t, f.Admit(f.dispatch("r4", "other"), "").Attempt != nil)
}

func TestAbortFreesKey(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r1", "k")
	f.Admit(d, "").Attempt.Abort()
	assert.Equal(t, f.Bar(d.Ref()), track.AttemptBarred)
	refused(t, f.Admit(d, ""), track.RefusedBarred, track.NotRun)
	_, err := f.Answer(t.Context(), d.Ref())
	assert.Assert(t, track.IsKind(err, ledger.Barred))
	assert.Assert(t, f.Admit(f.dispatch("r2", "k"), "").Attempt != nil)
}

func TestAnswer(t *testing.T) {
	f := newFixture()
	run := func(request, data string) track.Dispatch {
		d := f.dispatch(request, request)
		attempt := f.Admit(d, "").Attempt
		attempt.Keep(track.Frame{ID: d.ID, Data: []byte(data)})
		attempt.Done()
		return d
	}
	first := run("r1", "12345678")
	got, err := f.Answer(t.Context(), first.Ref())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []track.Frame{{ID: first.ID, Data: []byte("12345678")}})

	second := run("r2", "12345678")
	_, err = f.Answer(t.Context(), first.Ref())
	assert.Assert(t, track.IsKind(err, ledger.NotKept), "the oldest answer must give way: %v", err)
	assert.Equal(t, f.Bar(first.Ref()), track.AttemptDone)
	_, err = f.Answer(t.Context(), second.Ref())
	assert.NilError(t, err)

	_, err = f.Answer(t.Context(), run("r3", "longer than ten").Ref())
	assert.Assert(t, track.IsKind(err, ledger.NotKept))
	_, err = f.Answer(t.Context(), f.dispatch("r4", "k").Ref())
	assert.Assert(t, track.IsKind(err, ledger.Forgotten))
}

func TestAnswerWaits(t *testing.T) {
	f := newFixture()
	d := f.dispatch("r", "k")
	attempt := f.Admit(d, "").Attempt
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.Answer(ctx, d.Ref())
	assert.Assert(t, track.IsKind(err, ledger.Canceled))
	go func() {
		attempt.Keep(track.Frame{ID: d.ID, Kind: track.FrameFinal})
		attempt.Done()
	}()
	got, err := f.Answer(t.Context(), d.Ref())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
}

// BenchmarkAdmit gives the cost of an attempt without a key, at the bound of
// the ledger.
func BenchmarkAdmit(b *testing.B) {
	l := ledger.New("a1", 7, clockwork.NewRealClock(), ledger.Defaults())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := track.Dispatch{ID: track.AttemptID{Request: "r", Number: uint32(i)}, Agent: "a1", Incarnation: 7, Stamp: l.Stamp()}
		l.Admit(d, "").Attempt.Done()
	}
}
