package wire_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/wire"
)

// fakeAgent answers with the given frames and records the calls that it receives.
type fakeAgent struct {
	track.Agent
	dispatch track.Dispatch
	frames   []track.Frame
	refs     []track.AttemptRef
}

// PreventStart implements track.Agent.
func (a *fakeAgent) PreventStart(_ context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	a.refs = append(a.refs, ref)
	return track.AttemptStarted, nil
}

// Replay implements track.Agent.
func (a *fakeAgent) Replay(_ context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	a.refs = append(a.refs, ref)
	return send(a.frames[0])
}

// Run implements track.Agent.
func (a *fakeAgent) Run(_ context.Context, d track.Dispatch, send track.FrameFunc) error {
	a.dispatch = d
	for _, f := range a.frames {
		err := send(f)
		if err != nil {
			return err
		}
	}
	return nil
}

func TestAgentCallsRoundTrip(t *testing.T) {
	id := track.AttemptID{Request: "request-1", Number: 2}
	agent := &fakeAgent{frames: []track.Frame{
		{ID: id, Kind: track.FrameHeader, Status: 201, Header: http.Header{"X": {"a", "b"}}},
		{ID: id, Seq: 1, Kind: track.FrameData, Data: []byte("body")},
		{ID: id, Seq: 2, Kind: track.FrameFinal, Outcome: track.NotRun, Refusal: track.RefusedLeaving, Crashed: true, Fault: "f"},
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer(zap.NewNop())
	wire.RegisterAgent(server, agent)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dialer := wire.NewDialer(nil)
	client, err := dialer.Dial(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)

	sent := track.Dispatch{
		ID: id, Agent: "agent-1", Incarnation: 7, Kind: track.PlainCall, Target: "pickup-desk", Method: "POST",
		Path: "/bookings", Query: "a=b", Header: http.Header{"Accept": {"text/plain"}}, Body: []byte("{}"),
		Timeout: 3 * time.Second, Priority: track.PriorityInteractive, Fingerprint: 9, Stamp: 5,
		Claim: &track.Claim{Account: "mill", Service: "desk", IdempotencyKey: "k", BodySHA256: "ab", Offset: 4},
	}
	var received []track.Frame
	err = client.Run(context.Background(), sent, func(f track.Frame) error {
		received = append(received, f)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, agent.dispatch, sent)
	assert.DeepEqual(t, received, agent.frames)

	state, err := client.PreventStart(context.Background(), sent.Ref())
	assert.NilError(t, err)
	assert.Equal(t, state, track.AttemptStarted)
	received = nil
	err = client.Replay(context.Background(), sent.Ref(), func(f track.Frame) error {
		received = append(received, f)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, received, agent.frames[:1])
	assert.DeepEqual(t, agent.refs, []track.AttemptRef{sent.Ref(), sent.Ref()})

	server.Stop()
	assert.NilError(t, <-served)
	dialer.Close()

	// Without a connection the dispatch was certainly not sent, so the error must be
	// Unavailable and not Ambiguous.
	dialer = wire.NewDialer(nil)
	client, err = dialer.Dial(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)
	err = client.Run(context.Background(), sent, func(track.Frame) error { return nil })
	assert.Assert(t, track.IsKind(err, track.Unavailable), "%v", err)
	dialer.Close()
}

// panickingAgent panics in every call but Report.
type panickingAgent struct{ track.Agent }

// Run implements track.Agent.
func (panickingAgent) Run(context.Context, track.Dispatch, track.FrameFunc) error {
	panic("an unexpected dispatch")
}

// PreventStart implements track.Agent.
func (panickingAgent) PreventStart(context.Context, track.AttemptRef) (track.AttemptState, error) {
	panic("an unexpected reference")
}

// Report implements track.Agent.
func (panickingAgent) Report(context.Context) (track.Report, error) { return track.Report{Seq: 1}, nil }

// A call that panics must not end the process, and nobody may take it for one that has not run.
func TestPanicOfAHandlerFailsTheCallOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer(zap.NewNop())
	wire.RegisterAgent(server, panickingAgent{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dialer := wire.NewDialer(nil)
	client, err := dialer.Dial(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)

	err = client.Run(t.Context(), track.Dispatch{Timeout: time.Second}, func(track.Frame) error { return nil })
	assert.Assert(t, track.IsKind(err, track.Ambiguous), "%v", err)
	_, err = client.PreventStart(t.Context(), track.AttemptRef{})
	assert.Assert(t, err != nil)
	report, err := client.Report(t.Context())
	assert.NilError(t, err, "the server answers after the panics")
	assert.Equal(t, report.Seq, uint64(1))
	server.Stop()
	assert.NilError(t, <-served)
	dialer.Close()
}
