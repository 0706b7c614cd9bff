package keyed

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberttrack.example/track"
)

// lostReadGrace is the time that the answer to a pending read may take longer than the same
// records took on another way. A slow log takes a few hundred milliseconds.
const lostReadGrace = 500 * time.Millisecond

// errLostRead cancels a pending read whose answer is lost.
var errLostRead = errors.New("the log has lost the answer to a pending read")

// progress records the pending read of a topic, and when the mirror last held all records. A
// read that waits for records doesn't show the latter: the log may lose its answer while the
// connection stays sound. It is safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// pending is the read that waits for records; nil if there is none.
	pending *pendingRead
	// confirmedAt is the latest time at which the mirror is known to have held all records of
	// the topic; zero if it never was.
	confirmedAt time.Time
	// failedAt is when a read last failed; zero if none did.
	failedAt time.Time
}

// pendingRead is a read that the log has not answered yet.
type pendingRead struct {
	from   track.LogPosition
	sentAt time.Time
	cancel context.CancelCauseFunc
	// aheadSince is when the mirror was first seen to hold records that the read waits for;
	// zero before.
	aheadSince time.Time
}

// start records that a read was sent.
func (p *progress) start(read *pendingRead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = read
}

// end records that the pending read has ended.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = nil
}

// pendingSince returns when the pending read was sent; zero if there is none.
func (p *progress) pendingSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		return time.Time{}
	}
	return p.pending.sentAt
}

// confirm records that the mirror holds all records that the topic had at the given time.
func (p *progress) confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// confirmed returns the latest time at which the mirror held all records; zero if it never did.
func (p *progress) confirmed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// fail records that a read failed.
func (p *progress) fail(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = now
}

// cancelLost cancels the pending read if its answer must be lost: the mirror has held records
// that it waits for since lostReadGrace, or other reads have failed and succeeded again since it
// was sent. It returns the read, or nil if none was canceled.
func (p *progress) cancelLost(now time.Time, position track.LogPosition) *pendingRead {
	p.mu.Lock()
	defer p.mu.Unlock()
	read := p.pending
	if read == nil {
		return nil
	}
	if read.aheadSince.IsZero() && position.After(read.from) {
		read.aheadSince = now
	}
	overtaken := !read.aheadSince.IsZero() && now.Sub(read.aheadSince) >= lostReadGrace
	outlived := p.failedAt.After(read.sentAt) && p.confirmedAt.After(p.failedAt)
	if !overtaken && !outlived {
		return nil
	}
	p.pending = nil
	read.cancel(errLostRead)
	return read
}
