package keyed

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Relay is a track.KeyedLog that reads topics from a peer that follows the log itself, so
// that not every process of a zone reads from the log. If there is no such peer, or it
// fails, the relay reads from the log. It is safe for concurrent use.
type Relay struct {
	log   track.KeyedLog
	peer  func() (track.KeyedLog, bool)
	clock clockwork.Clock

	mu sync.Mutex
	// lastLogAnswer is the time at which the log itself answered last.
	lastLogAnswer time.Time
}

var _ track.KeyedLog = (*Relay)(nil)

// NewRelay returns a relay in front of a log. Peer returns the peer to read from, or false
// if there is none.
func NewRelay(log track.KeyedLog, peer func() (track.KeyedLog, bool), clock clockwork.Clock) *Relay {
	return &Relay{log: log, peer: peer, clock: clock}
}

// LogAge returns the time since the log itself, not a peer, answered last; false if it never
// did.
func (r *Relay) LogAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.lastLogAnswer), !r.lastLogAnswer.IsZero()
}

// Newest implements track.KeyedLog.
func (r *Relay) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	return r.read(func(log track.KeyedLog) (track.KeyedPage, error) { return log.Newest(ctx, topic, after) })
}

// Read implements track.KeyedLog.
func (r *Relay) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	return r.read(func(log track.KeyedLog) (track.KeyedPage, error) { return log.Read(ctx, topic, from, wait) })
}

// read calls readPage with the peer, and with the log if the peer fails other than by
// reporting expired records.
func (r *Relay) read(readPage func(track.KeyedLog) (track.KeyedPage, error)) (track.KeyedPage, error) {
	if peer, ok := r.peer(); ok {
		if page, err := readPage(peer); err == nil || track.IsKind(err, track.Expired) {
			return page, err
		}
	}
	page, err := readPage(r.log)
	if err == nil {
		r.mu.Lock()
		r.lastLogAnswer = r.clock.Now()
		r.mu.Unlock()
	}
	return page, err
}

// Put implements track.KeyedLog. It writes to the log itself.
func (r *Relay) Put(ctx context.Context, topic, key string, value []byte) error {
	return r.log.Put(ctx, topic, key, value)
}
