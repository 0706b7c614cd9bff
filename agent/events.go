package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"filberttrack.example/track"
)

// Markers of the server-sent events of a generation.
var (
	dataField = []byte("data:")
	doneEvent = []byte("[DONE]")
)

// maxEventBytes bounds one event of a generation.
const maxEventBytes = 4 << 20

// errLongEvent means that an event was longer than maxEventBytes.
var errLongEvent = errors.New("event of a generation is too long")

// errNoDone means that a generation ended without its final event.
var errNoDone = errors.New("generation ended without its final event")

// events relays the server-sent events of a generation. All events that have
// arrived together travel in one frame.
func (a *Agent) events(ctx context.Context, body io.Reader, out *output) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	var pending []byte
	for {
		line, err := readLine(reader)
		payload, ok := eventPayload(line)
		done := ok && bytes.Equal(payload, doneEvent)
		if ok && !done {
			pending = append(pending, payload...)
			pending = append(pending, '\n')
		}
		if len(pending) > 0 && (done || err != nil || !lineBuffered(reader)) {
			sendErr := out.frame(track.Frame{Kind: track.FrameData, Data: pending})
			if sendErr != nil {
				return sendErr
			}
			pending = nil
		}
		switch {
		case done:
			return out.final(track.Frame{Outcome: track.Completed})
		case errors.Is(err, io.EOF):
			return out.final(a.broken(ctx, errNoDone))
		case err != nil:
			return out.final(a.broken(ctx, err))
		}
	}
}

// readLine returns the next line. The line is valid until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		long = append(long, line...)
		if len(long) > maxEventBytes {
			return nil, errLongEvent
		}
		line, err = reader.ReadSlice('\n')
	}
	return append(long, line...), err
}

// lineBuffered reports whether a whole line can be read without waiting.
func lineBuffered(reader *bufio.Reader) bool {
	waiting, err := reader.Peek(reader.Buffered())
	return err == nil && bytes.IndexByte(waiting, '\n') >= 0
}

func eventPayload(line []byte) ([]byte, bool) {
	rest, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return nil, false
	}
	return bytes.TrimSpace(rest), true
}
