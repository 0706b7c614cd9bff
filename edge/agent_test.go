package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/steer"
)

// recordingConn is a connection that records the addresses that messages are sent to.
type recordingConn struct {
	net.PacketConn
	sent chan string
}

func (c *recordingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.sent <- to.String()
	return len(data), nil
}

func TestStartingAgentSendsToAllPeersAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := &recordingConn{sent: make(chan string, 8)}
	a := NewAgent(AgentOptions{
		Self: "side-1", Zone: "rivera", Log: unavailableLog{},
		Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
		MessageConn: conn, DirectRank: func(string) steer.RemoteRank { return nil },
		Clock: clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	a.members.applyRecords([]track.KeyedRecord{{
		Key: "front-1", Value: []byte(`{"Role":"Entry","Zone":"rivera","Notes":"127.0.0.1:8"}`),
	}})
	go func() { ended <- a.gossipNode.RunSend(ctx) }()
	assert.Equal(t, <-conn.sent, "127.0.0.1:8", "the first message goes to the peers that are known so far")
	a.onMembers([]track.KeyedRecord{{
		Key: "side-2", Value: []byte(`{"Role":"Agent","Zone":"artigas","Notes":"127.0.0.1:9","API":"127.0.0.1:9"}`),
	}})
	// The clock doesn't advance, so the message isn't the one that is sent at each interval.
	receivers := []string{<-conn.sent, <-conn.sent}
	slices.Sort(receivers)
	assert.DeepEqual(t, receivers, []string{"127.0.0.1:8", "127.0.0.1:9"})
	cancel()
	<-ended
}

// Agents start before groups form. An agent that joins a group must send a message to its
// new peers at once, although as members of another group they got few messages before.
func TestChangeOfGroupIsSentToOtherGroupsAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := &recordingConn{sent: make(chan string, 8)}
	a := NewAgent(AgentOptions{
		Self: "side-1", Zone: "rivera", Log: unavailableLog{},
		Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
		MessageConn: conn, DirectRank: func(string) steer.RemoteRank { return nil },
		Clock: clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	a.onStatus(track.RankStatus{Group: "a", Rank: 9, Epoch: 1, Serving: true})
	for i, group := range []string{"a", "a", "a", "a", "b"} {
		note := gossip.Message{
			From: track.InstanceID(fmt.Sprint("mate-", i)), Role: track.RoleAgent, Zone: "rivera",
			Address: fmt.Sprint("127.0.0.1:", 20+i), Seq: 1, Rank: &gossip.RankStatus{Group: group, Rank: i},
		}
		assert.Assert(t, a.gossipNode.Accept(note))
		a.receive(note)
	}
	every := map[string]int{}
	for _, peer := range a.targets() {
		every[string(peer.ID)] = peer.EveryNth
	}
	assert.DeepEqual(t, every, map[string]int{
		"mate-0": 1, "mate-1": 1, "mate-2": 1, "mate-3": otherGroupEvery, "mate-4": otherGroupEvery,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.gossipNode.RunSend(ctx) }()
	for range every {
		<-conn.sent
	}
	a.onStatus(track.RankStatus{Group: "b", Rank: 9, Epoch: 2, Serving: true})
	receivers := map[string]bool{}
	for range every {
		receivers[<-conn.sent] = true
	}
	assert.Assert(t, receivers["127.0.0.1:24"], "no message to the new peer: %v", receivers)
	cancel()
	<-ended
}

// In a large fleet a group that breaks must not make each of its agents send a message to all others.
func TestChangeWithinGroupIsSentToCoordinatorsOnly(t *testing.T) {
	conn := &recordingConn{sent: make(chan string, 64)}
	a := NewAgent(AgentOptions{
		Self: "side-1", Zone: "rivera", Log: unavailableLog{},
		Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
		MessageConn: conn, Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	a.onStatus(track.RankStatus{Group: "a", Rank: 9, Epoch: 1, Serving: true})
	const peers = 7
	for i := range peers {
		note := gossip.Message{
			From: track.InstanceID(fmt.Sprint("mate-", i)), Role: track.RoleAgent, Zone: "rivera",
			Address: fmt.Sprint("127.0.0.1:", 20+i), Seq: 1, Rank: &gossip.RankStatus{Group: "a", Rank: i},
		}
		assert.Assert(t, a.gossipNode.Accept(note))
		a.receive(note)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.gossipNode.RunSend(ctx) }()
	for range peers {
		<-conn.sent
	}
	a.onStatus(track.RankStatus{Group: "a", Rank: 9, Epoch: 1, Serving: false})
	var receivers []string
	for range steer.CoordinatorCandidates {
		receivers = append(receivers, <-conn.sent)
	}
	slices.Sort(receivers)
	assert.DeepEqual(t, receivers, []string{"127.0.0.1:20", "127.0.0.1:21", "127.0.0.1:22"})
	cancel()
	<-ended
	assert.Equal(t, len(conn.sent), 0)
}

func TestDutiesLeftOffShowInGauges(t *testing.T) {
	newAgent := func(directRank func(string) steer.RemoteRank) *Agent {
		return NewAgent(AgentOptions{
			Self: "side-1", Zone: "rivera", Log: unavailableLog{},
			Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
			MessageConn: &recordingConn{}, DirectRank: directRank,
			Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		})
	}
	leftOff := func(a *Agent) []string {
		var text strings.Builder
		a.options.Metrics.WritePrometheus(&text)
		var names []string
		for line := range strings.Lines(text.String()) {
			if name, ok := strings.CutSuffix(line, " 1\n"); ok && strings.HasPrefix(name, "filberttrack_duty_left_off") {
				names = append(names, name)
			}
		}
		return names
	}
	const (
		directRanks    = `filberttrack_duty_left_off{duty="DirectRanks",reason="EnginesCheckNoFencing"}`
		balanceExperts = `filberttrack_duty_left_off{duty="BalanceExperts",reason="NoExpertsInConfiguration"}`
	)
	a := newAgent(nil)
	assert.DeepEqual(t, leftOff(a), []string{balanceExperts, directRanks})
	a.engines.update(engineReply{Experts: track.ExpertSpec{Experts: 64}})
	assert.DeepEqual(t, leftOff(a), []string{directRanks})
	a = newAgent(func(string) steer.RemoteRank { return nil })
	assert.DeepEqual(t, leftOff(a), []string{balanceExperts})
}
