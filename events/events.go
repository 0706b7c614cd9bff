// Package events splits event streams into whole events and checks their order.
package events

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"filberttrack.example/track"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// TooLong means that an event exceeds MaxEventBytes.
	TooLong Kind = iota
	// OutOfOrder means that an event doesn't follow the one before it.
	OutOfOrder
)

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == TooLong {
		return "too long"
	}
	return "out of order"
}

// Error is the error of this package.
type Error = track.OpError[Kind]

var errNoEnd = errors.New("event has no end")

// Splitter cuts a stream into whole events. It is not safe for concurrent use.
type Splitter struct {
	pending []byte
	// last is the number of the last event that was returned; -1 before the first.
	last   int64
	lastID string
	count  int
}

// New returns a splitter of a stream whose client has the events up to an ID; the
// ID is empty for a whole stream.
func New(after string) *Splitter {
	s := &Splitter{last: -1, lastID: after}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.last = n
	}
	return s
}

// LastID returns the ID of the last event that was returned.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Count returns the number of events returned.
func (s *Splitter) Count() int {
	return s.count
}

// Partial reports whether the stream stopped inside an event.
func (s *Splitter) Partial() bool {
	return len(s.pending) > 0
}

// DropPartial forgets the bytes of an event that didn't end, before the stream is
// continued from another replica.
func (s *Splitter) DropPartial() {
	s.pending = nil
}

// Add takes bytes and returns the whole events that they complete. The result is
// valid until the next call. After an error the events returned are still good.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	done := 0
	for {
		end := eventEnd(s.pending[done:])
		if end < 0 {
			break
		}
		if err := s.check(s.pending[done : done+end]); err != nil {
			out := s.pending[:done:done]
			s.pending = nil
			return out, err
		}
		done += end
	}
	out := s.pending[:done:done]
	s.pending = s.pending[done:]
	if len(s.pending) > MaxEventBytes {
		return out, track.Fail("split events", TooLong, errNoEnd)
	}
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return out, nil
}

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(data []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(data[start:], '\n')
		if i < 0 {
			return -1
		}
		line := data[start : start+i]
		start += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start
		}
	}
}

// check reads the ID of an event. IDs that are numbers must rise by one.
func (s *Splitter) check(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if s.last >= 0 && n != s.last+1 {
			return track.Fail("split events", OutOfOrder, fmt.Errorf("event %d follows event %d", n, s.last))
		}
		s.last = n
	}
	s.lastID = id
	s.count++
	return nil
}

// eventID returns the value of the event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
