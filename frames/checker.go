// Package frames checks the sequence of the frames of an answer, and continues
// an interrupted generation on another replica from the text that the caller has.
package frames

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
)

// Drops counts the frames that were dropped, by kind.
type Drops struct {
	counters [Malformed + 1]*metrics.Counter
}

// NewDrops returns counters in the set.
func NewDrops(set *metrics.Set) *Drops {
	d := &Drops{}
	for kind := range d.counters {
		name := fmt.Sprintf("frames_dropped_total{kind=%q}", Kind(kind))
		d.counters[kind] = set.GetOrCreateCounter(name)
	}
	return d
}

// Count returns the number of frames dropped of a kind.
func (d *Drops) Count(kind Kind) uint64 {
	return d.counters[kind].Get()
}

// Checker passes the frames of one attempt in order. It is not safe for
// concurrent use.
type Checker struct {
	id       track.AttemptID
	drops    *Drops
	next     uint64
	complete bool
}

// NewChecker returns a checker for the attempt.
func NewChecker(id track.AttemptID, drops *Drops) *Checker {
	return &Checker{id: id, drops: drops}
}

// Accept reports whether the frame is the next of the answer. All others are
// to be dropped; they are counted.
func (c *Checker) Accept(f track.Frame) bool {
	if kind, bad := c.fault(f); bad {
		c.drops.counters[kind].Inc()
		return false
	}
	c.next++
	c.complete = f.Kind == track.FrameFinal
	return true
}

// Complete reports whether the whole answer was passed.
func (c *Checker) Complete() bool {
	return c.complete
}

func (c *Checker) fault(f track.Frame) (Kind, bool) {
	switch {
	case f.ID != c.id:
		return Foreign, true
	case f.Seq < c.next:
		return Doubled, true
	case c.complete:
		return Late, true
	case f.Seq > c.next:
		return Early, true
	case !c.inPlace(f.Kind):
		return Malformed, true
	}
	return 0, false
}

// inPlace reports whether a frame of the kind may come next: the header comes
// first, and only a final frame may stand alone.
func (c *Checker) inPlace(kind track.FrameKind) bool {
	switch kind {
	case track.FrameHeader:
		return c.next == 0
	case track.FrameData:
		return c.next > 0
	case track.FrameFinal:
		return true
	}
	return false
}

// Collect gathers a whole answer. An error of kind Incomplete means that there was no final
// frame; it wraps the failure of run, if any.
func Collect(
	id track.AttemptID, drops *Drops, run func(send track.FrameFunc) error,
) ([]track.Frame, error) {
	checker := NewChecker(id, drops)
	var answer []track.Frame
	err := run(func(f track.Frame) error {
		if checker.Accept(f) {
			answer = append(answer, f)
		}
		return nil
	})
	if !checker.Complete() {
		return nil, track.Fail("collect frames", Incomplete, err)
	}
	return answer, nil
}
