package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// relayEvents returns the frames that the agent sends for the body of a generation.
func relayEvents(t *testing.T, body io.Reader) []track.Frame {
	t.Helper()
	a := New(Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet()})
	var frames []track.Frame
	sender := &frameSender{send: func(f track.Frame) error {
		frames = append(frames, f)
		return nil
	}}
	assert.NilError(t, a.relayEvents(context.Background(), body, sender))
	return frames
}

func TestEventsThatArriveTogetherAreSentInOneFrame(t *testing.T) {
	frames := relayEvents(t, strings.NewReader("data: {\"a\":1}\n\n: comment\ndata:{\"b\":2}\r\n\ndata: [DONE]\n\n"))
	assert.Equal(t, len(frames), 2)
	assert.Equal(t, string(frames[0].Data), "{\"a\":1}\n{\"b\":2}\n")
	assert.Equal(t, frames[1].Outcome, track.Completed)
}

func TestStreamWithoutDoneEventIsNotCompleted(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"ends early": strings.NewReader("data: {}\n\n"),
		"empty":      strings.NewReader(""),
		"breaks":     io.MultiReader(strings.NewReader("data: {}\n"), brokenReader{}),
	} {
		frames := relayEvents(t, body)
		final := frames[len(frames)-1]
		assert.Equal(t, final.Kind, track.FrameFinal, name)
		assert.Equal(t, final.Outcome, track.Unknown, name)
		assert.Assert(t, final.Crashed, name)
	}
}

func TestLongEvents(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	frames := relayEvents(t, strings.NewReader("data: "+long+"\n\ndata: [DONE]\n\n"))
	assert.Equal(t, string(frames[0].Data), long+"\n")
	assert.Equal(t, frames[1].Outcome, track.Completed)
	tooLong := io.MultiReader(
		strings.NewReader("data: "), strings.NewReader(strings.Repeat("x", maxEventBytes+readBufferBytes)),
	)
	frames = relayEvents(t, tooLong)
	assert.Equal(t, frames[len(frames)-1].Outcome, track.Unknown)
}

type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// FuzzEvents checks that only a stream with a [DONE] event is reported as completed.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, body []byte) {
		frames := relayEvents(t, bytes.NewReader(body))
		final := frames[len(frames)-1]
		if final.Outcome == track.Completed && !bytes.Contains(body, doneEvent) {
			t.Fatalf("completed without a [DONE] event: %q", body)
		}
	})
}
