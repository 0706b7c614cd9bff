package ledger

import (
	"context"

	"filberttrack.example/track"
)

// Attempt is an attempt that the ledger knows. Its methods must be called only by the
// goroutine that runs the attempt, which must end it by one call of Finish or MarkNotStarted.
type Attempt struct {
	ledger  *Ledger
	ref     track.AttemptRef
	key     idempotencyKey
	state   track.AttemptState
	endedAt track.Stamp
	// done is closed once the attempt is barred or done.
	done chan struct{}

	// frames holds the answer, size its size in bytes. discarded is set if the answer
	// was too large to be stored.
	frames    []track.Frame
	size      int
	discarded bool
}

// StoreFrame stores a frame of the answer if the attempt is keyed. An answer that becomes
// larger than Settings.MaxAnswerBytes is discarded.
func (a *Attempt) StoreFrame(f track.Frame) {
	if !a.ref.HasClaim || a.discarded {
		return
	}
	a.size += frameSize(f)
	if a.size > a.ledger.settings.MaxAnswerBytes {
		a.discarded = true
		a.frames = nil
		return
	}
	a.frames = append(a.frames, f)
}

// Finish records that the attempt ended and that the backend server may have started it.
func (a *Attempt) Finish() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.ledger.end(a, track.AttemptDone)
	a.ledger.answers.add(a)
}

// MarkNotStarted records that the attempt ended and that the backend server certainly never
// received it. The attempt is barred from then on, and its key may be used again.
func (a *Attempt) MarkNotStarted() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.frames = nil
	a.ledger.end(a, track.AttemptBarred)
	if a.ref.HasClaim {
		delete(a.ledger.attemptsByKey, a.key)
	}
}

// refuseDuplicate returns the result for another copy of the dispatch.
func (a *Attempt) refuseDuplicate() AdmitResult {
	if a.state == track.AttemptBarred {
		return AdmitResult{Refusal: track.RefusedBarred, Outcome: track.NotRun}
	}
	return AdmitResult{Refusal: track.RefusedDuplicate}
}

// Answer waits for the end of a keyed attempt and returns its stored answer. Its errors
// are of type *Error; each Kind says when it is returned.
func (l *Ledger) Answer(ctx context.Context, ref track.AttemptRef) ([]track.Frame, error) {
	const op = "read answer of attempt"
	attempt := l.find(ref)
	if attempt == nil {
		return nil, track.Fail(op, Forgotten, nil)
	}
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, track.Fail(op, Canceled, context.Cause(ctx))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case attempt.state == track.AttemptBarred:
		return nil, track.Fail(op, Barred, nil)
	case len(attempt.frames) == 0:
		return nil, track.Fail(op, AnswerNotStored, nil)
	}
	return attempt.frames, nil
}

// find returns the attempt; nil if the ledger doesn't know it.
func (l *Ledger) find(ref track.AttemptRef) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwn(ref) {
		return nil
	}
	return l.tableFor(ref.HasClaim).attempts[ref.ID]
}

// answerStore limits the total size of the stored answers. It drops the oldest first.
type answerStore struct {
	maxBytes  int
	usedBytes int
	attempts  []*Attempt
}

// add stores the answer of an attempt, if it has one.
func (s *answerStore) add(a *Attempt) {
	if len(a.frames) == 0 {
		return
	}
	s.usedBytes += a.size
	s.attempts = append(s.attempts, a)
	for s.usedBytes > s.maxBytes {
		s.remove(s.attempts[0])
	}
}

// remove drops the answer of an attempt, if it is stored. It only has to look at the
// oldest, because answers are stored and removed in the order in which attempts end.
func (s *answerStore) remove(a *Attempt) {
	if len(s.attempts) == 0 || s.attempts[0] != a {
		return
	}
	s.attempts[0] = nil
	s.attempts = s.attempts[1:]
	s.usedBytes -= a.size
	a.frames = nil
}

// frameSize returns the size of a frame that counts towards the limits, in bytes.
func frameSize(f track.Frame) int {
	size := len(f.Data) + len(f.Fault)
	for name, values := range f.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
