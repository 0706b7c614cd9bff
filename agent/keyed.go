package agent

import (
	"context"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/ledger"
)

// keyedGrace is how long work that must not be repeated may go on after its
// caller's deadline, so that a retry finds an answer rather than a broken run.
const keyedGrace = 30 * time.Second

// maxKeyedAnswerBytes bounds an answer that is gathered before it is sent. Of a
// longer one the frames after the bound are missing, so that it is not whole.
const maxKeyedAnswerBytes = 16 << 20

// runKeyed runs an attempt that must not be repeated. It goes on to its end
// whether or not the entry waits, and the answer is stored.
func (a *Agent) runKeyed(ctx context.Context, d track.Dispatch, attempt *ledger.Attempt, send track.FrameFunc) error {
	var answer []track.Frame
	size := 0
	out := &output{id: d.ID, send: func(f track.Frame) error {
		attempt.StoreFrame(f)
		size += len(f.Data)
		if size <= maxKeyedAnswerBytes {
			answer = append(answer, f)
		}
		return nil
	}}
	run := duty.Start(context.WithoutCancel(ctx), "run "+string(d.ID.Request), func(ctx context.Context) error {
		return a.run(ctx, d, d.Timeout+keyedGrace, attempt, out)
	})
	select {
	case err := <-run.Done():
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return sendAll(answer, send)
}

// replay waits for the end of a keyed attempt and sends its stored answer.
func (a *Agent) replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
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
	return sendAll(answer, send)
}

func sendAll(answer []track.Frame, send track.FrameFunc) error {
	for _, f := range answer {
		if err := send(f); err != nil {
			return err
		}
	}
	return nil
}
