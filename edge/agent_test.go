package edge

import (
	"context"
	"net"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
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
