package edge

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track/batch"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/retry"
)

// registerGauges registers the gauges of the entry as a whole.
func (e *Entry) registerGauges() {
	set := e.options.Metrics
	set.GetOrCreateGauge("filberttrack_config_version", func() float64 {
		if table := e.configHolder.Table(); table != nil {
			return float64(table.Version())
		}
		return 0
	})
	set.GetOrCreateGauge("filberttrack_replicas_age_seconds", func() float64 {
		age, known := e.replicaFollower.Age()
		if !known {
			return -1
		}
		return age.Seconds()
	})
	e.registerTopic(e.options.Topics.Config, e.configFollower)
	e.registerTopic(e.options.Topics.Replicas, e.replicaFollower)
	e.registerTopic(topicMembers, e.memberFollower)
	set.GetOrCreateGauge("filberttrack_limited_replicas", func() float64 {
		replicas, _ := e.limitedReplicas()
		return float64(replicas)
	})
	set.GetOrCreateGauge("filberttrack_replica_limits", func() float64 {
		_, sum := e.limitedReplicas()
		return sum
	})
	set.GetOrCreateGauge("filberttrack_evacuated_zones", func() float64 { return float64(e.evacuatedZones()) })
	set.GetOrCreateGauge("filberttrack_tickets", func() float64 { return float64(e.tickets.Len()) })
	set.GetOrCreateGauge("filberttrack_peers_heard", func() float64 { return float64(len(e.gossipNode.LiveMessages())) })
}

// registerTopic registers the gauges that tell a topic without news from one whose answers are lost.
func (e *Entry) registerTopic(topic string, follower *keyed.Follower) {
	age := func(at func() time.Time, never float64) func() float64 {
		return func() float64 {
			if t := at(); !t.IsZero() {
				return e.options.Clock.Since(t).Seconds()
			}
			return never
		}
	}
	set := e.options.Metrics
	set.GetOrCreateGauge(fmt.Sprintf("filberttrack_log_confirmed_age_seconds{topic=%q}", topic), age(follower.ConfirmedAt, -1))
	set.GetOrCreateGauge(fmt.Sprintf("filberttrack_log_read_pending_seconds{topic=%q}", topic), age(follower.PendingSince, 0))
}

// limitedReplicas returns the number of listed replicas that name a limit, and the sum of these, in requests
// a second.
func (e *Entry) limitedReplicas() (replicas int, sum float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if limit := e.signs.Of(r).Limit; limit > 0 {
			replicas++
			sum += limit
		}
	}
	return replicas, sum
}

// registerPool registers the gauges of a service's queue and capacity.
func (e *Entry) registerPool(service string, pool *batch.Pool) {
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_waiting{service=%q}", service), func() float64 {
		return float64(pool.Usage().Queued)
	})
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_places{service=%q}", service), func() float64 {
		return float64(pool.Usage().Capacity)
	})
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_places_taken{service=%q}", service), func() float64 {
		return float64(pool.Usage().InFlight)
	})
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_owned_slots{service=%q}", service), func() float64 {
		return float64(pool.SlotUse().Owned)
	})
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_lent_requests_total{service=%q}", service), func() float64 {
		return float64(pool.SlotUse().LentRequests)
	})
	registerCondition(e.options.Metrics, fmt.Sprintf("filberttrack_group_broken{service=%q}", service), pool.HasBrokenGroup)
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_cold_replicas{service=%q}", service), func() float64 {
		return float64(pool.ColdReplicas())
	})
}

// registerCondition registers a gauge that is 1 while the condition holds, else 0.
func registerCondition(set *metrics.Set, name string, holds func() bool) {
	set.GetOrCreateGauge(name, func() float64 {
		if holds() {
			return 1
		}
		return 0
	})
}

// registerBudget registers the gauge of the retries left for a service.
func (e *Entry) registerBudget(service string, budget *retry.ServiceBudget) {
	e.options.Metrics.GetOrCreateGauge(fmt.Sprintf("filberttrack_repeats_left{service=%q}", service), budget.Remaining)
}

// The duties that an agent may leave off, and the reasons, as labels of the gauge.
const (
	dutyDirectRanks       = "DirectRanks"
	reasonNoFencing       = "EnginesCheckNoFencing"
	dutyBalanceExperts    = "BalanceExperts"
	reasonNoExpertsListed = "NoExpertsInConfiguration"
)

// registerLeftOff registers the gauges of the duties that the deployment may make the agent leave off. A gauge
// is 1 while its duty is left off.
func (a *Agent) registerLeftOff() {
	leftOff := func(duty, reason string, holds func() bool) {
		name := fmt.Sprintf("filberttrack_duty_left_off{duty=%q,reason=%q}", duty, reason)
		registerCondition(a.options.Metrics, name, holds)
	}
	leftOff(dutyDirectRanks, reasonNoFencing, func() bool { return a.options.DirectRank == nil })
	leftOff(dutyBalanceExperts, reasonNoExpertsListed, func() bool {
		spec, known := a.engines.Experts()
		return !known || spec.Experts == 0
	})
}
