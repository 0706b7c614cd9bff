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

// Limits of the backoff between appends of the same change.
const (
	minPublishBackoff = 250 * time.Millisecond
	maxPublishBackoff = 4 * time.Second
)

// DryRun returns the verdict that a change would get now. Nothing is published.
func (s *Store) DryRun(c change.Change) (change.Decision, error) {
	var d change.Decision
	err := s.View(func(state *change.State) { d = state.Clone().Apply(c) })
	return d, err
}

// Publish appends a change to the log and waits until its verdict has been read
// back. An append that failed or whose response was lost is retried until the
// context ends; the change ID ensures that the change takes effect once. An error
// of kind Unknown means that the change may still be accepted; publishing it
// again with the same ID returns the verdict. An error of kind Invalid or
// ReadOnly means that nothing was published.
func (s *Store) Publish(ctx context.Context, c change.Change) (change.Decision, error) {
	if s.options.Log == nil {
		return change.Decision{}, track.Fail("publish", ReadOnly, errors.New("this instance has no access to the log"))
	}
	data, err := change.EncodeChange(c)
	if err != nil {
		return change.Decision{}, track.Fail("publish", Invalid, err)
	}
	rng := s.newRand(uint64(s.options.Clock.Now().UnixNano()))
	for attempt := 1; ; attempt++ {
		offset, err := s.appender.Append(ctx, data)
		if err != nil {
			s.options.Logger.Warn("append of a change failed",
				zap.String("Change", c.ID), zap.Int("Attempt", attempt), zap.Error(err))
		}
		wait := tail.Jitter(rng, tail.Backoff(attempt, minPublishBackoff, maxPublishBackoff))
		d, decided := s.awaitVerdict(ctx, c.ID, wait, err == nil, offset)
		if decided {
			return d, nil
		}
		if ctx.Err() != nil {
			return change.Decision{}, track.Fail("publish "+c.ID, Unknown, context.Cause(ctx))
		}
	}
}

// awaitVerdict waits for the decision on a change. After a failed append it
// returns at the end of the wait. After a successful append it also keeps waiting
// until the log has been read past the record's offset.
func (s *Store) awaitVerdict(
	ctx context.Context, id string, wait time.Duration, appended bool, offset uint64,
) (change.Decision, bool) {
	timer := s.options.Clock.After(wait)
	s.reader.ReadNow()
	for {
		changed := s.Changed()
		if d, ok := s.findDecision(id); ok {
			return d, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return change.Decision{}, false
		case <-timer:
			if !appended || s.hasReadPast(offset) {
				return s.findDecision(id)
			}
			timer = s.options.Clock.After(wait)
			s.reader.ReadNow()
		}
	}
}

func (s *Store) hasReadPast(offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil && s.nextOffset > offset
}

func (s *Store) findDecision(id string) (change.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return change.Decision{}, false
	}
	return s.state.FindDecision(id)
}
