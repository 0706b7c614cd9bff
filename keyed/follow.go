package keyed

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// minBackoff and maxBackoff are the first and the longest pause after a failed read.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// peerReadInterval is the shortest time between two reads from peers.
	peerReadInterval = 200 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Topic string
	Log   track.KeyedLog
	// Peers returns the mirrors of peers. The first that answers is read when NotifyPeerOffset
	// reports that a peer is ahead, for example while the platform's log doesn't answer.
	Peers func() []track.KeyedLog
	// LongPollTimeout is how long a read waits for new records. PollInterval is the time between
	// two reads. One of them is set. PollInterval doubles after each successful read, up to
	// MaxPollInterval if that is set.
	LongPollTimeout time.Duration
	PollInterval    time.Duration
	MaxPollInterval time.Duration
	// Apply is called with new records in the order of the log. Run and RunPeerSync both call
	// it, each from one goroutine.
	Apply  func([]track.KeyedRecord)
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Follower keeps a mirror of a topic up to date. Its methods are safe for concurrent use.
type Follower struct {
	options   Options
	mirror    *Mirror
	peerAhead chan struct{}
	outage    outage
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, mirror: NewMirror(), peerAhead: make(chan struct{}, 1)}
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

// NotifyPeerOffset tells the follower that a peer has read the topic up to an offset. If that is
// ahead of the mirror, RunPeerSync reads from a peer.
func (f *Follower) NotifyPeerOffset(end uint64) {
	if end <= f.mirror.End() {
		return
	}
	select {
	case f.peerAhead <- struct{}{}:
	default:
	}
}

// Run follows the log until the context ends, and returns the context's cause.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	loaded := false
	from := uint64(0)
	readPause := f.options.PollInterval
	for {
		var err error
		if loaded {
			from, err = f.read(ctx, from)
		} else {
			from, err = f.load(ctx)
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause := readPause
		switch {
		case err == nil:
			f.recordAnswer()
			readPause = max(readPause, min(2*readPause, f.options.MaxPollInterval))
			loaded, backoff = true, minBackoff
		case track.IsKind(err, track.Expired):
			f.options.Logger.Info("history expired, reading the newest records",
				zap.String("Topic", f.options.Topic), zap.Uint64("From", from))
			loaded, pause = false, 0
		default:
			f.recordFailure(err)
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

// load reads the newest record of each key and returns the offset at which to read on.
// The pages are not a snapshot, so this is the end of the topic at the first page.
func (f *Follower) load(ctx context.Context) (uint64, error) {
	var records []track.KeyedRecord
	after, end := "", uint64(0)
	for first := true; ; first = false {
		page, err := f.options.Log.Newest(ctx, f.options.Topic, after)
		if err != nil {
			return 0, err
		}
		if first {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.apply(f.mirror.Replace(records, end))
	return end, nil
}

// read reads all records from an offset on and returns the offset at which to read on.
func (f *Follower) read(ctx context.Context, from uint64) (uint64, error) {
	for {
		page, err := f.options.Log.Read(ctx, f.options.Topic, from, f.options.LongPollTimeout)
		if err != nil {
			return from, err
		}
		f.apply(f.mirror.Add(page.Records, page.End))
		from = max(from, page.End)
		if !page.More {
			return from, nil
		}
	}
}

func (f *Follower) apply(changes []track.KeyedRecord) {
	if len(changes) > 0 {
		f.options.Apply(changes)
	}
}

// RunPeerSync reads from a peer each time NotifyPeerOffset reports one that is ahead of the mirror,
// until the context ends. It returns the context's cause.
func (f *Follower) RunPeerSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.peerAhead:
		}
		f.readPeers(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.options.Clock.After(peerReadInterval):
		}
	}
}

// readPeers adds the records of the first peer that answers.
func (f *Follower) readPeers(ctx context.Context) {
	for _, peer := range f.options.Peers() {
		page, complete, err := f.readPeer(ctx, peer)
		if err != nil {
			f.options.Logger.Info("failed to read from a peer", zap.String("Topic", f.options.Topic), zap.Error(err))
			continue
		}
		var changes []track.KeyedRecord
		if complete {
			changes = f.mirror.Replace(page.Records, page.End)
		} else {
			changes = f.mirror.Add(page.Records, page.End)
		}
		f.options.Logger.Info("news from peer", zap.String("Topic", f.options.Topic),
			zap.Uint64("End", page.End), zap.Int("Records", len(changes)))
		f.apply(changes)
		return
	}
}

// readPeer reads the records that the mirror lacks. Complete is set if the page holds the
// newest record of every key, which is read if the mirror isn't loaded or the peer no
// longer holds the records that follow.
func (f *Follower) readPeer(
	ctx context.Context, peer track.KeyedLog,
) (page track.KeyedPage, complete bool, err error) {
	if f.mirror.Loaded() {
		page, err = peer.Read(ctx, f.options.Topic, f.mirror.End(), 0)
		if err == nil || !track.IsKind(err, track.Expired) {
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
func (f *Follower) recordFailure(err error) {
	if f.outage.recordFailure(f.options.Clock.Now()) {
		f.options.Logger.Warn("log lost", zap.String("Topic", f.options.Topic), zap.Error(err))
	}
}
