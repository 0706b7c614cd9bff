package proxy

import (
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
)

const (
	// maxBufferedBytes bounds an answer that is held until it is whole; a longer one
	// is relayed as it comes.
	maxBufferedBytes = 1 << 20
	// readBytes is the size of a read from a stream. An event has a few hundred
	// bytes.
	readBytes = 4 << 10
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
		result:  batch.Result{Verdict: batch.Abandoned},
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
				if err := x.relayEvents(answer, whole); err != nil {
					return x.abandoned(err)
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

func (x *exchange) relayEvents(answer track.ReplicaAnswer, whole []byte) error {
	now := x.proxy.options.Clock.Now()
	if !x.committed {
		copyHeader(x.w.Header(), answer.Header)
		x.w.Header().Del("Content-Length")
		x.commit(answer.Status)
		x.firstByte = now.Sub(x.arrived)
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// streamBroke judges a stream that broke off. It is continued after the last
// whole event, if the route allows that.
func (x *exchange) streamBroke(ctx context.Context, reason string) verdict {
	x.splitter.DropPartial()
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
