package claims

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

var errQueueFull = errors.New("queue of appends is full")

// batch is a group of records that are appended together, and the caller that
// waits for them.
type batch struct {
	ctx  context.Context
	data [][]byte
	// cancel releases the context; nil if its owner does.
	cancel context.CancelFunc
	// offset receives the offset of the last record, once it is known.
	offset chan uint64
}

// add appends records next to each other and returns the offset of the last.
// Where it fails, the records may still be added later.
func (b *Book) add(ctx context.Context, records ...Record) (uint64, error) {
	const op = "append claim"
	ctx, cancel := context.WithTimeout(ctx, b.patience())
	defer cancel()
	waiting := &batch{ctx: ctx, offset: make(chan uint64, 1)}
	for _, r := range records {
		data, err := Encode(r)
		if err != nil {
			return 0, err
		}
		waiting.data = append(waiting.data, data)
	}
	if !b.queue.Offer(waiting) {
		return 0, track.Fail(op, Unavailable, errQueueFull)
	}
	select {
	case offset := <-waiting.offset:
		return offset, nil
	case <-ctx.Done():
		return 0, track.Fail(op, Unavailable, context.Cause(ctx))
	}
}

// leave appends a record without waiting for it. The record may be lost.
func (b *Book) leave(ctx context.Context, r Record) {
	data, err := Encode(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.options.Settings.ClaimTimeout)
	left := &batch{ctx: ctx, cancel: cancel, data: [][]byte{data}, offset: make(chan uint64, 1)}
	if !b.queue.Offer(left) {
		cancel()
	}
}

// append is the duty that appends whatever waits, one call at a time.
func (b *Book) append(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-b.queue.Items():
			b.appendAll(ctx, b.drain(first))
		}
	}
}

// drain collects what waits, up to the bound of a batch.
func (b *Book) drain(first *batch) []*batch {
	waiting := []*batch{first}
	size := len(first.data)
	for size < b.options.Settings.MaxBatch {
		select {
		case next := <-b.queue.Items():
			waiting = append(waiting, next)
			size += len(next.data)
		default:
			return waiting
		}
	}
	return waiting
}

// appendAll appends until the log has confirmed or every caller gave up. A
// repeated append is harmless: a second copy of a claim has no effect.
func (b *Book) appendAll(ctx context.Context, waiting []*batch) {
	for ctx.Err() == nil {
		waiting = stillWaiting(waiting)
		if len(waiting) == 0 {
			return
		}
		var data [][]byte
		for _, w := range waiting {
			data = append(data, w.data...)
		}
		offset, err := b.appendOnce(ctx, data)
		if err == nil {
			b.options.Metrics.GetOrCreateHistogram("claims_batch_records").Update(float64(len(data)))
			confirm(waiting, offset)
		} else {
			b.count("claims_append_failures_total")
			b.options.Logger.Debug("append failed", zap.Int("Records", len(data)), zap.Error(err))
		}
		b.pause(ctx)
		if err == nil {
			return
		}
	}
}

func (b *Book) appendOnce(ctx context.Context, data [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.options.Settings.AppendTimeout)
	defer cancel()
	return b.options.Log.Append(ctx, track.StreamClaims, data)
}

// pause keeps the rate of appends down, and lets a batch gather.
func (b *Book) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.options.Clock.After(b.options.Settings.AppendInterval):
	}
}

func stillWaiting(all []*batch) []*batch {
	var waiting []*batch
	for _, w := range all {
		if w.ctx.Err() == nil {
			waiting = append(waiting, w)
		}
	}
	return waiting
}

func confirm(waiting []*batch, offset uint64) {
	for _, w := range waiting {
		offset += uint64(len(w.data))
		w.offset <- offset - 1
		if w.cancel != nil {
			w.cancel()
		}
	}
}
