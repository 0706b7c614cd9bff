package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"filberttrack.example/track"
	"filberttrack.example/track/gauge"
	"filberttrack.example/track/member"
	"filberttrack.example/track/wire"
)

// The resolution and the duration of the simulation of a zone.
const (
	ticksPerSecond   = 5
	simulatedSeconds = 30
)

func memberBenchmarks() []benchmark {
	agentCost := func(name, unit string) cost {
		return cost{name: name, unit: unit, today: todayZoneAgents, planned: plannedZoneAgents}
	}
	return []benchmark{{
		name: "entry, membership of the zone", variable: "agents",
		sizes: []int{todayZoneAgents, 15, 30, plannedZoneAgents},
		costs: []cost{
			agentCost("heap", "KB"), agentCost("beliefs", "processor us/s"), agentCost("heartbeats received", "bytes/s"),
			agentCost("heartbeats received", "messages/s"),
		},
		measure: measureMembers,
	}, {
		name: "entry and agent, heartbeat call over gRPC, both ends", variable: "calls",
		sizes: []int{1_000, 2_000, 4_000, 8_000},
		costs: []cost{{
			name: "calls of an entry in a second", unit: "processor us", today: todayCalls, planned: plannedCalls, rate: true,
		}},
		measure: measureHeartbeats,
	}}
}

// agentHeartbeat returns a heartbeat of the agent with the number.
func agentHeartbeat(number int) track.Heartbeat {
	return track.Heartbeat{
		From: track.Instance{
			ID: track.InstanceID(fmt.Sprintf("agent-rivera-dispatch-llm-%d", number)), Role: track.RoleAgent,
			Region: "norte", Zone: testbedZone, Address: fmt.Sprintf("10.20.30.%d:7070", number), State: track.InstanceLive,
			Serves: testbedModel, Group: fmt.Sprintf("group-%d", number), Ranks: 64,
		},
		Incarnation: 1, Up: true,
		Load: track.Load{
			Running: 240, Queued: 10, Capacity: 320, TokensInFlight: 120_000, StepTime: 70 * time.Millisecond,
			CachedPrefixes: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63},
		},
	}
}

// measureMembers measures the membership state of an entry that receives the heartbeats of the
// agents of its zone, in simulated time.
func measureMembers(_ context.Context, agents int) ([]float64, error) {
	before := gauge.HeapBytes()
	self := track.Instance{
		ID: "entry-rivera-1", Role: track.RoleEntry, Region: "norte", Zone: testbedZone, Address: "10.20.30.1:7070",
		State: track.InstanceLive,
	}
	state := member.New(self, 1, member.DefaultTiming())
	now := time.Unix(0, 0)
	messages, bytes := 0, 0
	nextSend := make([]time.Time, agents)
	seq := uint64(0)
	cpu, err := cpuMicros(func() error {
		for range simulatedSeconds * ticksPerSecond {
			now = now.Add(time.Second / ticksPerSecond)
			for i := range nextSend {
				if now.Before(nextSend[i]) {
					continue
				}
				seq++
				h := agentHeartbeat(i)
				h.Seq = seq
				if err := state.HandleHeartbeat(now, h); err != nil {
					return err
				}
				reply := state.Reply(h)
				nextSend[i] = now.Add(reply.Interval)
				messages++
				bytes += proto.Size(wire.EncodeHeartbeat(h)) + proto.Size(wire.EncodeHeartbeatReply(reply))
			}
			state.Tick(now)
			runtime.KeepAlive(state.Servers())
			state.TakeEvents()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if got := len(state.Servers()); got != agents {
		return nil, fmt.Errorf("entry has %d of %d agents in service", got, agents)
	}
	heap := heapGrowthKB(before)
	runtime.KeepAlive(state)
	return []float64{
		heap, cpu / simulatedSeconds, float64(bytes) / simulatedSeconds, float64(messages) / simulatedSeconds,
	}, nil
}

// stubPeer answers every heartbeat with the same interval.
type stubPeer struct{ track.Peer }

// Heartbeat implements track.Peer.
func (stubPeer) Heartbeat(context.Context, track.Heartbeat) (track.HeartbeatReply, error) {
	return track.HeartbeatReply{Interval: time.Second}, nil
}

// measureHeartbeats measures heartbeat calls over one connection.
func measureHeartbeats(ctx context.Context, calls int) ([]float64, error) {
	server := wire.NewServer(zap.NewNop())
	wire.RegisterPeer(server, stubPeer{}, func(context.Context, track.AvailabilityZone) error { return nil })
	address, err := serveLoopback(ctx, server)
	if err != nil {
		return nil, err
	}
	defer server.Stop()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	peer := wire.NewPeer(conn)
	cpu, err := cpuMicros(func() error {
		for i := range calls {
			if _, err := peer.Heartbeat(ctx, agentHeartbeat(i%plannedZoneAgents)); err != nil {
				return err
			}
		}
		return nil
	})
	return []float64{cpu}, err
}
