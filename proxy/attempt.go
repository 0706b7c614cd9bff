package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/events"
)

// attempt is one sending of the request to a replica. A hedged request has two at the same time. Only call, answer,
// err, usable and begun are written outside the request's goroutine, which reads all but begun after done is closed.
type attempt struct {
	grant  *batch.Grant
	call   track.ReplicaCall
	cancel context.CancelFunc
	// startedAt is when the attempt was sent.
	startedAt time.Time
	// silenceTimer cancels the attempt if the stream has no event for too long; nil for whole answers.
	silenceTimer clockwork.Timer
	// leftSlowRank is set if the attempt was canceled because its rank is slow, and lastAttempt if it must not be, as
	// there would be no further one.
	leftSlowRank atomic.Bool
	lastAttempt  atomic.Bool

	// done is closed when fetch has ended; nil if the answer isn't fetched concurrently.
	done chan struct{}
	// begun is set once the answer has begun: at its head or, for a stream, at the first event.
	begun atomic.Bool
	// usable is set if the answer can be relayed to the client.
	usable bool
	answer track.ReplicaAnswer
	err    error
}

// newAttempt prepares an attempt, which counts as number after those before it. The context that it returns is the
// attempt's own.
func (x *exchange) newAttempt(ctx context.Context, grant *batch.Grant, number int) (context.Context, *attempt) {
	clock := x.proxy.options.Clock
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{grant: grant, cancel: cancel, startedAt: clock.Now()}
	if x.route.RetryRule != track.RetryOnlyIfNotRun && number < x.route.MaxAttempts {
		grant.OnLeaveSlowRank(func() {
			if !a.lastAttempt.Load() && x.budget.Remaining() > 1 {
				a.leftSlowRank.Store(true)
				cancel()
			}
		})
	}
	a.call = track.ReplicaCall{
		Replica: grant.Replica, RequestID: x.request.ID, Host: x.request.Host, Method: x.request.Method,
		Target: x.request.Target, Header: x.request.Header, Body: x.request.Body, Account: x.account.Name,
		TimeLeft: x.deadline.Sub(a.startedAt), ResumeAfter: x.resumeAfter(), Urgency: defaultUrgency,
	}
	if x.route.Stream {
		a.silenceTimer = clock.AfterFunc(x.shareOfPatience(silencePatienceShare), cancel)
	}
	return ctx, a
}

// end cancels the attempt, waits until its goroutine has ended, and closes the answer.
func (a *attempt) end() {
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	a.cancel()
	if a.done != nil {
		<-a.done
	}
	if a.answer.Body != nil {
		a.answer.Body.Close()
	}
}

// fetch gets the answer up to the point where the attempt can win: a whole answer up to its end or maxBufferedBytes,
// a stream up to its first event. What was read is read again from the answer's body.
func (a *attempt) fetch(ctx context.Context, caller track.ReplicaCaller, stream bool) {
	defer close(a.done)
	defer func() {
		// The HTTP server recovers panics on the request's goroutine only.
		if p := recover(); p != nil {
			a.usable = false
			a.err = track.Fail("call replica", track.Ambiguous, fmt.Errorf("panic: %v: %s", p, debug.Stack()))
		}
	}()
	a.answer, a.err = caller.Call(ctx, a.call)
	switch {
	case a.err != nil || a.answer.NotRun || a.answer.Status >= http.StatusInternalServerError ||
		promisesNotRun(a.answer.Status) || a.answer.Status < http.StatusMultipleChoices && !a.answer.Authenticated:
	case stream && a.answer.Status < http.StatusMultipleChoices:
		a.fetchFirstEvent()
	default:
		a.begun.Store(true)
		body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxBufferedBytes+1))
		a.usable = err == nil
		a.putBack(body, err)
	}
}

// fetchFirstEvent reads until the first event is complete.
func (a *attempt) fetchFirstEvent() {
	splitter := events.New(a.call.ResumeAfter)
	var fetched []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := a.answer.Body.Read(buffer)
		fetched = append(fetched, buffer[:n]...)
		_, err := splitter.Add(buffer[:n])
		if splitter.CountWithData() > 0 || err != nil || readErr != nil || len(fetched) > maxBufferedBytes {
			a.usable = splitter.CountWithData() > 0 && err == nil
			a.begun.Store(a.usable)
			a.putBack(fetched, readErr)
			return
		}
	}
}

// putBack makes the answer's body start with what was read from it, followed by the error of that reading, if any.
func (a *attempt) putBack(fetched []byte, err error) {
	body := a.answer.Body
	rest := io.Reader(body)
	if err != nil {
		rest = failedReader{err}
	}
	a.answer.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(fetched), rest), body}
}

// failedReader fails each read.
type failedReader struct{ err error }

func (r failedReader) Read([]byte) (int, error) { return 0, r.err }
