package keyed

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// RelayLimits bounds what a Relay takes from a peer.
type RelayLimits struct {
	// MaxAge is the age of a peer's page beyond which the relay reads from the log; 0 means any age.
	MaxAge time.Duration
	// Timeout limits a read from a peer; 0 leaves it to the client.
	Timeout time.Duration
}

// Relay is a track.KeyedLog that reads topics from a peer that follows the log itself, so
// that not every process of a zone reads from the log. If there is no such peer, or it
// fails or its records may be out of date, the relay reads from the log. It is safe for
// concurrent use.
type Relay struct {
	log    track.KeyedLog
	peer   func() (track.KeyedLog, bool)
	limits RelayLimits
	clock  clockwork.Clock
}

var _ track.KeyedLog = (*Relay)(nil)

// NewRelay returns a relay in front of a log. Peer returns the peer to read from, or false
// if there is none.
func NewRelay(
	log track.KeyedLog, peer func() (track.KeyedLog, bool), limits RelayLimits, clock clockwork.Clock,
) *Relay {
	return &Relay{log: log, peer: peer, limits: limits, clock: clock}
}

// Newest implements track.KeyedLog.
func (r *Relay) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	return r.read(ctx, func(ctx context.Context, log track.KeyedLog) (track.KeyedPage, error) {
		return log.Newest(ctx, topic, after)
	})
}

// Read implements track.KeyedLog.
func (r *Relay) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	return r.read(ctx, func(ctx context.Context, log track.KeyedLog) (track.KeyedPage, error) {
		return log.Read(ctx, topic, from, wait)
	})
}

// readFunc reads a page from a log.
type readFunc func(context.Context, track.KeyedLog) (track.KeyedPage, error)

// read reads a page from the peer, and from the log if the peer fails other than by reporting
// expired records, or if its page is too old.
func (r *Relay) read(ctx context.Context, readPage readFunc) (track.KeyedPage, error) {
	if peer, ok := r.peer(); ok {
		page, err := r.readPeer(ctx, peer, readPage)
		if err == nil && !r.tooOld(page) || track.IsKind(err, track.Expired) {
			return page, err
		}
	}
	return readPage(ctx, r.log)
}

func (r *Relay) readPeer(ctx context.Context, peer track.KeyedLog, readPage readFunc) (track.KeyedPage, error) {
	if r.limits.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, r.clock, r.limits.Timeout)
		defer cancel()
	}
	return readPage(ctx, peer)
}

// tooOld reports whether a page of a peer may be out of date.
func (r *Relay) tooOld(page track.KeyedPage) bool {
	return r.limits.MaxAge > 0 && page.Age != nil && *page.Age > r.limits.MaxAge
}

// Put implements track.KeyedLog. It writes to the log itself.
func (r *Relay) Put(ctx context.Context, topic, key string, value []byte) error {
	return r.log.Put(ctx, topic, key, value)
}
