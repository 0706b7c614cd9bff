package keyed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// minBackoff and maxBackoff are the first and the longest pause after a failed read.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// peerReadInterval is the shortest time between two reads from peers.
	peerReadInterval = 200 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Topic string
	Log   track.KeyedLog
	// Peers returns the mirrors of peers. They are read in this order when NotifyPeerPosition
	// reports that one is ahead, for example while the platform's log doesn't answer.
	Peers func() []track.KeyedLog
	// LongPollTimeout is how long a read waits for new records. PollInterval is the time between
	// two reads. One of them is set. PollInterval doubles after each successful read, up to
	// MaxPollInterval if that is set.
	LongPollTimeout time.Duration
	PollInterval    time.Duration
	MaxPollInterval time.Duration
	// GatherTime is the time after a read with new records until the next long poll, so that
	// records in quick succession are read together.
	GatherTime time.Duration
	// ConfirmAfter returns the time without a confirmation that the mirror is up to date after
	// which RunConfirm reads the topic. It is required by RunConfirm only.
	ConfirmAfter func() time.Duration
	// Apply is called with new records in the order of the log. Run, RunConfirm and RunPeerSync
	// call it, each from one goroutine.
	Apply func([]track.KeyedRecord)
	// ApplyRestored is called in place of Apply with the records of a new era of the log,
	// which may be older than those that Apply got before. Nil means Apply.
	ApplyRestored func([]track.KeyedRecord)
	Clock         clockwork.Clock
	Logger        *zap.Logger
}

// Follower keeps a mirror of a topic up to date. Its methods are safe for concurrent use.
type Follower struct {
	options   Options
	mirror    *Mirror
	peerAhead chan track.LogPosition
	outage    outage
	progress  progress
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, mirror: NewMirror(), peerAhead: make(chan track.LogPosition, 1)}
}

// Mirror returns the mirror of the topic.
func (f *Follower) Mirror() *Mirror {
	return f.mirror
}

// Outage returns the time since when the log hasn't answered, or zero while it answers, and
// the time at which it answered again after its latest outage, or zero if none has ended.
func (f *Follower) Outage() (since, returned time.Time) {
	return f.outage.times()
}

// NotifyPeerPosition tells the follower that a peer has read the topic up to a position. If that is
// ahead of the mirror, RunPeerSync reads from a peer.
func (f *Follower) NotifyPeerPosition(position track.LogPosition) {
	if !position.After(f.mirror.Position()) {
		return
	}
	select {
	case f.peerAhead <- position:
	default:
	}
}

// Run follows the log until the context ends, and returns the context's cause.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	loaded := false
	var from track.LogPosition
	readPause := f.options.PollInterval
	for {
		var err error
		before, sentAt := from, f.options.Clock.Now()
		readCtx, cancel := context.WithCancelCause(ctx)
		f.progress.start(&pendingRead{from: from, sentAt: sentAt, cancel: cancel})
		if loaded {
			from, err = f.read(readCtx, from, f.options.LongPollTimeout)
		} else {
			from, err = f.load(readCtx)
		}
		f.progress.end()
		lost := errors.Is(context.Cause(readCtx), errLostRead)
		cancel(nil)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause := readPause
		switch {
		case err == nil:
			f.recordAnswer()
			readPause = max(readPause, min(2*readPause, f.options.MaxPollInterval))
			if from != before {
				pause = max(pause, f.options.GatherTime)
			}
			loaded, backoff = true, minBackoff
		case lost:
			from, pause = f.mirror.Position(), 0
		case track.IsKind(err, track.Expired):
			f.options.Logger.Info("history expired, reading the newest records",
				zap.String("Topic", f.options.Topic), zap.Uint64("From", from.Offset), zap.Uint64("Era", from.Era), zap.Error(err))
			loaded, pause = false, 0
		default:
			f.recordFailure(err, sentAt)
			pause, backoff = backoff, min(2*backoff, maxBackoff)
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-f.options.Clock.After(pause):
			}
		}
	}
}

// load reads the newest record of each key and returns the position at which to read on.
// The pages are not a snapshot, so this is the end of the topic at the first page.
func (f *Follower) load(ctx context.Context) (track.LogPosition, error) {
	var whole track.KeyedPage
	sentAt := f.options.Clock.Now()
	after := ""
	for first := true; ; first = false {
		page, err := f.options.Log.Newest(ctx, f.options.Topic, after)
		if err != nil {
			return track.LogPosition{}, err
		}
		if first {
			whole.End, whole.Era, whole.Age = page.End, page.Era, page.Age
		}
		if known := f.mirror.Position().Era; page.Era != whole.Era || page.Era < known {
			return track.LogPosition{}, eraError(track.Unavailable, page.Era, max(whole.Era, known))
		}
		whole.Records = append(whole.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		last := page.Records[len(page.Records)-1].Key
		if last == after {
			// The call that should continue after a key that isn't text returned that key again. The records behind
			// it come with their next change.
			f.options.Logger.Error("newest records can't be read to the end", zap.String("Topic", f.options.Topic),
				zap.String("After", after))
			break
		}
		after = last
	}
	f.replace(whole)
	f.confirmPage(whole, sentAt)
	return track.LogPosition{Era: whole.Era, Offset: whole.End}, nil
}

// eraError returns the error for a page of an unexpected era.
func eraError(kind track.Kind, got, want uint64) error {
	return track.Fail("read log", kind, fmt.Errorf("the log is in era %d, not %d", got, want))
}

// read reads all records from a position on, waits for the first of them if there is none, and
// returns the position at which to read on. It fails with kind Expired if the log has entered
// another era.
func (f *Follower) read(ctx context.Context, from track.LogPosition, wait time.Duration) (track.LogPosition, error) {
	for {
		sentAt := f.options.Clock.Now()
		page, err := f.options.Log.Read(ctx, f.options.Topic, from.Offset, wait)
		if err != nil {
			return from, err
		}
		switch {
		case page.Era < from.Era:
			// A late response, or a peer that doesn't know of the new era yet.
			return from, eraError(track.Unavailable, page.Era, from.Era)
		case page.Era > from.Era:
			return from, eraError(track.Expired, page.Era, from.Era)
		}
		f.apply(f.mirror.Add(page))
		from.Offset = max(from.Offset, page.End)
		if !page.More {
			f.confirmPage(page, sentAt)
			return from, nil
		}
	}
}

// replace replaces the mirror's records and applies what has changed.
func (f *Follower) replace(page track.KeyedPage) int {
	restored := f.mirror.Loaded() && page.Era > f.mirror.Position().Era
	changes := f.mirror.Replace(page)
	if restored && f.options.ApplyRestored != nil {
		f.options.ApplyRestored(changes)
	} else {
		f.apply(changes)
	}
	return len(changes)
}

func (f *Follower) apply(changes []track.KeyedRecord) {
	if len(changes) > 0 {
		f.options.Apply(changes)
	}
}

// RunPeerSync reads from a peer each time NotifyPeerPosition reports one that is ahead of the mirror,
// until the context ends. It returns the context's cause.
func (f *Follower) RunPeerSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case position := <-f.peerAhead:
			f.readPeers(ctx, position)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.options.Clock.After(peerReadInterval):
		}
	}
}

// readPeers adds the records of one peer after the other until the mirror has reached the position
// that one of them has reported.
func (f *Follower) readPeers(ctx context.Context, position track.LogPosition) {
	for _, peer := range f.options.Peers() {
		if !position.After(f.mirror.Position()) {
			return
		}
		page, complete, err := f.readPeer(ctx, peer)
		if err != nil {
			f.options.Logger.Info("failed to read from a peer", zap.String("Topic", f.options.Topic), zap.Error(err))
			continue
		}
		before := f.mirror.Position()
		changed := 0
		if complete {
			changed = f.replace(page)
		} else {
			changes := f.mirror.Add(page)
			changed = len(changes)
			f.apply(changes)
		}
		if f.mirror.Position() != before {
			f.options.Logger.Info("news from peer", zap.String("Topic", f.options.Topic),
				zap.Uint64("End", page.End), zap.Uint64("Era", page.Era), zap.Int("Records", changed))
		}
	}
}

// readPeer reads the records that the mirror lacks. Complete is set if the page holds the
// newest record of every key, which is read if the mirror isn't loaded or the peer no
// longer holds the records that follow.
func (f *Follower) readPeer(
	ctx context.Context, peer track.KeyedLog,
) (page track.KeyedPage, complete bool, err error) {
	if f.mirror.Loaded() {
		position := f.mirror.Position()
		page, err = peer.Read(ctx, f.options.Topic, position.Offset, 0)
		if err == nil && page.Era == position.Era || err != nil && !track.IsKind(err, track.Expired) {
			return page, false, err
		}
	}
	page, err = peer.Newest(ctx, f.options.Topic, "")
	return page, true, err
}

// recordAnswer logs the end of an outage of the log.
func (f *Follower) recordAnswer() {
	if f.outage.recordAnswer(f.options.Clock.Now()) {
		f.options.Logger.Info("log regained", zap.String("Topic", f.options.Topic))
	}
}

// recordFailure logs the start of an outage of the log.
func (f *Follower) recordFailure(err error, sentAt time.Time) {
	now := f.options.Clock.Now()
	f.progress.fail(now)
	if f.outage.recordFailure(now) {
		f.options.Logger.Warn("log lost", zap.String("Topic", f.options.Topic),
			zap.Int64("PendingMs", now.Sub(sentAt).Milliseconds()), zap.Error(err))
	}
}
