package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts how requests end. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set

	mu       sync.Mutex
	services map[string]*serviceMetrics
}

// serviceMetrics holds the counters of one service, so that a request looks up no names.
type serviceMetrics struct {
	repeats   *metrics.Counter
	queue     *metrics.Histogram
	firstByte *metrics.Histogram
	whole     *metrics.Histogram
	maxGap    *metrics.Histogram
	outcomes  map[string]*metrics.Counter
}

// NewMetrics returns metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, services: make(map[string]*serviceMetrics)}
}

func (m *Metrics) observe(x *exchange, refusal *Refusal) {
	outcome := "Served"
	if refusal != nil {
		outcome = refusal.Reason
	}
	s, count := m.service(x.service, outcome)
	count.Inc()
	s.repeats.Add(max(x.sent-1, 0))
	s.queue.Update(x.waited().Seconds())
	if refusal == nil {
		s.firstByte.Update(x.firstByte.Seconds())
		s.whole.Update(x.proxy.options.Clock.Since(x.arrived).Seconds())
	}
	if x.pacedWriter != nil {
		s.maxGap.Update(x.pacedWriter.LongestGap().Seconds())
	}
}

// service returns the counters of a service, and that of an outcome.
func (m *Metrics) service(name, outcome string) (*serviceMetrics, *metrics.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		histogram := func(kind string) *metrics.Histogram {
			return m.set.GetOrCreateHistogram(fmt.Sprintf("filberttrack_%s_seconds{service=%q}", kind, name))
		}
		s = &serviceMetrics{
			repeats: m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_repeats_total{service=%q}", name)),
			queue:   histogram("queue"), firstByte: histogram("first_byte"), whole: histogram("whole"), maxGap: histogram("max_gap"),
			outcomes: make(map[string]*metrics.Counter),
		}
		m.services[name] = s
	}
	count := s.outcomes[outcome]
	if count == nil {
		count = m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_requests_total{service=%q,outcome=%q}", name, outcome))
		s.outcomes[outcome] = count
	}
	return s, count
}

func (x *exchange) waited() time.Duration {
	if x.grant == nil {
		return 0
	}
	return x.grant.Waited
}
