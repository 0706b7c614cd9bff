package ledger

import (
	"context"

	"filberttrack.example/track"
)

// Attempt is an attempt that the ledger knows. Its methods are called by the
// one goroutine that runs the attempt, which ends it by Done or Abort.
type Attempt struct {
	ledger  *Ledger
	ref     track.AttemptRef
	key     workKey
	state   track.AttemptState
	endedAt track.Stamp
	// done is closed once the attempt is barred or done.
	done chan struct{}

	frames    []track.Frame
	size      int
	discarded bool
}

// Keep stores a frame of the answer if the attempt is keyed. An answer that
// outgrows its bound is discarded.
func (a *Attempt) Keep(f track.Frame) {
	if !a.ref.Keyed || a.discarded {
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

// Done records that the attempt ended after the backend server may have started
// it.
func (a *Attempt) Done() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.ledger.end(a, track.AttemptDone)
	a.ledger.answers.add(a)
}

// Abort records that the backend server certainly never received the attempt.
// It is barred from then on.
func (a *Attempt) Abort() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.frames = nil
	a.ledger.end(a, track.AttemptBarred)
	if a.ref.Keyed {
		delete(a.ledger.owners, a.key)
	}
}

func (a *Attempt) refuse() Verdict {
	if a.state == track.AttemptBarred {
		return Verdict{Refusal: track.RefusedBarred, Outcome: track.NotRun}
	}
	return Verdict{Refusal: track.RefusedDuplicate}
}

// Answer waits for the end of a keyed attempt and returns its stored answer.
func (l *Ledger) Answer(ctx context.Context, ref track.AttemptRef) ([]track.Frame, error) {
	const op = "answer attempt"
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
		return nil, track.Fail(op, NotKept, nil)
	}
	return attempt.frames, nil
}

func (l *Ledger) find(ref track.AttemptRef) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owns(ref) {
		return nil
	}
	return l.tableOf(ref.Keyed).attempts[ref.ID]
}

// shelf bounds the stored answers together, and drops the oldest first.
type shelf struct {
	limit  int
	used   int
	stored []*Attempt
}

func (s *shelf) add(a *Attempt) {
	if len(a.frames) == 0 {
		return
	}
	s.used += a.size
	s.stored = append(s.stored, a)
	for s.used > s.limit {
		s.remove(s.stored[0])
	}
}

// remove drops the answer of an attempt. Answers are stored and removed in the
// order of the attempts' ends.
func (s *shelf) remove(a *Attempt) {
	if len(s.stored) == 0 || s.stored[0] != a {
		return
	}
	s.stored[0] = nil
	s.stored = s.stored[1:]
	s.used -= a.size
	a.frames = nil
}

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
