package proxy

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts how requests end.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set}
}

func (m *Metrics) observe(x *exchange, refusal *Refusal) {
	outcome := "Served"
	if refusal != nil {
		outcome = refusal.Reason
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_requests_total{service=%q,outcome=%q}", x.service, outcome)).Inc()
	if x.sent > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf("filberttrack_repeats_total{service=%q}", x.service)).Add(x.sent - 1)
	}
	m.histogram("queue", x.service, x.waited())
	if refusal == nil {
		m.histogram("first_byte", x.service, x.firstByte)
		m.histogram("whole", x.service, x.proxy.options.Clock.Since(x.arrived))
	}
	if x.outlet != nil {
		m.histogram("max_gap", x.service, x.outlet.MaxGap())
	}
}

func (m *Metrics) histogram(name, service string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("filberttrack_%s_seconds{service=%q}", name, service)).Update(d.Seconds())
}

func (x *exchange) waited() time.Duration {
	if x.grant == nil {
		return 0
	}
	return x.grant.Waited
}
