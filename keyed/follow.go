package keyed

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// nudgeBackoff is the least time between two reads from peers.
	nudgeBackoff = 200 * time.Millisecond
)

// Options holds what a Follower is made of.
type Options struct {
	Topic string
	Log   track.KeyedLog
	// Peers returns logs served by peers, to be asked while the platform's log
	// doesn't answer.
	Peers func() []track.KeyedLog
	// Wait is the time for which a read waits for news; Pause the time between two
	// reads. One of them is set. The pause doubles after each read up to MaxPause, if
	// that is set.
	Wait     time.Duration
	Pause    time.Duration
	MaxPause time.Duration
	// Apply takes news in order. It is called from one goroutine at a time.
	Apply  func([]track.KeyedRecord)
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Follower keeps a mirror of a topic up to date. Its methods are safe for
// concurrent use.
type Follower struct {
	options Options
	mirror  *Mirror
	nudges  chan struct{}
	state   state
}

// New returns a follower that has read nothing.
func New(options Options) *Follower {
	return &Follower{options: options, mirror: NewMirror(), nudges: make(chan struct{}, 1)}
}

// Mirror returns the records read so far.
func (f *Follower) Mirror() *Mirror {
	return f.mirror
}

// Away reports since when the log hasn't answered, and the time of its return if
// it does again. Both are zero if it never failed.
func (f *Follower) Away() (since, returned time.Time) {
	return f.state.get()
}

// Heard tells that a peer has read the topic up to an offset.
func (f *Follower) Heard(end uint64) {
	if end <= f.mirror.End() {
		return
	}
	select {
	case f.nudges <- struct{}{}:
	default:
	}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	positioned := false
	from := uint64(0)
	usual := f.options.Pause
	for {
		var err error
		if positioned {
			from, err = f.read(ctx, from)
		} else {
			from, err = f.load(ctx)
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		pause := usual
		switch {
		case err == nil:
			f.answered()
			usual = max(usual, min(2*usual, f.options.MaxPause))
			positioned, backoff = true, minBackoff
		case track.IsKind(err, track.Expired):
			f.options.Logger.Info("history expired, reading the newest records",
				zap.String("Topic", f.options.Topic), zap.Uint64("From", from))
			positioned, pause = false, 0
		default:
			f.failed(err)
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

// load reads the newest record of each key. Pages are not a snapshot, so the read
// that follows begins where the first page ended.
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

func (f *Follower) read(ctx context.Context, from uint64) (uint64, error) {
	for {
		page, err := f.options.Log.Read(ctx, f.options.Topic, from, f.options.Wait)
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

func (f *Follower) apply(news []track.KeyedRecord) {
	if len(news) > 0 {
		f.options.Apply(news)
	}
}

// RunPeers reads from peers while the log doesn't answer, and whenever one of
// them is ahead, until the context ends.
func (f *Follower) RunPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.nudges:
		}
		f.ask(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.options.Clock.After(nudgeBackoff):
		}
	}
}

// ask takes the news of the first peer that answers.
func (f *Follower) ask(ctx context.Context) {
	for _, peer := range f.options.Peers() {
		page, whole, err := f.fetch(ctx, peer)
		if err != nil {
			f.options.Logger.Info("peer has no news", zap.String("Topic", f.options.Topic), zap.Error(err))
			continue
		}
		var news []track.KeyedRecord
		if whole {
			news = f.mirror.Replace(page.Records, page.End)
		} else {
			news = f.mirror.Add(page.Records, page.End)
		}
		f.options.Logger.Info("news from peer", zap.String("Topic", f.options.Topic),
			zap.Uint64("End", page.End), zap.Int("Records", len(news)))
		f.apply(news)
		return
	}
}

func (f *Follower) fetch(ctx context.Context, peer track.KeyedLog) (page track.KeyedPage, whole bool, err error) {
	if f.mirror.Known() {
		page, err = peer.Read(ctx, f.options.Topic, f.mirror.End(), 0)
		if err == nil || !track.IsKind(err, track.Expired) {
			return page, false, err
		}
	}
	page, err = peer.Newest(ctx, f.options.Topic, "")
	return page, true, err
}

func (f *Follower) answered() {
	if f.state.answered(f.options.Clock.Now()) {
		f.options.Logger.Info("log regained", zap.String("Topic", f.options.Topic))
	}
}

func (f *Follower) failed(err error) {
	if f.state.failed(f.options.Clock.Now()) {
		f.options.Logger.Warn("log lost", zap.String("Topic", f.options.Topic), zap.Error(err))
	}
}
