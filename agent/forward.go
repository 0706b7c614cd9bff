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
)

// readBufferBytes is the size of the buffer for answers of the backend server.
const readBufferBytes = 32 << 10

// output numbers the frames of one attempt.
type output struct {
	id   track.AttemptID
	seq  uint64
	send track.FrameFunc
	// neverStarted is set once it is certain that the backend server received
	// nothing.
	neverStarted bool
}

func (o *output) frame(f track.Frame) error {
	f.ID = o.id
	f.Seq = o.seq
	o.seq++
	return o.send(f)
}

func (o *output) final(f track.Frame) error {
	f.Kind = track.FrameFinal
	return o.frame(f)
}

// forward sends the attempt to the backend server and its answer to out.
func (a *Agent) forward(ctx context.Context, d track.Dispatch, out *output) error {
	request, err := a.request(ctx, d)
	if err != nil {
		out.neverStarted = true
		return out.final(track.Frame{Outcome: track.NotRun, Refusal: track.RefusedWrongTarget, Fault: err.Error()})
	}
	response, err := a.options.Client.Do(request)
	if err != nil {
		out.neverStarted = neverSent(err)
		return out.final(a.failure(ctx, err))
	}
	defer response.Body.Close()
	err = out.frame(track.Frame{Kind: track.FrameHeader, Status: response.StatusCode, Header: response.Header})
	if err != nil {
		return err
	}
	if d.Kind == track.Generation && response.StatusCode == http.StatusOK {
		return a.events(ctx, response.Body, out)
	}
	return a.body(ctx, response, out)
}

func (a *Agent) request(ctx context.Context, d track.Dispatch) (*http.Request, error) {
	target := a.options.Backend.JoinPath(d.Path)
	target.RawQuery = d.Query
	request, err := http.NewRequestWithContext(ctx, d.Method, target.String(), bytes.NewReader(d.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if d.Header != nil {
		request.Header = d.Header.Clone()
	}
	// GetBody would let the transport send the request a second time.
	request.GetBody = nil
	return request, nil
}

// failure returns the final frame for a request that got no answer.
func (a *Agent) failure(ctx context.Context, err error) track.Frame {
	if neverSent(err) {
		a.markDown(err)
		return track.Frame{Outcome: track.NotRun, Refusal: track.RefusedDown, Fault: err.Error()}
	}
	return a.broken(ctx, err)
}

// broken returns the final frame for an answer that was cut off.
func (a *Agent) broken(ctx context.Context, err error) track.Frame {
	if ctx.Err() != nil {
		return track.Frame{Outcome: track.Unknown, Fault: context.Cause(ctx).Error()}
	}
	a.markDown(err)
	return track.Frame{Outcome: track.Unknown, Crashed: true, Fault: err.Error()}
}

// neverSent reports whether the failure came before a connection was made, so
// that the backend server can't have seen the request.
func neverSent(err error) bool {
	var op *net.OpError
	var failed *url.Error
	return errors.As(err, &failed) && errors.As(err, &op) && op.Op == "dial"
}

func (a *Agent) markDown(err error) {
	if a.up.Swap(false) {
		a.options.Logger.Warn("backend server down", zap.Error(err))
	}
	select {
	case a.suspected <- struct{}{}:
	default:
	}
}

// body relays the answer of a plain service.
func (a *Agent) body(ctx context.Context, response *http.Response, out *output) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			sendErr := out.frame(track.Frame{Kind: track.FrameData, Data: bytes.Clone(buffer[:n])})
			if sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return out.final(track.Frame{Outcome: outcomeOf(response.StatusCode)})
		}
		if err != nil {
			return out.final(a.broken(ctx, err))
		}
	}
}

// outcomeOf returns what a whole answer with the status shows. A backend server
// that failed may have run part of the work.
func outcomeOf(status int) track.Outcome {
	if status >= http.StatusInternalServerError {
		return track.Unknown
	}
	return track.Completed
}
