package claims

import (
	"context"

	"filberttrack.example/track"
)

// keep leaves a small whole answer in the log, so that it outlives the agent.
func (x *execution) keep(ctx context.Context, view View, answer []track.Frame) {
	result, ok := resultOf(answer)
	if !ok || view.State != Held {
		return
	}
	x.book.leave(ctx, Record{Kind: KindClose, Close: &Close{
		Key: x.work.Key, Offset: view.Offset, Reason: Finished, Result: &result,
	}})
}

// resultOf returns the answer as it is kept in the log, unless it is too large
// or not the answer to completed work.
func resultOf(answer []track.Frame) (Result, bool) {
	var r Result
	for _, f := range answer {
		if f.Kind == track.FrameHeader {
			r.Status = f.Status
			r.Header = f.Header
		}
		r.Body = append(r.Body, f.Data...)
	}
	final := answer[len(answer)-1]
	return r, r.Status != 0 && final.Outcome == track.Completed && len(r.Body) <= MaxResultBytes
}

// retell gives the answer that the log holds. While the log is away the agent
// is asked.
func (x *execution) retell(ctx context.Context, view View) (*Answer, error) {
	if err := x.compare(view); err != nil {
		return nil, err
	}
	result, err := x.book.result(ctx, view.Result)
	if err != nil {
		return x.remembered(ctx, view)
	}
	id := view.Claim.Attempt
	return &Answer{Outcome: track.Completed, Replayed: !x.own(view), Frames: []track.Frame{
		{ID: id, Kind: track.FrameHeader, Status: result.Status, Header: result.Header},
		{ID: id, Seq: 1, Kind: track.FrameData, Data: result.Body},
		{ID: id, Seq: 2, Kind: track.FrameFinal, Outcome: track.Completed},
	}}, nil
}

// remembered asks the agent for an answer that the log is known to hold.
func (x *execution) remembered(ctx context.Context, view View) (*Answer, error) {
	answer, err := x.recall(ctx, view)
	if err == nil && answer == nil {
		return nil, track.Fail("retell", Unavailable, nil)
	}
	return answer, err
}

// result reads the answer at the offset.
func (b *Book) result(ctx context.Context, offset uint64) (Result, error) {
	const op = "read result"
	ctx, cancel := context.WithTimeout(ctx, b.options.Settings.AppendTimeout)
	defer cancel()
	page, err := b.options.Log.Read(ctx, track.StreamClaims, offset, 1)
	if err != nil {
		return Result{}, track.Fail(op, Unavailable, err)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return Result{}, track.Fail(op, Unsure, nil)
	}
	record, err := Decode(page.Records[0].Data)
	if err != nil {
		return Result{}, err
	}
	if record.Close == nil || record.Close.Result == nil {
		return Result{}, track.Fail(op, Invalid, nil)
	}
	return *record.Close.Result, nil
}
