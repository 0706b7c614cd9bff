package keyed

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Relay reads topics from a peer that follows the log itself, so that the processes
// of a zone don't all ask the log. Without such a peer, or if it fails, it reads the
// log. It is safe for concurrent use.
type Relay struct {
	log   track.KeyedLog
	peer  func() (track.KeyedLog, bool)
	clock clockwork.Clock

	mu sync.Mutex
	// answered is the time of the latest answer of the log itself.
	answered time.Time
}

var _ track.KeyedLog = (*Relay)(nil)

// NewRelay returns a relay. Peer returns the peer to read from, if there is one.
func NewRelay(log track.KeyedLog, peer func() (track.KeyedLog, bool), clock clockwork.Clock) *Relay {
	return &Relay{log: log, peer: peer, clock: clock}
}

// Age returns the time since the log itself answered; false if it never did.
func (r *Relay) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.answered), !r.answered.IsZero()
}

// Newest implements track.KeyedLog.
func (r *Relay) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	return r.read(func(log track.KeyedLog) (track.KeyedPage, error) { return log.Newest(ctx, topic, after) })
}

// Read implements track.KeyedLog.
func (r *Relay) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	return r.read(func(log track.KeyedLog) (track.KeyedPage, error) { return log.Read(ctx, topic, from, wait) })
}

func (r *Relay) read(from func(track.KeyedLog) (track.KeyedPage, error)) (track.KeyedPage, error) {
	if peer, ok := r.peer(); ok {
		if page, err := from(peer); err == nil || track.IsKind(err, track.Expired) {
			return page, err
		}
	}
	page, err := from(r.log)
	if err == nil {
		r.mu.Lock()
		r.answered = r.clock.Now()
		r.mu.Unlock()
	}
	return page, err
}

// Put implements track.KeyedLog.
func (r *Relay) Put(ctx context.Context, topic, key string, value []byte) error {
	return r.log.Put(ctx, topic, key, value)
}
