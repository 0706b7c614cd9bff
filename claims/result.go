package claims

import (
	"context"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
)

// storeResult appends a small, complete answer to the log without waiting for it,
// so that the answer is still available after the agent restarts.
func (e *execution) storeResult(ctx context.Context, info KeyInfo, answer []track.Frame) {
	result, ok := resultOf(answer)
	if !ok || info.State != StateClaimed {
		return
	}
	e.executor.appendAsync(ctx, Record{Kind: KindClose, Close: &Close{
		Key: e.request.Key, Offset: info.ClaimOffset, Reason: ReasonFinished, Result: &result,
	}})
}

// resultOf returns the answer in the form that the log stores. It reports false if
// the head is not valid, the body exceeds MaxResultBodyBytes or the request did not
// complete.
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
	return r, heads.Check(r.Status, r.Header) == nil && final.Outcome == track.Completed && len(r.Body) <= MaxResultBodyBytes
}

// replayFromLog returns the answer that the log holds. If the log can't be read, it
// asks the agent instead.
func (e *execution) replayFromLog(ctx context.Context, info KeyInfo) (*Answer, error) {
	if err := e.checkSameBody(info); err != nil {
		return nil, err
	}
	result, err := e.executor.readResult(ctx, info.ResultOffset)
	if err != nil {
		return e.replayFromAgent(ctx, info)
	}
	id := info.Claim.Attempt
	return &Answer{Outcome: track.Completed, Replayed: !e.isOwnClaim(info), Frames: []track.Frame{
		{ID: id, Kind: track.FrameHeader, Status: result.Status, Header: result.Header},
		{ID: id, Seq: 1, Kind: track.FrameData, Data: result.Body},
		{ID: id, Seq: 2, Kind: track.FrameFinal, Outcome: track.Completed},
	}}, nil
}

// replayFromAgent asks the agent for an answer that the log holds, but that could
// not be read from there.
func (e *execution) replayFromAgent(ctx context.Context, info KeyInfo) (*Answer, error) {
	answer, err := e.resolveClaim(ctx, info)
	if err == nil && answer == nil {
		return nil, track.Fail("retell", LogUnavailable, nil)
	}
	return answer, err
}

// readResult reads the answer at the offset from the log.
func (x *Executor) readResult(ctx context.Context, offset uint64) (Result, error) {
	const op = "read stored answer"
	ctx, cancel := context.WithTimeout(ctx, x.options.Settings.LogTimeout)
	defer cancel()
	page, err := x.options.Log.Read(ctx, track.StreamClaims, offset, 1)
	if err != nil {
		return Result{}, track.Fail(op, LogUnavailable, err)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return Result{}, track.Fail(op, RecordsExpired, nil)
	}
	record, err := Decode(page.Records[0].Data)
	if err != nil {
		return Result{}, err
	}
	if record.Close == nil || record.Close.Result == nil {
		return Result{}, track.Fail(op, Invalid, nil)
	}
	result := *record.Close.Result
	if err := heads.Check(result.Status, result.Header); err != nil {
		return Result{}, track.Fail(op, Invalid, err)
	}
	return result, nil
}
