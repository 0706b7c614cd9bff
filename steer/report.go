package steer

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/swap"
)

// Report returns the expert placement of the group, the latest plan and its result, as
// this agent knows them.
func (s *Controller) Report() track.ExpertReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// SetPaused makes the agent plan changes without carrying them out, until it is called
// with false. Unfinished changes are settled even while paused.
func (s *Controller) SetPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
	s.report.Paused = paused
}

// recordPlan adds a plan to the report for operators, and reports whether changes are
// paused.
func (s *Controller) recordPlan(
	current expert.Placement, version track.Ballot, plan expert.Plan, loads expert.Loads,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Group = s.groupName()
	s.report.Map = current.Map()
	s.report.Map.Version = version
	s.report.PlannedAt = s.options.Clock.Now()
	s.report.Skew, s.report.ExpectedSkew, s.report.LowerBound = plan.Skew, plan.ExpectedSkew, 1
	if loads != nil {
		s.report.LowerBound = expert.LowerBound(current.Shape, loads)
		s.report.RankLoads = averageRankLoads(current, loads)
	}
	s.report.Reason = string(plan.Reason)
	s.report.Deferred = plan.Deferred
	s.report.Bytes = s.fetchBytes(plan)
	s.report.FetchTime = time.Duration(
		float64(s.report.Bytes) / float64(s.options.Store.BytesPerSecond) * float64(time.Second))
	s.report.Moves = s.report.Moves[:0:0]
	for _, move := range plan.Moves {
		s.report.Moves = append(s.report.Moves, track.ExpertMove{
			Layer: move.Layer, Rank: move.Rank, From: move.From, To: move.To,
		})
	}
	return s.paused
}

// reasonOtherAgent is the reported reason of an agent that doesn't plan because another
// agent does.
const reasonOtherAgent = "AnotherAgentPlans"

// recordOtherPlanner records that another agent plans, unless this one is the first in
// order.
func (s *Controller) recordOtherPlanner(position int) {
	if position == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Group, s.report.Reason = s.groupName(), reasonOtherAgent
}

// groupName returns the name of the agent's group; empty while it isn't known.
func (s *Controller) groupName() string {
	for _, agent := range s.options.GroupAgents() {
		if agent.ID == s.options.Self {
			return agent.Group
		}
	}
	return ""
}

// averageRankLoads returns the load of each rank relative to the mean, averaged over
// the layers.
func averageRankLoads(placement expert.Placement, loads expert.Loads) []float64 {
	averages := make([]float64, placement.Ranks)
	for layer := range placement.Layers {
		for rank, load := range placement.RankLoads(layer, loads[layer]) {
			averages[rank] += load / float64(placement.Layers)
		}
	}
	return averages
}

// recordResult records the result of an attempt in the report and in the metrics.
// changing says whether the attempt was to change the map.
func (s *Controller) recordResult(result swap.Result, changing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Outcome, s.report.OutcomeReason = string(result.Outcome), result.Reason
	if !changing && result.Outcome == swap.Idle {
		return
	}
	s.options.Metrics.GetOrCreateCounter(
		`filberttrack_expert_changes_total{outcome="` + string(result.Outcome) + `"}`).Inc()
	if result.Outcome == swap.Switched {
		s.options.Metrics.GetOrCreateCounter("filberttrack_expert_moved_bytes_total").AddInt64(s.report.Bytes)
	}
}

func (s *Controller) registerMetrics(metricSet *metrics.Set) {
	metricSet.GetOrCreateGauge("filberttrack_expert_skew", func() float64 { return s.Report().Skew })
	metricSet.GetOrCreateGauge("filberttrack_expert_skew_lower_bound", func() float64 { return s.Report().LowerBound })
	metricSet.GetOrCreateCounter("filberttrack_expert_moved_bytes_total")
}

// RegisterHandlers adds the handlers for operators: GET /experts, POST /experts/pause and POST
// /experts/resume. Each answers with the report.
func (s *Controller) RegisterHandlers(handler *admin.Handler) {
	handler.Handle("GET /experts", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteJSON(w, http.StatusOK, s.Report())
	}))
	handler.Handle("POST /experts/pause", s.pauseHandler(true))
	handler.Handle("POST /experts/resume", s.pauseHandler(false))
}

func (s *Controller) pauseHandler(paused bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.SetPaused(paused)
		admin.WriteJSON(w, http.StatusOK, s.Report())
	})
}
