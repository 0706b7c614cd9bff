package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/steer"
)

// sink is a connection that tells to whom notes go.
type sink struct {
	net.PacketConn
	sent chan string
}

func (s *sink) WriteTo(data []byte, to net.Addr) (int, error) {
	s.sent <- to.String()
	return len(data), nil
}

func TestAnAgentThatStartsTellsAllAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := &sink{sent: make(chan string, 8)}
	a := NewAgent(AgentOptions{
		Self: "side-1", Zone: "rivera", Log: nowhere{}, Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
		Notes: conn, Remote: func(string) steer.RemoteRank { return nil },
		Clock: clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	a.members.apply([]track.KeyedRecord{{Key: "front-1", Value: []byte(`{"Role":"Entry","Zone":"rivera","Notes":"127.0.0.1:8"}`)}})
	go func() { ended <- a.node.RunSend(ctx) }()
	assert.Equal(t, <-conn.sent, "127.0.0.1:8", "the first note goes to those known so far")
	a.memberNews([]track.KeyedRecord{{Key: "side-2", Value: []byte(`{"Role":"Agent","Zone":"artigas","Notes":"127.0.0.1:9","API":"127.0.0.1:9"}`)}})
	// No time passes: the note doesn't wait for its turn.
	told := []string{<-conn.sent, <-conn.sent}
	slices.Sort(told)
	assert.DeepEqual(t, told, []string{"127.0.0.1:8", "127.0.0.1:9"})
	cancel()
	<-ended
}

// Agents start before groups form. Whoever becomes a peer then must hear of it at once,
// though it was a stranger before.
func TestAChangeOfGroupReachesStrangers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := &sink{sent: make(chan string, 8)}
	a := NewAgent(AgentOptions{
		Self: "side-1", Zone: "rivera", Log: nowhere{}, Topics: Topics{Config: "op", ConfigKey: "config"}, DecodeConfig: decodeConfig,
		Notes: conn, Remote: func(string) steer.RemoteRank { return nil },
		Clock: clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	a.seen(track.RankStatus{Group: "a", Rank: 9, Epoch: 1, Serving: true})
	for i, group := range []string{"a", "a", "a", "a", "b"} {
		note := gossip.Note{
			From: track.InstanceID(fmt.Sprint("mate-", i)), Role: track.RoleAgent, Zone: "rivera", Address: fmt.Sprint("127.0.0.1:", 20+i),
			Seq: 1, Rank: &gossip.RankNote{Group: group, Rank: i},
		}
		assert.Assert(t, a.node.Take(note))
		a.receive(note)
	}
	every := map[string]int{}
	for _, peer := range a.targets() {
		every[string(peer.Name)] = peer.Every
	}
	assert.DeepEqual(t, every, map[string]int{"mate-0": 1, "mate-1": 1, "mate-2": 1, "mate-3": strangerNotes, "mate-4": strangerNotes})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.node.RunSend(ctx) }()
	for range every {
		<-conn.sent
	}
	a.seen(track.RankStatus{Group: "b", Rank: 9, Epoch: 2, Serving: true})
	told := map[string]bool{}
	for range every {
		told[<-conn.sent] = true
	}
	assert.Assert(t, told["127.0.0.1:24"], "the new mate: %v", told)
	cancel()
	<-ended
}
