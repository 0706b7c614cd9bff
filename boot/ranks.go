package boot

import (
	"context"
	"net/http"
	"net/url"
	"slices"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/bench/skew"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/orders"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
)

// RankPorts opens the ports to the ranks of an engine and to its counts.
type RankPorts func(client *http.Client, backend *url.URL, ranks int) ([]track.RankEngine, track.ExpertCounter)

// httpRanks reaches ranks over HTTP.
func httpRanks(client *http.Client, backend *url.URL, n int) ([]track.RankEngine, track.ExpertCounter) {
	engines := make([]track.RankEngine, n)
	for i := range engines {
		engines[i] = orders.NewClient(client, backend, i)
	}
	return engines, orders.NewCounter(client, backend)
}

// joinRanks adds the door to the ranks and the duty that steers their group.
func (c *AgentCore) joinRanks(s conf.Settings, backend *url.URL) error {
	if s.Agent.Ranks == 0 || c.ports.Ranks == nil {
		return nil
	}
	shape := shapeOf(s.Agent.Experts, s.Agent.GroupRanks)
	if err := shape.Check(); err != nil {
		return err
	}
	incarnation := track.Incarnation(c.ports.Clock.Now().UnixNano())
	engines, counter := c.ports.Ranks(c.ports.Client, backend, s.Agent.Ranks)
	c.door = swap.NewGateway(c.instance.ID, incarnation, engines, counter, c.ports.Clock)
	c.steer = steer.New(steer.Options{
		Self:        c.instance.ID,
		Incarnation: incarnation,
		Gateway:     c.door,
		GroupAgents: c.group(s.Agent),
		Dial:        c.ports.DialDoor,
		Policy:      func() track.ExpertPolicy { return policyOf(s, s.Agent.Serves) },
		Store: steer.WeightStore{
			ExpertBytes:    s.Agent.Experts.Bytes,
			BytesPerSecond: s.Agent.Experts.FetchBytesPerSecond * int64(s.Agent.GroupRanks),
			StagedCopies:   s.Agent.Experts.StagedCopies,
		},
		DefaultMap: expert.Uniform(shape).Map(),
		Clock:      c.ports.Clock,
		Logger:     c.ports.Logger,
		Metrics:    c.metrics,
	})
	c.steer.RegisterHandlers(c.admin)
	return nil
}

// group returns how the agents of the group are known. Only a group that spans
// several agents needs the platform's list.
func (c *AgentCore) group(a conf.Agent) func() []track.Instance {
	if a.GroupRanks == a.Ranks || c.ports.Platform.List == nil {
		return func() []track.Instance { return []track.Instance{c.instance} }
	}
	self := func() track.Instance { return c.instance }
	c.roster = steer.NewRoster(c.ports.Platform.List, self, a.GroupRanks, c.ports.Clock, c.ports.Logger)
	return c.roster.Agents
}

func shapeOf(e conf.Experts, ranks int) expert.Shape {
	return expert.Shape{Ranks: ranks, Layers: e.Layers, Experts: e.PerLayer, Slots: e.Slots}
}

// policyOf returns the weights of a model's profile as the settings give them.
func policyOf(s conf.Settings, model string) track.ExpertPolicy {
	for _, m := range s.Model {
		for _, p := range s.Profile {
			if m.Name == model && p.Name == m.Profile && p.Experts.SkewWeight > 0 {
				return p.Experts
			}
		}
	}
	return expert.DefaultPolicy()
}

// withRanks puts a stand-in rank group beside a stand-in engine. Its counts
// follow a day of drift with a jump at lunch.
func withRanks(ctx context.Context, engine http.Handler, e conf.Experts, replicas conf.Replicas, clock clockwork.Clock) (http.Handler, *duty.Duty) {
	shape := shapeOf(e, replicas.Ranks)
	group := ranks.New(ranks.Settings{Ranks: replicas.Ranks, Map: expert.Uniform(shape).Map(), FetchSteps: 2})
	trace := skew.NewTrace(shape, skew.Lunch, skew.Deployments()[0].Jumps, uint64(replicas.Ranks))
	window := 0
	counter := ranks.NewCounter(clock, skew.Window, func() [][]float64 {
		_, counts := trace.Next(window)
		window++
		out := make([][]float64, len(counts))
		for layer := range counts {
			out[layer] = slices.Clone(counts[layer])
		}
		return out
	})
	mux := http.NewServeMux()
	mux.Handle("/ranks/", orders.Handler(group.Engines(), counter))
	mux.Handle("/", engine)
	stepTime := max(replicas.StepTime, skew.StepTime)
	return mux, duty.Start(ctx, "step rank group", func(ctx context.Context) error {
		return group.Run(ctx, clock, stepTime)
	})
}
