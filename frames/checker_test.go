package frames_test

import (
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

var id = track.AttemptID{Request: "r", Number: 2}

// response returns the frames of a whole response with the given number of data frames.
func response(dataFrames int) []track.Frame {
	whole := []track.Frame{{ID: id, Kind: track.FrameHeader}}
	for i := range dataFrames {
		whole = append(whole, track.Frame{ID: id, Seq: uint64(i + 1), Kind: track.FrameData, Data: []byte{byte(i)}})
	}
	return append(whole, track.Frame{
		ID: id, Seq: uint64(dataFrames + 1), Kind: track.FrameFinal, Outcome: track.Completed,
	})
}

func TestChecker(t *testing.T) {
	whole := response(1)
	wrongAttempt := whole[1]
	wrongAttempt.ID.Number = 1
	afterFinal := track.Frame{ID: id, Seq: 3, Kind: track.FrameData}
	dataFirst := track.Frame{ID: id, Kind: track.FrameData}
	secondHeader := track.Frame{ID: id, Seq: 1, Kind: track.FrameHeader}
	for name, test := range map[string]struct {
		sent     []track.Frame
		dropped  frames.Kind
		complete bool
	}{
		"foreign":                {[]track.Frame{whole[0], wrongAttempt, whole[1], whole[2]}, frames.WrongAttempt, true},
		"doubled":                {[]track.Frame{whole[0], whole[1], whole[1], whole[2]}, frames.Duplicate, true},
		"lost":                   {[]track.Frame{whole[0], whole[2]}, frames.SequenceGap, false},
		"late":                   {append(response(1), afterFinal), frames.AfterFinal, true},
		"data before the header": {[]track.Frame{dataFirst}, frames.Malformed, false},
		"second header":          {[]track.Frame{whole[0], secondHeader, whole[1], whole[2]}, frames.Malformed, true},
	} {
		t.Run(name, func(t *testing.T) {
			drops := frames.NewDropCounters(metrics.NewSet())
			checker := frames.NewChecker(id, drops)
			accepted := 0
			for _, f := range test.sent {
				if checker.Accept(f) {
					accepted++
				}
			}
			assert.Equal(t, checker.Complete(), test.complete)
			assert.Equal(t, accepted, len(test.sent)-1)
			assert.Equal(t, drops.Count(test.dropped), uint64(1))
		})
	}
}

// However frames are lost, duplicated, reordered or mixed with those of another request, a response
// is collected in order and without a gap, and counts as complete only if no frame is missing.
func TestCollectReturnsCompleteResponsesOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := response(rapid.IntRange(0, 6).Draw(rt, "pieces"))
		other := response(6)
		for i := range other {
			other[i].ID.Request = "other"
		}
		pool := append(append(append([]track.Frame{}, whole...), whole...), other...)
		count := rapid.IntRange(0, 3*len(pool)).Draw(rt, "count")
		drops := frames.NewDropCounters(metrics.NewSet())
		got, err := frames.Collect(id, drops, func(send track.FrameFunc) error {
			for range count {
				f := pool[rapid.IntRange(0, len(pool)-1).Draw(rt, "frame")]
				if err := send(f); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			assert.Assert(rt, track.IsKind(err, frames.Incomplete))
			assert.Equal(rt, len(got), 0)
			return
		}
		assert.DeepEqual(rt, got, whole)
	})
}

func TestCollectWrapsRunError(t *testing.T) {
	runErr := errors.New("cut")
	_, err := frames.Collect(id, frames.NewDropCounters(metrics.NewSet()), func(track.FrameFunc) error { return runErr })
	assert.ErrorIs(t, err, runErr)
}

func FuzzChecker(f *testing.F) {
	f.Add("r", uint32(2), uint64(0), 0, uint64(1), 2)
	f.Fuzz(func(t *testing.T, request string, number uint32, seq1 uint64, kind1 int, seq2 uint64, kind2 int) {
		checker := frames.NewChecker(id, frames.NewDropCounters(metrics.NewSet()))
		attempt := track.AttemptID{Request: track.RequestID(request), Number: number}
		first := checker.Accept(track.Frame{ID: attempt, Seq: seq1, Kind: track.FrameKind(kind1)})
		second := checker.Accept(track.Frame{ID: attempt, Seq: seq2, Kind: track.FrameKind(kind2)})
		if first && (attempt != id || seq1 != 0) || second && first && seq2 != 1 {
			t.Fatal("accepted a frame out of order")
		}
	})
}
