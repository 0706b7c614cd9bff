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

var limits = smooth.Limits{Spacing: 108 * time.Millisecond, MaxHold: 140 * time.Millisecond}

// TestPauses gives pauses in which an engine makes events, in ms, and the longest
// pause that the client may see.
func TestPauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		made   []int
		limits smooth.Limits
		want   int
	}{
		{"an even stream", []int{60, 60, 60, 60, 60, 60}, limits, 108},
		{"three slow passes after a shift of the demand", []int{60, 60, 60, 60, 60, 150, 150, 150, 60}, limits, 108},
		{"the same without holding", []int{60, 60, 60, 60, 60, 150, 150, 150, 60}, smooth.Limits{}, 150},
		{"one long pass", []int{60, 60, 60, 60, 240, 60}, limits, 108},
		{"a pause too long to hide", []int{60, 60, 60, 60, 500, 60}, limits, 360},
		{"what is held builds up again", []int{60, 60, 60, 60, 240, 60, 60, 60, 60, 240, 60}, limits, 108},
		{"slow from the start", []int{150, 150, 150}, limits, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			pacer := smooth.NewPacer(c.limits)
			made := time.Unix(1, 0)
			last, longest := pacer.At(made), time.Duration(0)
			assert.Equal(t, last, made, "the first event isn't held")
			for _, pause := range c.made {
				made = made.Add(time.Duration(pause) * time.Millisecond)
				at := pacer.At(made)
				longest, last = max(longest, at.Sub(last)), at
			}
			assert.Equal(t, longest, time.Duration(c.want)*time.Millisecond)
		})
	}
}

// TestBounds checks for any stream that no event is early, held for too long or
// overtaken, and that holding makes no pause longer than the stream's own or the
// spacing.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := smooth.Limits{
			Spacing: time.Duration(rapid.IntRange(0, 300).Draw(t, "spacing")) * time.Millisecond,
			MaxHold: time.Duration(rapid.IntRange(0, 300).Draw(t, "hold")) * time.Millisecond,
		}
		pacer := smooth.NewPacer(l)
		made := time.Unix(1, 0)
		last := pacer.At(made)
		for _, pause := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 30).Draw(t, "pauses") {
			gap := time.Duration(pause) * time.Millisecond
			made = made.Add(gap)
			at := pacer.At(made)
			assert.Assert(t, !at.Before(made) && !at.After(made.Add(l.MaxHold)))
			assert.Assert(t, !at.Before(last))
			assert.Assert(t, at.Sub(last) <= max(gap, l.Spacing))
			last = at
		}
	})
}

func TestOutletDeliversAllInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var got []string
		o := smooth.NewOutlet(t.Context(), clockwork.NewRealClock(), limits, func(data []byte) error {
			got = append(got, fmt.Sprintf("%s@%d", data, time.Since(start).Milliseconds()))
			return nil
		})
		for i, pause := range []int{0, 60, 60, 60, 200} {
			time.Sleep(time.Duration(pause) * time.Millisecond)
			assert.Assert(t, o.Send(fmt.Append(nil, i)))
		}
		assert.NilError(t, o.Close())
		assert.DeepEqual(t, got, []string{"0@0", "1@108", "2@216", "3@320", "4@428"})
		assert.Equal(t, o.MaxGap(), 108*time.Millisecond)
		assert.Equal(t, o.MaxHeld(), 140*time.Millisecond)
	})
}

func TestOutletEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := errors.New("connection reset")
		o := smooth.NewOutlet(t.Context(), clockwork.NewRealClock(), limits, func([]byte) error { return gone })
		assert.Assert(t, o.Send([]byte("0")))
		synctest.Wait()
		assert.Assert(t, !o.Send([]byte("1")))
		assert.ErrorIs(t, o.Close(), gone)

		ctx, cancel := context.WithCancel(t.Context())
		o = smooth.NewOutlet(ctx, clockwork.NewRealClock(), limits, func([]byte) error { return nil })
		assert.Assert(t, o.Send([]byte("0")))
		assert.Assert(t, o.Send([]byte("1")))
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, o.Close(), context.Canceled)
	})
}

func ExamplePacer() {
	pacer := smooth.NewPacer(smooth.Limits{Spacing: 100 * time.Millisecond, MaxHold: 90 * time.Millisecond})
	start := time.Unix(0, 0)
	for _, ms := range []int{0, 60, 120, 180, 350} {
		fmt.Println(ms, pacer.At(start.Add(time.Duration(ms)*time.Millisecond)).Sub(start))
	}
	// Output:
	// 0 0s
	// 60 100ms
	// 120 200ms
	// 180 270ms
	// 350 370ms
}
