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
	// maxBufferedBytes bounds an answer that is held until it is whole; a longer one
	// is relayed as it comes.
	maxBufferedBytes = 1 << 20
	// readBytes is the size of a read from a stream. An event has a few hundred
	// bytes.
	readBytes = 4 << 10
	// spacingShare is the part of the longest pause on time at which events are spaced;
	// the rest is for the way to the client.
	spacingShare = 0.93
)

// relayWhole relays an answer once it is whole, so that one that breaks off can be
// asked for again.
func (x *exchange) relayWhole(ctx context.Context, answer track.ReplicaAnswer, started time.Time) verdict {
	clock := x.proxy.options.Clock
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		x.fault = err.Error()
		return x.broke(ctx, "AnswerBrokeOff")
	}
	result := batch.Result{Verdict: batch.Served, FirstByte: clock.Since(started)}
	x.firstByte = clock.Since(x.arrived)
	header := x.w.Header()
	copyHeader(header, answer.Header)
	long := len(body) > maxBufferedBytes
	if !long && x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.commit(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return x.abandoned(err)
	}
	if !long {
		return verdict{result: result}
	}
	if _, err := io.Copy(x.w, answer.Body); err != nil {
		x.fault = err.Error()
		v := x.broke(ctx, "AnswerBrokeOff")
		v.again = false
		return v
	}
	return verdict{result: result}
}

func (x *exchange) commit(status int) {
	x.w.WriteHeader(status)
	x.committed, x.status = true, status
}

// abandoned judges an attempt whose client can't be written to.
func (x *exchange) abandoned(err error) verdict {
	x.fault = err.Error()
	return verdict{
		result:  batch.Result{Verdict: batch.Canceled},
		refusal: &Refusal{Status: http.StatusBadGateway, Reason: "ClientGone"},
	}
}

// relayStream relays whole events as they come.
func (x *exchange) relayStream(ctx context.Context, answer track.ReplicaAnswer, silence clockwork.Timer, started time.Time) verdict {
	clock := x.proxy.options.Clock
	if x.splitter == nil {
		x.splitter = events.New(x.request.ResumeAfter)
	}
	result := batch.Result{Verdict: batch.Served}
	buffer := make([]byte, readBytes)
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			silence.Reset(x.patience(silenceShare))
			whole, err := x.splitter.Add(buffer[:n])
			if len(whole) > 0 {
				if result.FirstByte == 0 {
					result.FirstByte = clock.Since(started)
					x.grant.Started()
				}
				if !x.relayEvents(answer, whole) {
					return x.abandoned(errClientGone)
				}
			}
			if err != nil {
				x.fault = err.Error()
				return x.streamBroke(ctx, "EventsOutOfOrder")
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && x.splitter.Partial():
			return x.streamBroke(ctx, "EventCutOff")
		case errors.Is(readErr, io.EOF):
			if !x.committed {
				return x.streamBroke(ctx, "NoEvents")
			}
			return verdict{result: result}
		case readErr != nil:
			x.fault = readErr.Error()
			return x.streamBroke(ctx, "StreamBrokeOff")
		}
	}
}

var errClientGone = errors.New("the client can't be written to")

// relayEvents hands events to the paced writer of the stream. It reports whether the client
// can still be written to.
func (x *exchange) relayEvents(answer track.ReplicaAnswer, whole []byte) bool {
	if !x.committed {
		copyHeader(x.w.Header(), answer.Header)
		x.w.Header().Del("Content-Length")
		x.commit(answer.Status)
		x.firstByte = x.proxy.options.Clock.Since(x.arrived)
		x.pacedWriter = smooth.NewPacedWriter(x.client, x.proxy.options.Clock, x.spacing(), x.writeEvents)
	}
	return x.pacedWriter.Send(bytes.Clone(whole))
}

// spacing bounds how events are held; those of a route that names no pause aren't.
func (x *exchange) spacing() smooth.Limits {
	if x.route.MaxGap <= 0 {
		return smooth.Limits{}
	}
	return smooth.Limits{Spacing: time.Duration(spacingShare * float64(x.route.MaxGap)), MaxDelay: x.proxy.options.MaxHold}
}

func (x *exchange) writeEvents(data []byte) error {
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// drain waits until the events that are held have been delivered.
func (x *exchange) drain() {
	if x.pacedWriter == nil {
		return
	}
	if err := x.pacedWriter.Close(); err != nil && x.fault == "" {
		x.fault = err.Error()
	}
}

// streamBroke judges a stream that broke off. It is continued after the last
// whole event, if the route allows that.
func (x *exchange) streamBroke(ctx context.Context, reason string) verdict {
	x.splitter.DiscardPartial()
	return x.broke(ctx, reason)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps the library from guessing one.
		to["Content-Type"] = nil
	}
}
