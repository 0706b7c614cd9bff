package config

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/tail"
)

// The waits between appends of one change.
const (
	firstPublishWait = 250 * time.Millisecond
	maxPublishWait   = 4 * time.Second
)

// Check returns the verdict that a change would get now. Nothing is published.
func (s *Store) Check(c change.Change) (change.Decided, error) {
	var d change.Decided
	err := s.View(func(state *change.State) { d = state.Clone().Apply(c) })
	return d, err
}

// Publish appends a change and waits until its verdict has been read back. An
// append that failed or whose answer was lost is repeated until the context
// ends; the change ID makes sure that it counts once. An error of kind Unknown
// means that the change may still be accepted; publishing it again with the same
// ID gives the verdict.
func (s *Store) Publish(ctx context.Context, c change.Change) (change.Decided, error) {
	if s.o.Log == nil {
		return change.Decided{}, track.Fail("publish", ReadOnly, errors.New("this instance has no access to the log"))
	}
	data, err := change.EncodeChange(c)
	if err != nil {
		return change.Decided{}, track.Fail("publish", Invalid, err)
	}
	rng := s.rand(uint64(s.o.Clock.Now().UnixNano()))
	for attempt := 1; ; attempt++ {
		offset, err := s.appender.Append(ctx, data)
		if err != nil {
			s.o.Logger.Warn("append of a change failed", zap.String("Change", c.ID), zap.Int("Attempt", attempt), zap.Error(err))
		}
		wait := tail.Jitter(rng, tail.Backoff(attempt, firstPublishWait, maxPublishWait))
		d, decided := s.awaitVerdict(ctx, c.ID, wait, err == nil, offset)
		if decided {
			return d, nil
		}
		if ctx.Err() != nil {
			return change.Decided{}, track.Fail("publish "+c.ID, Unknown, context.Cause(ctx))
		}
	}
}

// awaitVerdict waits for the decision on a change. After a failed append it
// gives up at the end of the wait; after a successful one only once the record
// has been passed without a decision.
func (s *Store) awaitVerdict(ctx context.Context, id string, wait time.Duration, appended bool, offset uint64) (change.Decided, bool) {
	timer := s.o.Clock.After(wait)
	s.reader.Wake()
	for {
		changed := s.Changed()
		if d, ok := s.find(id); ok {
			return d, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return change.Decided{}, false
		case <-timer:
			if !appended || s.passed(offset) {
				return s.find(id)
			}
			timer = s.o.Clock.After(wait)
			s.reader.Wake()
		}
	}
}

func (s *Store) passed(offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil && s.next > offset
}

func (s *Store) find(id string) (change.Decided, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return change.Decided{}, false
	}
	return s.state.FindDecision(id)
}
