package claims

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

var errQueueFull = errors.New("append queue is full")

// appendRequest holds encoded records that are appended to the log together, in
// order.
type appendRequest struct {
	// ctx ends when the caller no longer needs the records to be appended.
	ctx     context.Context
	records [][]byte
	// cancel releases ctx once the records are appended. It is nil if the caller
	// releases ctx itself.
	cancel context.CancelFunc
	// lastOffset receives the offset of the last record once it is known.
	lastOffset chan uint64
}

// appendRecords appends records next to each other, waits until the log has
// confirmed them and returns the offset of the last one. After an error of kind
// LogUnavailable, the records may still be appended later.
func (x *Executor) appendRecords(ctx context.Context, records ...Record) (uint64, error) {
	const op = "append claim"
	ctx, cancel := context.WithTimeout(ctx, x.claimTimeout())
	defer cancel()
	request := &appendRequest{ctx: ctx, lastOffset: make(chan uint64, 1)}
	for _, r := range records {
		data, err := Encode(r)
		if err != nil {
			return 0, err
		}
		request.records = append(request.records, data)
	}
	if !x.appendQueue.Offer(request) {
		return 0, track.Fail(op, LogUnavailable, errQueueFull)
	}
	select {
	case offset := <-request.lastOffset:
		return offset, nil
	case <-ctx.Done():
		return 0, track.Fail(op, LogUnavailable, context.Cause(ctx))
	}
}

// appendAsync queues a record to be appended and does not wait for it. The record
// is lost if the queue is full or the log doesn't confirm it within ClaimTimeout.
func (x *Executor) appendAsync(ctx context.Context, r Record) {
	data, err := Encode(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.options.Settings.ClaimTimeout)
	request := &appendRequest{ctx: ctx, cancel: cancel, records: [][]byte{data}, lastOffset: make(chan uint64, 1)}
	if !x.appendQueue.Offer(request) {
		cancel()
	}
}

// runAppends appends queued records, one call of the log at a time, until the
// context ends.
func (x *Executor) runAppends(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-x.appendQueue.Items():
			x.appendUntilConfirmed(ctx, x.collectBatch(first))
		}
	}
}

// collectBatch returns the first request and the queued ones after it, until the
// batch has at least MaxBatchRecords records or the queue is empty.
func (x *Executor) collectBatch(first *appendRequest) []*appendRequest {
	batch := []*appendRequest{first}
	size := len(first.records)
	for size < x.options.Settings.MaxBatchRecords {
		select {
		case next := <-x.appendQueue.Items():
			batch = append(batch, next)
			size += len(next.records)
		default:
			return batch
		}
	}
	return batch
}

// appendUntilConfirmed repeats the append until the log confirms it or the context
// of every request has ended. Repeating is harmless: a second copy of a claim has
// no effect.
func (x *Executor) appendUntilConfirmed(ctx context.Context, batch []*appendRequest) {
	for ctx.Err() == nil {
		batch = withoutEnded(batch)
		if len(batch) == 0 {
			return
		}
		var records [][]byte
		for _, request := range batch {
			records = append(records, request.records...)
		}
		offset, err := x.appendOnce(ctx, records)
		if err == nil {
			x.options.Metrics.GetOrCreateHistogram("claims_batch_records").Update(float64(len(records)))
			confirm(batch, offset)
		} else {
			x.incrementCounter("claims_append_failures_total")
			x.options.Logger.Debug("append to the claim stream failed", zap.Int("Records", len(records)), zap.Error(err))
		}
		x.waitAppendInterval(ctx)
		if err == nil {
			return
		}
	}
}

func (x *Executor) appendOnce(ctx context.Context, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, x.options.Settings.LogTimeout)
	defer cancel()
	return x.options.Log.Append(ctx, track.StreamClaims, records)
}

// waitAppendInterval limits the rate of appends and lets the next batch fill.
func (x *Executor) waitAppendInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-x.options.Clock.After(x.options.Settings.MinAppendInterval):
	}
}

// withoutEnded returns the requests whose context has not ended.
func withoutEnded(batch []*appendRequest) []*appendRequest {
	var active []*appendRequest
	for _, request := range batch {
		if request.ctx.Err() == nil {
			active = append(active, request)
		}
	}
	return active
}

// confirm reports the offsets to the requests of a batch whose first record has
// the given offset.
func confirm(batch []*appendRequest, offset uint64) {
	for _, request := range batch {
		offset += uint64(len(request.records))
		request.lastOffset <- offset - 1
		if request.cancel != nil {
			request.cancel()
		}
	}
}
