package main

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/gauge"
	"filberttrack.example/track/ledger"
)

func agentBenchmarks() []benchmark {
	memory := ledger.Defaults().Retention.Seconds()
	keyed := ledger.Defaults().KeyedRetention.Seconds()
	return []benchmark{{
		name: "agent, ledger of attempts", variable: "attempts",
		sizes: []int{2_000, 5_000, 10_000, 20_000},
		costs: []cost{
			{name: "heap", unit: "KB", today: todayAttempts * memory, planned: plannedAttempts * memory},
			{name: "admit and end, a second", unit: "processor us", today: todayAttempts, planned: plannedAttempts, rate: true},
		},
		measure: measureLedger(false),
	}, {
		name: "agent, ledger of keyed attempts with answers", variable: "attempts",
		sizes: []int{2_000, 5_000, 10_000, 20_000},
		costs: []cost{
			{name: "heap", unit: "KB", today: todayKeyed * keyed, planned: plannedKeyed * keyed},
			{name: "admit and end, a second", unit: "processor us", today: todayKeyed, planned: plannedKeyed, rate: true},
		},
		measure: measureLedger(true),
	}}
}

// measureLedger returns a function that measures a ledger that runs attempts. Keyed attempts have
// an idempotency key and a stored response of 1 KB.
func measureLedger(keyed bool) func(context.Context, int) ([]float64, error) {
	return func(_ context.Context, attempts int) ([]float64, error) {
		clock := clockwork.NewFakeClock()
		before := gauge.HeapBytes()
		l := ledger.New("agent-1", 1, clock, ledger.Defaults())
		clock.Advance(time.Second)
		cpu, err := cpuMicros(func() error {
			for i := range attempts {
				if err := runAttempt(l, i, keyed); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		if l.Len() != attempts {
			return nil, fmt.Errorf("ledger holds %d of %d attempts", l.Len(), attempts)
		}
		heap := heapGrowthKB(before)
		runtime.KeepAlive(l)
		return []float64{heap, cpu}, nil
	}
}

// runAttempt admits and finishes one attempt.
func runAttempt(l *ledger.Ledger, number int, keyed bool) error {
	d := track.Dispatch{
		ID:    track.AttemptID{Request: track.RequestID(fmt.Sprintf("%032x", number)), Number: 1},
		Agent: "agent-1", Incarnation: 1, Stamp: l.Stamp(),
	}
	if keyed {
		d.Claim = &track.Claim{
			Account: "account-1", Service: "pickup-desk",
			IdempotencyKey: fmt.Sprintf("%036x", number), BodySHA256: fmt.Sprintf("%064x", number),
		}
	}
	verdict := l.Admit(d, "")
	if verdict.Attempt == nil {
		return fmt.Errorf("attempt refused: %s", verdict.Refusal)
	}
	if keyed {
		verdict.Attempt.StoreFrame(track.Frame{ID: d.ID, Kind: track.FrameHeader, Status: http.StatusCreated})
		verdict.Attempt.StoreFrame(track.Frame{ID: d.ID, Seq: 1, Kind: track.FrameData, Data: make([]byte, 1000)})
		verdict.Attempt.StoreFrame(track.Frame{ID: d.ID, Seq: 2, Kind: track.FrameFinal, Outcome: track.Completed})
	}
	verdict.Attempt.Finish()
	return nil
}
