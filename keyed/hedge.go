package keyed

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

const (
	// hedgeDelay is the time without an answer after which a read is sent again. A slow log takes a
	// few hundred milliseconds.
	hedgeDelay = time.Second
	// maxHedgedReads is the maximum number of times that a read is sent.
	maxHedgedReads = 3
)

// Hedge is a track.KeyedLog that sends a read again while the log doesn't answer it, and takes the
// first answer. A log that was unavailable for a moment may never answer the reads of that time.
// Reads that wait for records are sent once. It is safe for concurrent use.
type Hedge struct {
	track.KeyedLog
	clock clockwork.Clock
}

// NewHedge returns a Hedge in front of a log.
func NewHedge(log track.KeyedLog, clock clockwork.Clock) *Hedge {
	return &Hedge{KeyedLog: log, clock: clock}
}

// Newest implements track.KeyedLog.
func (h *Hedge) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	return h.first(ctx, func(ctx context.Context) (track.KeyedPage, error) { return h.KeyedLog.Newest(ctx, topic, after) })
}

// Read implements track.KeyedLog.
func (h *Hedge) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	if wait > 0 {
		return h.KeyedLog.Read(ctx, topic, from, wait)
	}
	return h.first(ctx, func(ctx context.Context) (track.KeyedPage, error) { return h.KeyedLog.Read(ctx, topic, from, 0) })
}

// hedgedResult is the result of one of several equal reads.
type hedgedResult struct {
	page track.KeyedPage
	err  error
}

// readSafely returns the result of a read. A panic fails the read: it would end the process, as no supervisor
// runs this goroutine.
func readSafely(
	ctx context.Context, read func(context.Context) (track.KeyedPage, error),
) (result hedgedResult) {
	defer func() {
		if cause := recover(); cause != nil {
			result.err = track.Fail("read log", track.Internal, fmt.Errorf("panic: %v\n%s", cause, debug.Stack()))
		}
	}()
	result.page, result.err = read(ctx)
	return result
}

// first sends the read, and again after each hedgeDelay, until one of them ends. It returns that
// one's result once the others have ended, too.
func (h *Hedge) first(
	ctx context.Context, read func(context.Context) (track.KeyedPage, error),
) (track.KeyedPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan hedgedResult)
	sent := 0
	send := func() {
		sent++
		go func() { results <- readSafely(ctx, read) }()
	}
	send()
	ticker := h.clock.NewTicker(hedgeDelay)
	defer ticker.Stop()
	for {
		select {
		case result := <-results:
			cancel()
			for range sent - 1 {
				<-results
			}
			return result.page, result.err
		case <-ticker.Chan():
			if sent < maxHedgedReads {
				send()
			}
		}
	}
}
