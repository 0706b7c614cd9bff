package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track/batch"
)

// Metrics records the outcomes and durations of requests by service. It is safe for
// concurrent use.
type Metrics struct {
	set *metrics.Set
	// returns counts the requests of clients that were told to return, by kind.
	returns map[batch.Return]*metrics.Counter

	mu       sync.Mutex
	services map[string]*serviceMetrics
}

// serviceMetrics holds the metrics of one service, so that a request needs no lookups by
// metric name.
type serviceMetrics struct {
	retries         *metrics.Counter
	queueTime       *metrics.Histogram
	timeToFirstByte *metrics.Histogram
	duration        *metrics.Histogram
	longestGap      *metrics.Histogram
	outcomes        map[string]*metrics.Counter
}

// NewMetrics returns a Metrics that registers its metrics in the given set.
func NewMetrics(set *metrics.Set) *Metrics {
	returns := make(map[batch.Return]*metrics.Counter)
	for _, kind := range []batch.Return{batch.Booked, batch.Early} {
		returns[kind] = set.GetOrCreateCounter(fmt.Sprintf("filberttrack_returns_total{kind=%q}", kind))
	}
	return &Metrics{set: set, returns: returns, services: make(map[string]*serviceMetrics)}
}

// observe records the end of a request, which was refused if refusal isn't nil.
func (m *Metrics) observe(x *exchange, refusal *Refusal) {
	outcome := "Served"
	if refusal != nil {
		outcome = refusal.Reason
	}
	s, counter := m.forService(x.service, outcome)
	counter.Inc()
	if returned := m.returns[x.returning.kind]; returned != nil {
		returned.Inc()
	}
	s.retries.Add(max(x.attempts-1, 0))
	s.queueTime.Update(x.queueTime().Seconds())
	if refusal == nil {
		s.timeToFirstByte.Update(x.timeToFirstByte.Seconds())
		s.duration.Update(x.proxy.options.Clock.Since(x.arrived).Seconds())
	}
	if x.pacedWriter != nil {
		s.longestGap.Update(x.pacedWriter.LongestGap().Seconds())
	}
}

// forService returns the metrics of a service and its counter of an outcome.
func (m *Metrics) forService(name, outcome string) (*serviceMetrics, *metrics.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		histogram := func(kind string) *metrics.Histogram {
			return m.set.GetOrCreateHistogram(fmt.Sprintf("filberttrack_%s_seconds{service=%q}", kind, name))
		}
		s = &serviceMetrics{
			retries:   m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_repeats_total{service=%q}", name)),
			queueTime: histogram("queue"), timeToFirstByte: histogram("first_byte"), duration: histogram("whole"),
			longestGap: histogram("max_gap"),
			outcomes:   make(map[string]*metrics.Counter),
		}
		m.services[name] = s
	}
	counter := s.outcomes[outcome]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_requests_total{service=%q,outcome=%q}", name, outcome))
		s.outcomes[outcome] = counter
	}
	return s, counter
}

// countHedge counts a result of hedging: that a hedge was sent, won or lost, or the reason why none was sent.
func (m *Metrics) countHedge(service, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_hedges_total{service=%q,result=%q}", service, result)).Inc()
}

// queueTime returns the time that the latest attempt spent in the queue.
func (x *exchange) queueTime() time.Duration {
	if x.grant == nil {
		return 0
	}
	return x.grant.Waited
}
