package boot

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
	"filberttrack.example/track/beat"
	"filberttrack.example/track/member"
)

// newMembership returns the exchange of heartbeats between an instance and its peers.
// Update is called with the backend servers whenever they change.
func newMembership(
	self track.Instance, started time.Time, deps Dependencies, set *metrics.Set,
	state func() beat.LocalState, update func([]track.BackendServer), topics ...track.TopicHandler,
) *beat.Exchange {
	return beat.New(beat.Options{
		Self: self, Incarnation: newIncarnation(started), Timing: member.DefaultTiming(),
		Dialer: deps.PeerDialer, List: deps.Platform.List, Clock: deps.Clock, Logger: deps.Logger,
		Metrics: set, TopicHandlers: topics, Local: state, OnServersChanged: update,
	})
}

// newIncarnation returns the incarnation of a process that started at the given time.
func newIncarnation(started time.Time) track.Incarnation {
	return track.Incarnation(started.UnixNano())
}

// addMembership adds the membership's view of zones and peers to a status.
func addMembership(status *track.Status, v member.View) {
	status.Incarnation = v.Incarnation
	status.Isolated = v.Isolated
	status.ListAge = v.ListAge
	for _, z := range v.Zones {
		status.Zones = append(status.Zones, track.ZoneStatus{Zone: z.Zone, State: string(z.State), Silence: z.Silence})
	}
	for _, p := range v.Peers {
		status.Peers = append(status.Peers, track.PeerStatus{
			ID: p.ID, Role: p.Role, State: string(p.State), Silence: p.Silence,
		})
	}
}

// leaveDetectingDialer dials agents and informs the membership when one of them
// refuses a dispatch because it is leaving.
type leaveDetectingDialer struct {
	track.AgentDialer
	membership *beat.Exchange
}

// Dial implements track.AgentDialer.
func (d leaveDetectingDialer) Dial(instance track.Instance) (track.Agent, error) {
	agent, err := d.AgentDialer.Dial(instance)
	if err != nil {
		return nil, err
	}
	return leaveDetectingAgent{agent, d.membership}, nil
}

// leaveDetectingAgent is an agent that a leaveDetectingDialer has dialed.
type leaveDetectingAgent struct {
	track.Agent
	membership *beat.Exchange
}

// Run implements track.Agent.
func (a leaveDetectingAgent) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	return a.Agent.Run(ctx, d, func(f track.Frame) error {
		if f.Refusal == track.RefusedLeaving {
			a.membership.HandleLeavingRefusal(d.Agent, d.Incarnation)
		}
		return send(f)
	})
}
