package agent

import (
	"context"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/ledger"
)

// keyedExtraTime is the time for which a keyed attempt may continue after the deadline of
// its request, so that a retry finds a complete answer instead of an interrupted one.
const keyedExtraTime = 30 * time.Second

// maxKeyedAnswerBytes is the maximum size of an answer that is collected before it is
// sent. A longer answer is sent without its frames beyond this size, and is therefore
// incomplete.
const maxKeyedAnswerBytes = 16 << 20

// runKeyed runs a keyed attempt, that is one with an idempotency key, which must not be
// repeated. The attempt continues even if the entry stops waiting, and its answer is
// stored in the ledger.
func (a *Agent) runKeyed(ctx context.Context, d track.Dispatch, attempt *ledger.Attempt, send track.FrameFunc) error {
	var answer []track.Frame
	size := 0
	frames := &frameSender{id: d.ID, send: func(f track.Frame) error {
		attempt.StoreFrame(f)
		size += len(f.Data)
		if size <= maxKeyedAnswerBytes {
			answer = append(answer, f)
		}
		return nil
	}}
	run := duty.Start(context.WithoutCancel(ctx), "run "+string(d.ID.Request), func(ctx context.Context) error {
		return a.run(ctx, d, d.Timeout+keyedExtraTime, attempt, frames)
	})
	select {
	case err := <-run.Done():
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return sendFrames(answer, send)
}

// sendStoredAnswer waits for the end of a keyed attempt and sends its stored answer.
func (a *Agent) sendStoredAnswer(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	answer, err := a.ledger.Answer(ctx, ref)
	switch {
	case track.IsKind(err, ledger.Barred):
		return send(track.Frame{
			ID: ref.ID, Kind: track.FrameFinal, Outcome: track.NotRun, Refusal: track.RefusedBarred,
		})
	case track.IsKind(err, ledger.Canceled):
		return err
	case err != nil:
		return send(track.Frame{ID: ref.ID, Kind: track.FrameFinal, Outcome: track.Unknown, Fault: err.Error()})
	}
	return sendFrames(answer, send)
}

func sendFrames(answer []track.Frame, send track.FrameFunc) error {
	for _, f := range answer {
		if err := send(f); err != nil {
			return err
		}
	}
	return nil
}
