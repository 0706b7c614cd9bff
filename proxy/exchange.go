package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/events"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/smooth"
)

// exchange is one request on its way.
type exchange struct {
	proxy   *Proxy
	w       http.ResponseWriter
	request *Request
	arrived time.Time
	step    string

	table    *hosts.Table
	route    track.Route
	account  track.RouteAccount
	priority int
	service  string
	pool     *batch.Pool
	budget   *retry.ServiceBudget
	// fingerprint names what the request asks for.
	fingerprint blame.Fingerprint
	// deadline is the time by which the request must be answered.
	deadline time.Time

	// sent counts the attempts that a replica may have got.
	sent int
	// unreached counts the attempts that no replica got.
	unreached int
	excluded  []track.ReplicaID
	// left is set if the attempt was broken off to leave a slow rank.
	left atomic.Bool
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// committed is set once the head of an answer was relayed.
	committed bool
	splitter  *events.Splitter
	// client ends when the client leaves, and pacedWriter delivers the events of a stream.
	client      context.Context
	pacedWriter *smooth.PacedWriter

	// For the log.
	grant     *batch.Grant
	firstByte time.Duration
	status    int
	fault     string
}

const (
	// defaultTimeLeft is the time assumed of a client that names no deadline and of
	// a route without a timeout.
	defaultTimeLeft = 30 * time.Second
	// startRetryAfter is the time after which an entry that has just started is
	// expected to know its configuration.
	startRetryAfter = time.Second
)

func (x *exchange) findRoute(context.Context) *Refusal {
	x.table = x.proxy.options.Table()
	if x.table == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "NoConfiguration"}
	}
	route, ok := x.table.Route(x.request.Host, x.request.Path)
	if !ok {
		return &Refusal{Status: http.StatusNotFound, Reason: "NoRoute"}
	}
	x.route, x.priority = route, route.Priority
	left := x.request.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	x.deadline = x.arrived.Add(left)
	return nil
}

func (x *exchange) identify(context.Context) *Refusal {
	if !x.table.RequiresKey(x.route) {
		return nil
	}
	account, ok := x.table.Account(x.request.Key)
	if !ok {
		return &Refusal{Status: http.StatusUnauthorized, Reason: "UnknownKey"}
	}
	x.account = account
	if account.Priority != nil {
		x.priority = *account.Priority
	}
	return nil
}

func (x *exchange) chooseService(context.Context) *Refusal {
	x.service = hosts.PickService(x.route, x.proxy.options.Draw())
	x.pool = x.proxy.options.Services.Pool(x.service)
	x.budget = x.proxy.options.Services.Budget(x.service)
	x.budget.RecordRequest()
	return nil
}

// screen refuses a request that crashes the replicas that run it.
func (x *exchange) screen(context.Context) *Refusal {
	r := x.request
	x.fingerprint = blame.FingerprintOf([]byte(r.Method), []byte(r.Host), []byte(r.Target), []byte(x.account.Name), r.Body)
	return x.barred()
}

// barred returns the refusal of a request that has crashed too many replicas, nil
// for any other.
func (x *exchange) barred() *Refusal {
	left := x.proxy.options.Blame.BarredFor(x.fingerprint)
	if left <= 0 {
		return nil
	}
	refusal := x.fail(http.StatusServiceUnavailable, "CrashesReplicas")
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = left
	}
	return refusal
}

// log writes the one line on how the request was decided.
func (x *exchange) log(refusal *Refusal) {
	now := x.proxy.options.Clock.Now()
	fields := []zap.Field{
		zap.String("RequestID", string(x.request.ID)),
		zap.String("Route", x.route.Name),
		zap.String("Account", x.account.Name),
		zap.String("Service", x.service),
		zap.Int("Attempts", x.sent),
		zap.Int64("TookMs", now.Sub(x.arrived).Milliseconds()),
	}
	if !x.deadline.IsZero() {
		fields = append(fields, zap.Int64("LeftMs", x.deadline.Sub(now).Milliseconds()))
	}
	if x.table != nil {
		fields = append(fields, zap.Uint64("Version", x.table.Version()))
	}
	if x.grant != nil {
		fields = append(fields,
			zap.String("Replica", string(x.grant.Replica.ID)),
			zap.Int64("WaitedMs", x.grant.Waited.Milliseconds()),
			zap.Int("Load", x.grant.Load),
			zap.Int("Starting", x.grant.Starting),
			zap.Int("PromptTokens", x.request.PromptTokens),
			zap.Int("Candidates", x.grant.Candidates))
	}
	if x.firstByte > 0 {
		fields = append(fields, zap.Int64("FirstByteMs", x.firstByte.Milliseconds()))
	}
	if x.splitter != nil {
		fields = append(fields, zap.Int("Events", x.splitter.Count()))
	}
	if x.pacedWriter != nil {
		fields = append(fields, zap.Int64("MaxGapMs", x.pacedWriter.LongestGap().Milliseconds()), zap.Int64("MaxHeldMs", x.pacedWriter.LongestDelay().Milliseconds()))
	}
	if x.fault != "" {
		fields = append(fields, zap.String("Fault", x.fault))
	}
	if refusal == nil {
		x.proxy.options.Logger.Info("request served", append(fields, zap.Int("Status", x.status))...)
		return
	}
	fields = append(fields,
		zap.String("Step", x.step),
		zap.Int("Status", refusal.Status),
		zap.String("Reason", refusal.Reason),
		zap.Bool("CutOff", x.committed),
		zap.Bool("MayHaveRun", x.mayHaveRun),
		zap.Int64("RetryAfterMs", refusal.RetryAfter.Milliseconds()))
	x.proxy.options.Logger.Warn("request failed", fields...)
}
