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

// Report returns what the agent knows of its group's placement.
func (s *Steer) Report() track.ExpertReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// Pause makes the agent plan without carrying plans out, until it is called
// with false. Changes half done are settled all the same.
func (s *Steer) Pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
	s.report.Paused = paused
}

// note records a plan for operators and reports whether changes are paused.
func (s *Steer) note(now expert.Placement, version track.Ballot, plan expert.Plan, loads expert.Loads) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Group = s.group()
	s.report.Map = now.Map()
	s.report.Map.Version = version
	s.report.Planned = s.options.Clock.Now()
	s.report.Skew, s.report.Expected, s.report.LowerBound = plan.Skew, plan.Expected, 1
	if loads != nil {
		s.report.LowerBound = expert.LowerBound(now.Shape, loads)
		s.report.RankLoads = meanLoads(now, loads)
	}
	s.report.Reason = string(plan.Reason)
	s.report.Deferred = plan.Deferred
	s.report.Bytes = s.bytes(plan)
	s.report.Fetch = time.Duration(float64(s.report.Bytes) / float64(s.options.Store.BytesPerSecond) * float64(time.Second))
	s.report.Moves = s.report.Moves[:0:0]
	for _, m := range plan.Moves {
		s.report.Moves = append(s.report.Moves, track.ExpertMove{Layer: m.Layer, Rank: m.Rank, From: m.From, To: m.To})
	}
	return s.paused
}

// reasonOther is the reason of an agent that leaves planning to another.
const reasonOther = "AnotherAgentPlans"

// yield records that an agent before this one plans.
func (s *Steer) yield(turn int) {
	if turn == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Group, s.report.Reason = s.group(), reasonOther
}

func (s *Steer) group() string {
	for _, agent := range s.options.Group() {
		if agent.ID == s.options.Self {
			return agent.Group
		}
	}
	return ""
}

// meanLoads returns the load of each rank relative to the mean, averaged over
// the layers.
func meanLoads(p expert.Placement, loads expert.Loads) []float64 {
	out := make([]float64, p.Ranks)
	for layer := range p.Layers {
		for rank, load := range p.RankLoads(layer, loads[layer]) {
			out[rank] += load / float64(p.Layers)
		}
	}
	return out
}

// settled records the end of an attempt.
func (s *Steer) settled(result swap.Result, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Outcome, s.report.OutcomeReason = string(result.Outcome), result.Reason
	if !changed && result.Outcome == swap.Idle {
		return
	}
	s.options.Metrics.GetOrCreateCounter(`filberttrack_expert_changes_total{outcome="` + string(result.Outcome) + `"}`).Inc()
	if result.Outcome == swap.Switched {
		s.options.Metrics.GetOrCreateCounter("filberttrack_expert_moved_bytes_total").AddInt64(s.report.Bytes)
	}
}

func (s *Steer) register(set *metrics.Set) {
	set.GetOrCreateGauge("filberttrack_expert_skew", func() float64 { return s.Report().Skew })
	set.GetOrCreateGauge("filberttrack_expert_skew_lower_bound", func() float64 { return s.Report().LowerBound })
	set.GetOrCreateCounter("filberttrack_expert_moved_bytes_total")
}

// Register adds the operators' handlers.
func (s *Steer) Register(h *admin.Handler) {
	h.Handle("GET /experts", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteJSON(w, http.StatusOK, s.Report())
	}))
	h.Handle("POST /experts/pause", s.pauseHandler(true))
	h.Handle("POST /experts/resume", s.pauseHandler(false))
}

func (s *Steer) pauseHandler(paused bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.Pause(paused)
		admin.WriteJSON(w, http.StatusOK, s.Report())
	})
}
