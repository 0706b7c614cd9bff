// Package events splits streams of server-sent events into complete events and checks the
// order of their IDs.
package events

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"filberttrack.example/track"
)

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 1 << 20

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// TooLong means that an event exceeds MaxEventBytes.
	TooLong Kind = iota
	// OutOfOrder means that the numeric ID of an event is not the previous one plus 1.
	OutOfOrder
	// NotAnEvent means that the stream contains text that is no event.
	NotAnEvent
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case TooLong:
		return "too long"
	case NotAnEvent:
		return "not an event"
	case OutOfOrder:
	}
	return "out of order"
}

// Error is the error of this package.
type Error = track.OpError[Kind]

var (
	errUnterminated = errors.New("no blank line ends the event within the size limit")
	errNoField      = errors.New("none of the lines is a field or a comment")
)

// Splitter splits a stream into complete events. It is not safe for concurrent use.
type Splitter struct {
	// pending holds the bytes of the event that is not complete yet.
	pending []byte
	// lastNumber is the last numeric event ID; -1 before the first.
	lastNumber int64
	lastID     string
	count      int
	// withData is the number of complete events that have a data field.
	withData int
}

// New returns a splitter of a stream that starts after the event with the given ID,
// because the client already has the events up to it. The ID is empty for a stream from
// the first event on.
func New(lastEventID string) *Splitter {
	s := &Splitter{lastNumber: -1, lastID: lastEventID}
	if n, err := strconv.ParseInt(lastEventID, 10, 64); err == nil {
		s.lastNumber = n
	}
	return s
}

// LastID returns the ID of the last complete event that has one, or else the ID that was
// passed to New.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Count returns the number of complete events that have an ID.
func (s *Splitter) Count() int {
	return s.count
}

// CountWithData returns the number of complete events that have data. Comments, which servers send
// to keep a connection open, have none.
func (s *Splitter) CountWithData() int {
	return s.withData
}

// Partial reports whether the bytes added so far end inside an event.
func (s *Splitter) Partial() bool {
	return len(s.pending) > 0
}

// DiscardPartial discards the bytes of an incomplete event. It must be called before the
// stream is resumed from another replica.
func (s *Splitter) DiscardPartial() {
	s.pending = nil
}

// Add adds bytes of the stream and returns the events that they complete. The result is
// valid until the next call. On an error, the events returned along with it are still
// valid. The error is of kind TooLong, OutOfOrder or NotAnEvent.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	completeLen := 0
	for {
		end := eventEnd(s.pending[completeLen:])
		if end < 0 {
			break
		}
		if err := s.checkOrder(s.pending[completeLen : completeLen+end]); err != nil {
			out := s.pending[:completeLen:completeLen]
			s.pending = nil
			return out, err
		}
		completeLen += end
	}
	out := s.pending[:completeLen:completeLen]
	s.pending = s.pending[completeLen:]
	if len(s.pending) > MaxEventBytes {
		return out, track.Fail("split events", TooLong, errUnterminated)
	}
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return out, nil
}

// eventEnd returns the length of the first event, including the blank line that ends it,
// or -1 if it is incomplete.
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

// dataField begins the data of an event on its first line, and dataLine on a later one.
var (
	dataField = []byte("data")
	dataLine  = []byte("\ndata")
)

// checkOrder records the ID of an event and whether it has data, and checks that numeric IDs
// increase by 1. It fails if the event has no field.
func (s *Splitter) checkOrder(event []byte) error {
	if !hasField(event) {
		return track.Fail("split events", NotAnEvent, errNoField)
	}
	if bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine) {
		s.withData++
	}
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if s.lastNumber >= 0 && n != s.lastNumber+1 {
			return track.Fail("split events", OutOfOrder, fmt.Errorf("event %d follows event %d", n, s.lastNumber))
		}
		s.lastNumber = n
	}
	s.lastID = id
	s.count++
	return nil
}

// hasField reports whether one of the lines is a field or a comment, or all are empty.
func hasField(event []byte) bool {
	empty := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data", "id", "event", "retry":
			return true
		case "":
			if len(line) > 0 {
				return true
			}
		default:
			empty = false
		}
	}
	return empty
}

// eventID returns the value of the event's id field, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
