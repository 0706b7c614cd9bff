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

// NewRankClients returns a client for each rank of an engine, and one that reads the
// engine's token counts per expert.
type NewRankClients func(client *http.Client, backend *url.URL, ranks int) ([]track.RankEngine, track.ExpertCounter)

// newHTTPRankClients implements NewRankClients over HTTP.
func newHTTPRankClients(client *http.Client, backend *url.URL, n int) ([]track.RankEngine, track.ExpertCounter) {
	engines := make([]track.RankEngine, n)
	for i := range engines {
		engines[i] = orders.NewClient(client, backend, i)
	}
	return engines, orders.NewCounter(client, backend)
}

// setUpRankGroup creates the gateway to the ranks behind the agent and the controller
// that places experts on the ranks of their group. It does nothing for an agent
// without ranks, and fails if the dimensions of the group are invalid.
func (c *AgentCore) setUpRankGroup(s conf.Settings, backend *url.URL) error {
	if s.Agent.Ranks == 0 || c.deps.RankClients == nil {
		return nil
	}
	shape := expertShape(s.Agent.Experts, s.Agent.GroupRanks)
	if err := shape.Check(); err != nil {
		return err
	}
	incarnation := track.Incarnation(c.deps.Clock.Now().UnixNano())
	engines, counter := c.deps.RankClients(c.deps.BackendClient, backend, s.Agent.Ranks)
	c.rankGateway = swap.NewGateway(c.instance.ID, incarnation, engines, counter, c.deps.Clock)
	c.expertController = steer.New(steer.Options{
		Self:        c.instance.ID,
		Incarnation: incarnation,
		Gateway:     c.rankGateway,
		GroupAgents: c.groupAgents(s.Agent),
		Dial:        c.deps.DialRankGateway,
		Policy:      func() track.ExpertPolicy { return expertPolicy(s, s.Agent.Serves) },
		Store: steer.WeightStore{
			ExpertBytes:    s.Agent.Experts.Bytes,
			BytesPerSecond: s.Agent.Experts.FetchBytesPerSecond * int64(s.Agent.GroupRanks),
			StagedCopies:   s.Agent.Experts.StagedCopies,
		},
		DefaultMap: expert.Uniform(shape).Map(),
		Clock:      c.deps.Clock,
		Logger:     c.deps.Logger,
		Metrics:    c.metrics,
	})
	c.expertController.RegisterHandlers(c.admin)
	return nil
}

// groupAgents returns a function that lists the agents of the rank group. Only a group
// that spans several agents needs the platform's list.
func (c *AgentCore) groupAgents(a conf.Agent) func() []track.Instance {
	if a.GroupRanks == a.Ranks || c.deps.Platform.List == nil {
		return func() []track.Instance { return []track.Instance{c.instance} }
	}
	self := func() track.Instance { return c.instance }
	c.roster = steer.NewRoster(c.deps.Platform.List, self, a.GroupRanks, c.deps.Clock, c.deps.Logger)
	return c.roster.Agents
}

// expertShape returns the dimensions of a rank group.
func expertShape(e conf.Experts, ranks int) expert.Shape {
	return expert.Shape{Ranks: ranks, Layers: e.Layers, Experts: e.PerLayer, Slots: e.Slots}
}

// expertPolicy returns the weights of skew and moves in the profile of a model, or the
// defaults if the settings have none.
func expertPolicy(s conf.Settings, model string) track.ExpertPolicy {
	for _, m := range s.Model {
		for _, p := range s.Profile {
			if m.Name == model && p.Name == m.Profile && p.Experts.SkewWeight > 0 {
				return p.Experts
			}
		}
	}
	return expert.DefaultPolicy()
}

// withStandinRanks adds a stand-in rank group to a stand-in engine. It returns the
// handler of both and the task that steps the group. The token counts per expert
// follow a simulated day with gradual drift and a jump at lunch.
func withStandinRanks(
	ctx context.Context, engine http.Handler, e conf.Experts, replicas conf.Replicas, clock clockwork.Clock,
) (http.Handler, *duty.Duty) {
	shape := expertShape(e, replicas.Ranks)
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
