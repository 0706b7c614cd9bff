package proxy

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/events"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/smooth"
)

// exchange is the state of one request while it is served.
type exchange struct {
	proxy   *Proxy
	w       http.ResponseWriter
	request *Request
	arrived time.Time
	// step is the name of the current step.
	step string

	table    *hosts.Table
	route    track.Route
	account  track.RouteAccount
	priority int
	service  string
	pool     *batch.Pool
	budget   *retry.ServiceBudget
	// fingerprint identifies equal requests, so that one that crashes replicas is
	// recognized when it comes again.
	fingerprint blame.Fingerprint
	// parts holds the parts of the prompt that other requests may share.
	parts []parts.Part
	// trial is set if the request shows whether one of its parts crashes replicas.
	trial bool
	// deadline is the time by which the request must be answered.
	deadline time.Time

	// attempts counts the attempts that may have reached a replica.
	attempts int
	// unreachable counts the attempts that reached no replica.
	unreachable int
	// excluded lists the replicas that were already tried.
	excluded []track.ReplicaID
	// current is the attempt whose outcome is handled, and hedged is set once the request has been hedged.
	current *attempt
	hedged  bool
	// mayHaveRun is set once a replica may have run the request.
	mayHaveRun bool
	// committed is set once the status and headers of an answer were written to the
	// client.
	committed bool
	// firstEventAt is when the latest attempt got its first event; zero before.
	firstEventAt time.Time
	// soundRun is set once the latest attempt has shown that the parts are sound.
	soundRun bool
	// splitter splits a stream into events, over all attempts.
	splitter *events.Splitter
	// clientCtx ends when the client disconnects.
	clientCtx context.Context
	// pacedWriter delivers the events of a stream to the client.
	pacedWriter *smooth.PacedWriter

	// returning is what the ticket of the request says.
	returning returning
	// grant is the admission of the latest attempt.
	grant *batch.Grant
	// timeToFirstByte is the time from the arrival of the request to the first byte of the
	// answer.
	timeToFirstByte time.Duration
	// status is the HTTP status that was sent to the client.
	status int
	// lastFailure describes the latest failure; empty if there was none.
	lastFailure string
}

const (
	// defaultTimeout is the timeout of a request if the client gives none. A shorter
	// timeout of the route takes precedence.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the time after which an entry that has just started is
	// expected to have its configuration. Clients are also told to retry after this
	// time if no replica could be reached or the request ran out of time.
	startRetryAfter = time.Second
	// unconfirmedRetryAfter is the delay after which a client should retry if its route or key is
	// unknown to an entry that may lack a newer configuration. Another entry may have it.
	unconfirmedRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the delay after which a client of a stopping entry should retry.
	// Other entries can serve it at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// findRoute finds the route and sets the deadline.
func (x *exchange) findRoute(context.Context) *Refusal {
	x.table = x.proxy.options.RoutingTable()
	if x.table == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "NoConfiguration"}
	}
	route, ok := x.table.Route(x.request.Host, x.request.Path)
	if !ok {
		return x.unknownRefusal(http.StatusNotFound, "NoRoute")
	}
	x.route, x.priority = route, route.Priority
	timeLeft := x.request.TimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultTimeout
	}
	if route.Timeout > 0 {
		timeLeft = min(timeLeft, route.Timeout)
	}
	x.deadline = x.arrived.Add(timeLeft)
	return nil
}

// identifyAccount finds the client account by the API key, if the route needs one.
func (x *exchange) identifyAccount(context.Context) *Refusal {
	if !x.table.RequiresKey(x.route) {
		return nil
	}
	account, ok := x.table.Account(x.request.APIKey)
	if !ok {
		return x.unknownRefusal(http.StatusUnauthorized, "UnknownKey")
	}
	x.account = account
	if account.Priority != nil {
		x.priority = *account.Priority
	}
	return nil
}

// unknownRefusal refuses a request with a route or key that the configuration doesn't have. A newer
// configuration may have it, so while there may be one the client is asked to come back.
func (x *exchange) unknownRefusal(status int, reason string) *Refusal {
	if confirmed := x.proxy.options.ConfigConfirmed; confirmed != nil && !confirmed() {
		return &Refusal{
			Status: http.StatusServiceUnavailable, RetryAfter: unconfirmedRetryAfter, Reason: "ConfigurationNotConfirmed",
		}
	}
	return &Refusal{Status: status, Reason: reason}
}

// chooseService picks one of the route's services at random by weight.
func (x *exchange) chooseService(context.Context) *Refusal {
	x.service = hosts.PickService(x.route, x.proxy.options.Random())
	x.pool = x.proxy.options.Services.Pool(x.service)
	x.budget = x.proxy.options.Services.Budget(x.service)
	x.budget.RecordRequest()
	x.proxy.hedges.recordRequest(x.service)
	return nil
}

// recognize finds out whether the request has come before.
func (x *exchange) recognize(context.Context) *Refusal {
	r := x.request
	x.fingerprint = blame.FingerprintOf(
		[]byte(r.Method), []byte(r.Host), []byte(r.Target), []byte(x.account.Name), r.Body)
	x.redeemTicket()
	return nil
}

// checkStop refuses the request if the entry stops and may do so before the request is over.
func (x *exchange) checkStop(context.Context) *Refusal {
	return x.stopRefusal()
}

// stopRefusal returns a refusal if the entry stops before the request is over, and nil otherwise.
func (x *exchange) stopRefusal() *Refusal {
	stop := x.proxy.stop.Load()
	if stop == nil || !x.expectedEnd(*stop).After(stop.EndAt) {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: stoppingRetryAfter, Reason: "Stopping",
	}
}

// expectedEnd returns the time at which the request is over. That is the deadline, as a stream that has begun
// can't be ended with an answer, and nobody could tell whether another request that is cut off has run. As
// long as a refused client may come back to this entry, a request that may be repeated is expected to take no
// longer than nearly all others.
func (x *exchange) expectedEnd(stop Stop) time.Time {
	now, long := x.proxy.options.Clock.Now(), x.pool.LongDuration()
	if long == 0 || x.route.RetryRule == track.RetryOnlyIfNotRun || !now.Before(stop.ReroutedAt) {
		return x.deadline
	}
	return now.Add(long)
}

// checkBarred refuses a request that is barred because it crashes the replicas that run
// it.
func (x *exchange) checkBarred(context.Context) *Refusal {
	for _, id := range x.request.PromptParts {
		x.parts = append(x.parts, parts.IDOf(x.service, id))
	}
	return x.barredRefusal()
}

// barredRefusal returns a refusal if the request, or a part of its prompt, is barred because
// it has crashed too many replicas, and nil otherwise.
func (x *exchange) barredRefusal() *Refusal {
	reason, remaining := "CrashesReplicas", x.proxy.options.CrashTracker.BarredFor(x.fingerprint)
	if remaining <= 0 {
		reason, remaining = "PartCrashesReplicas", x.partsBarredFor()
	}
	if remaining <= 0 {
		return nil
	}
	refusal := x.newRefusal(http.StatusServiceUnavailable, reason)
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = remaining
	}
	return refusal
}

// partsBarredFor returns the time after which a request with a barred part may be retried; 0 if
// no part is barred or this request is its trial.
func (x *exchange) partsBarredFor() time.Duration {
	if len(x.parts) == 0 {
		return 0
	}
	if x.trial {
		return x.proxy.options.PartsTracker.ConvictedFor(x.parts)
	}
	decision := x.proxy.options.PartsTracker.Check(x.parts)
	x.trial = decision.Trial
	return decision.RetryAfter
}

// logResult logs how the request ended, as one entry per request.
func (x *exchange) logResult(refusal *Refusal) {
	now := x.proxy.options.Clock.Now()
	fields := []zap.Field{
		zap.String("RequestID", string(x.request.ID)),
		zap.String("Route", x.route.Name),
		zap.String("Account", x.account.Name),
		zap.String("Service", x.service),
		zap.Int("Attempts", x.attempts),
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
	if x.timeToFirstByte > 0 {
		fields = append(fields, zap.Int64("FirstByteMs", x.timeToFirstByte.Milliseconds()))
	}
	if x.splitter != nil {
		fields = append(fields, zap.Int("Events", x.splitter.Count()))
	}
	if x.pacedWriter != nil {
		fields = append(fields,
			zap.Int64("MaxGapMs", x.pacedWriter.LongestGap().Milliseconds()),
			zap.Int64("MaxHeldMs", x.pacedWriter.LongestDelay().Milliseconds()))
	}
	if x.lastFailure != "" {
		fields = append(fields, zap.String("Fault", x.lastFailure))
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
	if x.returning.known {
		fields = append(fields, zap.Stringer("Return", x.returning.kind))
	}
	x.proxy.options.Logger.Warn("request failed", fields...)
}
