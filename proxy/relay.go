package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/events"
	"filberttrack.example/track/smooth"
)

const (
	// maxBufferedBytes is the maximum size of an answer that is buffered until it is
	// complete. The part of a longer one beyond that is relayed as it arrives.
	maxBufferedBytes = 1 << 20
	// maxUnsizedBytes is the maximum size of an answer without a declared length. A faulty
	// replica may send bytes without end.
	maxUnsizedBytes = 16 << 20
	// readBufferBytes is the size of the read buffer of a stream. An event has a few hundred
	// bytes.
	readBufferBytes = 4 << 10
	// spacingShare is the share of the route's MaxGap at which events are spaced. The
	// rest is for the delay on the way to the client.
	spacingShare = 0.93
)

// relayWhole relays an answer once it is complete, so that the request can be retried if
// the answer breaks off.
func (x *exchange) relayWhole(ctx context.Context, answer track.ReplicaAnswer, started time.Time) attemptOutcome {
	clock := x.proxy.options.Clock
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		x.lastFailure = err.Error()
		return x.handleInterruption(ctx, "AnswerBrokeOff")
	}
	result := batch.Result{Verdict: batch.Served, FirstByte: clock.Since(started)}
	x.timeToFirstByte = clock.Since(x.arrived)
	header := x.w.Header()
	copyHeader(header, answer.Header)
	exceedsBuffer := len(body) > maxBufferedBytes
	if !exceedsBuffer && x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeHead(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return x.handleWriteError(err)
	}
	if !exceedsBuffer {
		return attemptOutcome{result: result}
	}
	if err := x.relayRest(answer); err != nil {
		x.lastFailure = err.Error()
		outcome := x.handleInterruption(ctx, "AnswerBrokeOff")
		outcome.retryable = false
		return outcome
	}
	return attemptOutcome{result: result}
}

var errEndless = errors.New("the answer has no length and exceeds the limit")

// relayRest relays the part of an answer that wasn't buffered.
func (x *exchange) relayRest(answer track.ReplicaAnswer) error {
	if answer.Header.Get("Content-Length") != "" {
		_, err := io.Copy(x.w, answer.Body)
		return err
	}
	// The buffered part has one byte more than maxBufferedBytes.
	const limit = maxUnsizedBytes - maxBufferedBytes - 1
	n, err := io.Copy(x.w, io.LimitReader(answer.Body, limit))
	if err == nil && n == limit {
		return errEndless
	}
	return err
}

// writeHead writes the status and headers to the client.
func (x *exchange) writeHead(status int) {
	x.w.WriteHeader(status)
	x.committed, x.status = true, status
}

// handleWriteError returns the outcome of an attempt whose answer can't be written to the
// client.
func (x *exchange) handleWriteError(err error) attemptOutcome {
	x.lastFailure = err.Error()
	return attemptOutcome{
		result:  batch.Result{Verdict: batch.Canceled},
		refusal: &Refusal{Status: http.StatusBadGateway, Reason: "ClientGone"},
	}
}

// relayStream relays events as they arrive, each once it is complete.
func (x *exchange) relayStream(
	ctx context.Context, answer track.ReplicaAnswer, silenceTimer clockwork.Timer, started time.Time,
) attemptOutcome {
	clock := x.proxy.options.Clock
	if x.splitter == nil {
		x.splitter = events.New(x.request.ResumeAfter)
	}
	result := batch.Result{Verdict: batch.Served}
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			events := x.splitter.CountWithData()
			complete, err := x.splitter.Add(buffer[:n])
			if x.splitter.CountWithData() > events {
				// Single bytes and comments are no progress: a client that gets no event leaves.
				silenceTimer.Reset(x.shareOfPatience(silencePatienceShare))
			}
			if len(complete) > 0 {
				if result.FirstByte == 0 {
					x.firstEventAt = clock.Now()
					result.FirstByte = clock.Since(started)
					x.grant.Started()
				}
				if clock.Since(x.firstEventAt) >= soundAfter {
					x.reportSoundRun()
				}
				if !x.relayEvents(answer, complete) {
					return x.handleWriteError(errClientWrite)
				}
			}
			if err != nil {
				x.lastFailure = err.Error()
				return x.handleStreamInterruption(ctx, "EventsOutOfOrder")
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && x.splitter.Partial():
			return x.handleStreamInterruption(ctx, "EventCutOff")
		case errors.Is(readErr, io.EOF):
			if !x.committed {
				return x.handleStreamInterruption(ctx, "NoEvents")
			}
			return attemptOutcome{result: result}
		case readErr != nil:
			x.lastFailure = readErr.Error()
			return x.handleStreamInterruption(ctx, "StreamBrokeOff")
		}
	}
}

// startedWriting reports whether the replica of the latest attempt had begun to write an answer.
func (x *exchange) startedWriting() bool {
	return !x.firstEventAt.IsZero()
}

var errClientWrite = errors.New("can't write to the client")

// relayEvents queues complete events for delivery to the client. It reports whether the
// client can still be written to.
func (x *exchange) relayEvents(answer track.ReplicaAnswer, complete []byte) bool {
	if !x.committed {
		copyHeader(x.w.Header(), answer.Header)
		x.w.Header().Del("Content-Length")
		x.writeHead(answer.Status)
		x.timeToFirstByte = x.proxy.options.Clock.Since(x.arrived)
		x.pacedWriter = smooth.NewPacedWriter(x.clientCtx, x.proxy.options.Clock, x.pacingLimits(), x.writeEvents)
	}
	return x.pacedWriter.Send(bytes.Clone(complete))
}

// pacingLimits returns how events are delayed. Those of a route without MaxGap aren't.
func (x *exchange) pacingLimits() smooth.Limits {
	if x.route.MaxGap <= 0 {
		return smooth.Limits{}
	}
	return smooth.Limits{
		Spacing:  time.Duration(spacingShare * float64(x.route.MaxGap)),
		MaxDelay: x.proxy.options.MaxEventDelay,
	}
}

func (x *exchange) writeEvents(data []byte) error {
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// closePacedWriter waits until the delayed events have been delivered.
func (x *exchange) closePacedWriter() {
	if x.pacedWriter == nil {
		return
	}
	if err := x.pacedWriter.Close(); err != nil && x.lastFailure == "" {
		x.lastFailure = err.Error()
	}
}

// handleStreamInterruption returns the outcome of an attempt whose stream broke off. The
// next attempt, if the route allows one, resumes after the last complete event.
func (x *exchange) handleStreamInterruption(ctx context.Context, reason string) attemptOutcome {
	x.splitter.DiscardPartial()
	return x.handleInterruption(ctx, reason)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a type from the body.
		to["Content-Type"] = nil
	}
}
