package smooth_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/smooth"
)

var limits = smooth.Limits{Spacing: 108 * time.Millisecond, MaxDelay: 140 * time.Millisecond}

// TestPacerLongestPause checks the longest pause between deliveries, in ms, for the pauses in ms between an engine's
// events.
func TestPacerLongestPause(t *testing.T) {
	for _, c := range []struct {
		name   string
		pauses []int
		limits smooth.Limits
		want   int
	}{
		{"even stream", []int{60, 60, 60, 60, 60, 60}, limits, 108},
		{"three slow passes after a change in demand", []int{60, 60, 60, 60, 60, 150, 150, 150, 60}, limits, 108},
		{"three slow passes without delaying events", []int{60, 60, 60, 60, 60, 150, 150, 150, 60}, smooth.Limits{}, 150},
		{"one long pass", []int{60, 60, 60, 60, 240, 60}, limits, 108},
		{"pause too long to bridge", []int{60, 60, 60, 60, 500, 60}, limits, 360},
		{"second long pass once delays built up again", []int{60, 60, 60, 60, 240, 60, 60, 60, 60, 240, 60}, limits, 108},
		{"slow from the start", []int{150, 150, 150}, limits, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			pacer := smooth.NewPacer(c.limits)
			arrived := time.Unix(1, 0)
			last, longest := pacer.DeliveryTime(arrived), time.Duration(0)
			assert.Equal(t, last, arrived, "the first event is delivered at once")
			for _, pause := range c.pauses {
				arrived = arrived.Add(time.Duration(pause) * time.Millisecond)
				delivery := pacer.DeliveryTime(arrived)
				longest, last = max(longest, delivery.Sub(last)), delivery
			}
			assert.Equal(t, longest, time.Duration(c.want)*time.Millisecond)
		})
	}
}

// TestPacerProperties checks for any stream that no event is delivered before its arrival, later than MaxDelay after
// it, or out of order, and that no pause is longer than the larger of the stream's own pause and Spacing.
func TestPacerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := smooth.Limits{
			Spacing:  time.Duration(rapid.IntRange(0, 300).Draw(t, "spacing")) * time.Millisecond,
			MaxDelay: time.Duration(rapid.IntRange(0, 300).Draw(t, "hold")) * time.Millisecond,
		}
		pacer := smooth.NewPacer(l)
		arrived := time.Unix(1, 0)
		last := pacer.DeliveryTime(arrived)
		for _, pause := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 30).Draw(t, "pauses") {
			gap := time.Duration(pause) * time.Millisecond
			arrived = arrived.Add(gap)
			delivery := pacer.DeliveryTime(arrived)
			assert.Assert(t, !delivery.Before(arrived) && !delivery.After(arrived.Add(l.MaxDelay)))
			assert.Assert(t, !delivery.Before(last))
			assert.Assert(t, delivery.Sub(last) <= max(gap, l.Spacing))
			last = delivery
		}
	})
}

func TestPacedWriterWritesAllChunksInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var got []string
		o := smooth.NewPacedWriter(t.Context(), clockwork.NewRealClock(), limits, func(data []byte) error {
			got = append(got, fmt.Sprintf("%s@%d", data, time.Since(start).Milliseconds()))
			return nil
		})
		for i, pause := range []int{0, 60, 60, 60, 200} {
			time.Sleep(time.Duration(pause) * time.Millisecond)
			assert.Assert(t, o.Send(fmt.Append(nil, i)))
		}
		assert.NilError(t, o.Close())
		assert.DeepEqual(t, got, []string{"0@0", "1@108", "2@216", "3@320", "4@428"})
		assert.Equal(t, o.LongestGap(), 108*time.Millisecond)
		assert.Equal(t, o.LongestDelay(), 140*time.Millisecond)
	})
}

func TestPacedWriterStopsOnWriteErrorOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writeErr := errors.New("connection reset")
		o := smooth.NewPacedWriter(t.Context(), clockwork.NewRealClock(), limits, func([]byte) error { return writeErr })
		assert.Assert(t, o.Send([]byte("0")))
		synctest.Wait()
		assert.Assert(t, !o.Send([]byte("1")))
		assert.ErrorIs(t, o.Close(), writeErr)

		ctx, cancel := context.WithCancel(t.Context())
		o = smooth.NewPacedWriter(ctx, clockwork.NewRealClock(), limits, func([]byte) error { return nil })
		assert.Assert(t, o.Send([]byte("0")))
		assert.Assert(t, o.Send([]byte("1")))
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, o.Close(), context.Canceled)
	})
}

func ExamplePacer() {
	pacer := smooth.NewPacer(smooth.Limits{Spacing: 100 * time.Millisecond, MaxDelay: 90 * time.Millisecond})
	start := time.Unix(0, 0)
	for _, ms := range []int{0, 60, 120, 180, 350} {
		fmt.Println(ms, pacer.DeliveryTime(start.Add(time.Duration(ms)*time.Millisecond)).Sub(start))
	}
	// Output:
	// 0 0s
	// 60 100ms
	// 120 200ms
	// 180 270ms
	// 350 370ms
}
