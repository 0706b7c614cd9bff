package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"filberttrack.example/track"
)

// Parts of the server-sent events of a generation.
var (
	dataPrefix = []byte("data:")
	doneEvent  = []byte("[DONE]")
)

// maxEventBytes is the maximum size of one event of a generation.
const maxEventBytes = 4 << 20

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("generation contains a server-sent event that is too long")

// errNoDoneEvent means that the stream of a generation ended before its [DONE] event.
var errNoDoneEvent = errors.New("generation ended without its [DONE] event")

// relayEvents relays the server-sent events of a generation. Events that have arrived
// together are sent in one frame.
func (a *Agent) relayEvents(ctx context.Context, body io.Reader, frames *frameSender) error {
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
			sendErr := frames.sendNext(track.Frame{Kind: track.FrameData, Data: pending})
			if sendErr != nil {
				return sendErr
			}
			pending = nil
		}
		switch {
		case done:
			return frames.sendFinal(track.Frame{Outcome: track.Completed})
		case errors.Is(err, io.EOF):
			return frames.sendFinal(a.interruptedFrame(ctx, errNoDoneEvent))
		case err != nil:
			return frames.sendFinal(a.interruptedFrame(ctx, err))
		}
	}
}

// readLine returns the next line with its line break. The line is valid until the next
// read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		long = append(long, line...)
		if len(long) > maxEventBytes {
			return nil, errEventTooLong
		}
		line, err = reader.ReadSlice('\n')
	}
	return append(long, line...), err
}

// lineBuffered reports whether a whole line can be read without blocking.
func lineBuffered(reader *bufio.Reader) bool {
	buffered, err := reader.Peek(reader.Buffered())
	return err == nil && bytes.IndexByte(buffered, '\n') >= 0
}

// eventPayload returns the data of an event's data line, and whether the line is one.
func eventPayload(line []byte) ([]byte, bool) {
	payload, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return nil, false
	}
	return bytes.TrimSpace(payload), true
}
