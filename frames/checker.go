// Package frames checks that the frames of a response arrive in order and complete.
// It also builds the request that continues an interrupted text generation on another
// replica, from the text that the client has already received.
package frames

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
)

// DropCounters counts dropped frames by the reason for which they were dropped.
type DropCounters struct {
	counters [Malformed + 1]*metrics.Counter
}

// NewDropCounters returns the drop counters registered in the metrics set.
func NewDropCounters(set *metrics.Set) *DropCounters {
	d := &DropCounters{}
	for kind := range d.counters {
		name := fmt.Sprintf("frames_dropped_total{kind=%q}", Kind(kind))
		d.counters[kind] = set.GetOrCreateCounter(name)
	}
	return d
}

// Count returns the number of frames dropped for the given reason. The kind must be one of
// the first five.
func (d *DropCounters) Count(kind Kind) uint64 {
	return d.counters[kind].Get()
}

// Checker accepts the frames of one attempt in sequence and rejects all others. It is not
// safe for concurrent use.
type Checker struct {
	id       track.AttemptID
	drops    *DropCounters
	nextSeq  uint64
	complete bool
}

// NewChecker returns a checker for the frames of one attempt. It counts rejected frames in
// drops.
func NewChecker(id track.AttemptID, drops *DropCounters) *Checker {
	return &Checker{id: id, drops: drops}
}

// Accept reports whether the frame is the next one of the response. The caller has to drop
// a frame that isn't accepted; Accept counts it.
func (c *Checker) Accept(f track.Frame) bool {
	if reason, drop := c.dropReason(f); drop {
		c.drops.counters[reason].Inc()
		return false
	}
	c.nextSeq++
	c.complete = f.Kind == track.FrameFinal
	return true
}

// Complete reports whether the final frame was accepted.
func (c *Checker) Complete() bool {
	return c.complete
}

// dropReason returns why a frame has to be dropped, and false if it is the next one.
func (c *Checker) dropReason(f track.Frame) (Kind, bool) {
	switch {
	case f.ID != c.id:
		return WrongAttempt, true
	case f.Seq < c.nextSeq:
		return Duplicate, true
	case c.complete:
		return AfterFinal, true
	case f.Seq > c.nextSeq:
		return SequenceGap, true
	case !c.validPosition(f.Kind):
		return Malformed, true
	}
	return 0, false
}

// validPosition reports whether a frame of the kind may come next. The header comes first;
// a final frame may be the only frame of a response, a data frame may not.
func (c *Checker) validPosition(kind track.FrameKind) bool {
	switch kind {
	case track.FrameHeader:
		return c.nextSeq == 0
	case track.FrameData:
		return c.nextSeq > 0
	case track.FrameFinal:
		return true
	}
	return false
}

// Collect calls run and returns the frames of the whole response that it sends. The error is
// of kind Incomplete if run sent no final frame; it wraps the error of run, if any.
func Collect(
	id track.AttemptID, drops *DropCounters, run func(send track.FrameFunc) error,
) ([]track.Frame, error) {
	checker := NewChecker(id, drops)
	var response []track.Frame
	err := run(func(f track.Frame) error {
		if checker.Accept(f) {
			response = append(response, f)
		}
		return nil
	})
	if !checker.Complete() {
		return nil, track.Fail("collect frames", Incomplete, err)
	}
	return response, nil
}
