package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
)

// readBufferBytes is the size of the buffer for responses of the backend server.
const readBufferBytes = 32 << 10

// frameSender sends the frames of one attempt to the entry, with the attempt's ID and a
// sequence number that starts at 0.
type frameSender struct {
	id   track.AttemptID
	seq  uint64
	send track.FrameFunc
	// neverReceived is set if the backend server certainly did not receive the request.
	neverReceived bool
}

// sendNext sends a frame with the next sequence number.
func (s *frameSender) sendNext(f track.Frame) error {
	f.ID = s.id
	f.Seq = s.seq
	s.seq++
	return s.send(f)
}

// sendFinal sends the last frame of the attempt.
func (s *frameSender) sendFinal(f track.Frame) error {
	f.Kind = track.FrameFinal
	return s.sendNext(f)
}

// forward sends the request of an attempt to the backend server and the response to
// frames.
func (a *Agent) forward(ctx context.Context, d track.Dispatch, frames *frameSender) error {
	request, err := a.newRequest(ctx, d)
	if err != nil {
		frames.neverReceived = true
		return frames.sendFinal(track.Frame{Outcome: track.NotRun, Refusal: track.RefusedWrongTarget, Fault: err.Error()})
	}
	response, err := a.options.Client.Do(request)
	if err != nil {
		frames.neverReceived = failedToConnect(err)
		return frames.sendFinal(a.requestFailedFrame(ctx, err))
	}
	defer response.Body.Close()
	a.observe(response)
	err = frames.sendNext(track.Frame{Kind: track.FrameHeader, Status: response.StatusCode, Header: response.Header})
	if err != nil {
		return err
	}
	if d.Kind == track.GenerationCall && response.StatusCode == http.StatusOK {
		return a.relayEvents(ctx, response.Body, frames)
	}
	return a.relayBody(ctx, response, frames)
}

// newRequest builds the HTTP request to the backend server.
func (a *Agent) newRequest(ctx context.Context, d track.Dispatch) (*http.Request, error) {
	target := a.options.Backend.JoinPath(d.Path)
	target.RawQuery = d.Query
	request, err := http.NewRequestWithContext(ctx, d.Method, target.String(), bytes.NewReader(d.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if d.Header != nil {
		request.Header = d.Header.Clone()
	}
	// With GetBody set, the transport could send the request a second time.
	request.GetBody = nil
	return request, nil
}

// requestFailedFrame returns the final frame for a request that got no response.
func (a *Agent) requestFailedFrame(ctx context.Context, err error) track.Frame {
	if failedToConnect(err) {
		a.markDown(err)
		return track.Frame{Outcome: track.NotRun, Refusal: track.RefusedBackendServerDown, Fault: err.Error()}
	}
	return a.interruptedFrame(ctx, err)
}

// interruptedFrame returns the final frame for a request whose response was cut off or
// can't be used. Unless the attempt was cancelled or timed out, it counts as a crash of the
// backend server. A server that sent a whole but invalid head is not known to have crashed.
func (a *Agent) interruptedFrame(ctx context.Context, err error) track.Frame {
	if ctx.Err() != nil {
		return track.Frame{Outcome: track.Unknown, Fault: context.Cause(ctx).Error()}
	}
	a.markDown(err)
	var headErr *heads.Error
	return track.Frame{Outcome: track.Unknown, Crashed: !errors.As(err, &headErr), Fault: err.Error()}
}

// failedToConnect reports whether a request failed before a connection was established,
// so that the backend server can't have received it.
func failedToConnect(err error) bool {
	var opErr *net.OpError
	var urlErr *url.Error
	return errors.As(err, &urlErr) && errors.As(err, &opErr) && opErr.Op == "dial"
}

// markDown makes the agent refuse new attempts, and triggers a probe that can revoke
// this.
func (a *Agent) markDown(err error) {
	if a.healthy.Swap(false) {
		a.options.Logger.Warn("backend server down", zap.Error(err))
	}
	select {
	case a.probeNow <- struct{}{}:
	default:
	}
}

// relayBody relays the response body of a plain service, or of a generation with a status
// other than 200.
func (a *Agent) relayBody(ctx context.Context, response *http.Response, frames *frameSender) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			sendErr := frames.sendNext(track.Frame{Kind: track.FrameData, Data: bytes.Clone(buffer[:n])})
			if sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return frames.sendFinal(track.Frame{Outcome: outcomeOfStatus(response.StatusCode)})
		}
		if err != nil {
			return frames.sendFinal(a.interruptedFrame(ctx, err))
		}
	}
}

// outcomeOfStatus returns the outcome of an attempt with a complete response of the given
// status. With a 5xx status, the backend server may have done part of the work.
func outcomeOfStatus(status int) track.Outcome {
	if status >= http.StatusInternalServerError {
		return track.Unknown
	}
	return track.Completed
}
