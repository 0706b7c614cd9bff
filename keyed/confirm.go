package keyed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// maxConfirmBackoff is the longest pause after a failed confirmation.
	maxConfirmBackoff = 600 * time.Millisecond
	// confirmTick is the longest time between two looks at the pending read and at the age of
	// the latest confirmation.
	confirmTick = 250 * time.Millisecond
)

// ConfirmedAt returns the latest time at which the mirror is known to have held all records of
// the topic; zero if it never was.
func (f *Follower) ConfirmedAt() time.Time {
	return f.progress.confirmed()
}

// Age returns the time since the mirror is known to have held all records of the topic; false if it
// never was.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.progress.confirmed()
	return f.options.Clock.Since(at), !at.IsZero()
}

// confirmPage records that the mirror holds all records of the topic as of a page that was requested
// at the given time.
func (f *Follower) confirmPage(page track.KeyedPage, sentAt time.Time) {
	if page.Age != nil {
		sentAt = sentAt.Add(-*page.Age)
	}
	f.progress.confirm(sentAt)
}

// PendingSince returns when the read that waits for the log's answer was sent; zero if none
// waits.
func (f *Follower) PendingSince() time.Time {
	return f.progress.pendingSince()
}

// ConfirmByPeer tells the follower that the topic ended at a position at the given time, as a
// peer knows. It counts if the mirror has read as far.
func (f *Follower) ConfirmByPeer(position track.LogPosition, at time.Time) {
	own := f.mirror.Position()
	if f.mirror.Loaded() && own.Era == position.Era && own.Offset >= position.Offset {
		f.progress.confirm(at)
	}
}

// RunConfirm reads the topic without waiting for records when nothing has confirmed the mirror
// for the time that ConfirmAfter returns, and has Run send its pending read again if the answer
// is lost. It runs until the context ends, and returns the context's cause.
func (f *Follower) RunConfirm(ctx context.Context) error {
	backoff := minBackoff
	startedAt := f.options.Clock.Now()
	for {
		last := f.progress.confirmed()
		if last.IsZero() {
			last = startedAt
		}
		pause := min(confirmTick, f.options.ConfirmAfter()-f.options.Clock.Since(last))
		if pause <= 0 {
			pause = backoff
			if f.confirm(ctx) {
				pause, backoff = confirmTick, minBackoff
			} else {
				backoff = min(2*backoff, maxConfirmBackoff)
			}
		}
		f.cancelLostRead()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.options.Clock.After(pause):
		}
	}
}

// confirm reads the records that the mirror lacks, and reports whether the log answered.
func (f *Follower) confirm(ctx context.Context) bool {
	sentAt := f.options.Clock.Now()
	loaded := f.mirror.Loaded()
	var err error
	if loaded {
		_, err = f.read(ctx, f.mirror.Position(), 0)
	}
	if !loaded || track.IsKind(err, track.Expired) {
		_, err = f.load(ctx)
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.recordFailure(err, sentAt)
		return false
	}
	f.recordAnswer()
	return true
}

// cancelLostRead cancels the pending read if its answer must be lost. Run then reads on from the
// mirror's position.
func (f *Follower) cancelLostRead() {
	position := f.mirror.Position()
	if read := f.progress.cancelLost(f.options.Clock.Now(), position); read != nil {
		f.options.Logger.Warn("pending read lost", zap.String("Topic", f.options.Topic),
			zap.Int64("PendingMs", f.options.Clock.Since(read.sentAt).Milliseconds()),
			zap.Uint64("From", read.from.Offset), zap.Uint64("End", position.Offset))
	}
}
