package main

import (
	"context"
	"fmt"
	"net"
	"runtime"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/gauge"
	"filberttrack.example/track/stand/engine"
	"filberttrack.example/track/wire"
)

func memoryBenchmarks() []benchmark {
	return []benchmark{{
		name: "entry and agent, open streams", variable: "streams",
		sizes:   []int{100, 200, 400, 800},
		costs:   []cost{{name: "heap and stacks, both hops", unit: "KB", today: todayStreams, planned: plannedStreams}},
		measure: measureStreams,
	}, {
		name: "entry, connections to own processes, both ends", variable: "connections",
		sizes:   []int{25, 50, 100, 200},
		costs:   []cost{{name: "heap and stacks", unit: "KB", today: todayConns, planned: plannedConns}},
		measure: measureConns,
	}}
}

// measureStreams returns by how many kilobytes n open streams through the hops need more memory
// than n streams that go directly to the engines.
func measureStreams(ctx context.Context, n int) ([]float64, error) {
	r, err := startTestbed(ctx, todayAgents, engine.Settings{AnswerTokens: 5, Capacity: n, QueueLimit: n})
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.stop(ctx) }()
	direct, err := r.openStreams(ctx, r.directURLs(), n)
	if err != nil {
		return nil, err
	}
	through, err := r.openStreams(ctx, []string{"http://" + r.entry.Addr()}, n)
	return []float64{through - direct}, err
}

// openStreams opens n streams and returns the kilobytes of memory that they use while all wait
// for their next token.
func (r *testbed) openStreams(ctx context.Context, urls []string, n int) (float64, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	before := gauge.HeapBytes()
	for _, e := range r.engines {
		e.Pause()
	}
	var group errgroup.Group
	for i := range n {
		group.Go(func() error {
			_, err := readStream(ctx, client, urls[i%len(urls)], fmt.Sprintf("bale %d", i))
			return err
		})
	}
	for r.running() < n && ctx.Err() == nil {
		runtime.Gosched()
	}
	used := heapGrowthKB(before)
	for _, e := range r.engines {
		e.Resume()
	}
	return used, group.Wait()
}

// measureConns measures n connections of one dialer, each to a different server.
func measureConns(ctx context.Context, n int) ([]float64, error) {
	before := gauge.HeapBytes()
	dialer := wire.NewDialer(nil)
	defer dialer.Close()
	for i := range n {
		server := wire.NewServer(zap.NewNop())
		defer server.Stop()
		wire.RegisterAgent(server, stubAgent{})
		address, err := serveLoopback(ctx, server)
		if err != nil {
			return nil, err
		}
		agent, err := dialer.Dial(track.Instance{ID: track.InstanceID(fmt.Sprint(i)), Address: address})
		if err != nil {
			return nil, err
		}
		if _, err := agent.Report(ctx); err != nil {
			return nil, err
		}
	}
	return []float64{heapGrowthKB(before)}, nil
}

// stubAgent is an agent whose load report is empty.
type stubAgent struct{ track.Agent }

// Report implements track.Agent.
func (stubAgent) Report(context.Context) (track.Report, error) {
	return track.Report{}, nil
}

// serveLoopback serves on a free port until the server is stopped.
func serveLoopback(ctx context.Context, server *grpc.Server) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
	if err != nil {
		return "", err
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
