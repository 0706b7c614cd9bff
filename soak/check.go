package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"filberttrack.example/track/platform/mimic"
)

// RequestKind is the kind of a request, by whether it may be repeated.
type RequestKind string

// The kinds of requests.
const (
	Safe   RequestKind = "Safe"
	Unsafe RequestKind = "Unsafe"
	Stream RequestKind = "Stream"
)

// RequestRecord holds a request and its response as the client saw them.
type RequestRecord struct {
	Request mimic.Request
	// Route is the name of the route that the request is sent on.
	Route    string
	Kind     RequestKind
	Events   int
	Sent     time.Time
	Ended    time.Time
	Response mimic.Response
}

// served reports whether the client got a whole response with status 200.
func (o RequestRecord) served() bool {
	return o.Response.Status == http.StatusOK && o.Response.Complete
}

// History holds what clients, replicas and the operator observed in a run.
type History struct {
	Requests []RequestRecord
	Runs     []mimic.Execution
	// LeftAt holds, by replica ID, the time at which the replica was listed as leaving.
	LeftAt map[string]time.Time
	// RevokedAt holds, by key, the time at which the key was revoked, and AddedAt, by route, the time
	// at which the route was added to the first configuration's.
	RevokedAt, AddedAt map[string]time.Time
	// ArrivalsDuringRest holds the requests that reached replicas which had asked for rest.
	ArrivalsDuringRest []mimic.Arrival
	// ArrivalsUnderLimit holds the requests that reached replicas which named limits.
	ArrivalsUnderLimit []mimic.LimitedArrival
	// Crashes holds the crashes of replicas, and CrashArrivals the arrivals of requests that crash
	// them.
	Crashes, CrashArrivals []mimic.CrashEvent
	// Received holds all requests that reached replicas, also those that didn't run, and ReplicaZones the zones
	// of replicas by ID. Evacuations holds the evacuations that have ended.
	Received     []mimic.ReceivedRequest
	ReplicaZones map[string]string
	Evacuations  []Evacuation
	// ColdFrom holds the starts of replicas that were cold then, by ID.
	ColdFrom map[string]time.Time
	// Entries is the number of entries.
	Entries int
	// MixedMaps describes a pass in which ranks used different expert maps; empty if there was
	// none. MapChanges is the number of changes of the maps of ranks.
	MixedMaps  string
	MapChanges int
	// Faults holds the periods of the injected faults. LoadStart and LoadEnd bound the time of
	// the load.
	Faults             []FaultPeriod
	LoadStart, LoadEnd time.Time
}

// FaultPeriod is the period in which a fault was injected.
type FaultPeriod struct {
	From, To time.Time
	Fault    Fault
}

// stableTime is the time without faults after which guarantees with a time bound hold again,
// as the documentation for users states.
const stableTime = 3 * time.Second

// noFaultsBefore reports whether no fault of the given kinds was active at the time or in the
// stableTime before it.
func (h *History) noFaultsBefore(at time.Time, kinds ...Fault) bool {
	return !slices.ContainsFunc(h.Faults, func(s FaultPeriod) bool {
		return slices.Contains(kinds, s.Fault) && s.From.Before(at) && s.To.Add(stableTime).After(at)
	})
}

// Bounds holds the bounds that the checks apply.
type Bounds struct {
	// RestGrace is the time after which a replica that asked for rest gets no requests, but for
	// MaxDuringRest from each entry.
	RestGrace     time.Duration
	MaxDuringRest int
	// LimitFactor and LimitSlack say how many requests may reach a replica within LimitWindow: LimitFactor
	// times what the limit that it names allows, and LimitSlack.
	LimitWindow time.Duration
	LimitFactor float64
	LimitSlack  float64
	// MaxCrashesByRequest and MaxCrashesByPart are the crashes by one request and by one part of a
	// prompt, and MaxAfterCrashes the requests with it that may still arrive from stableTime after
	// that crash on.
	MaxCrashesByRequest, MaxCrashesByPart, MaxAfterCrashes int
	// MinSoundRatio is the smallest allowed ratio of the share of sound requests that are served
	// beside crashing ones to that of other times, from twice stableTime after the last crash on.
	MinSoundRatio float64
	// DrainTime is the time after which a leaving replica gets no new request.
	DrainTime time.Duration
	// ApplyTime is the time after which a change of the configuration is in force.
	ApplyTime time.Duration
	// EvacuateTime is the time after which the replicas of an evacuated zone get no requests.
	EvacuateTime time.Duration
	// ColdTime is the time for which replicas are cold after a start, and ColdPerSecond the requests a second that they
	// can handle then. ColdOvershoot times that and ColdSlack may reach one in any second.
	ColdTime                                time.Duration
	ColdPerSecond, ColdOvershoot, ColdSlack float64
	// RecoveryTime is the time after the last fault from which requests are served again, and
	// MinRecoveredShare the smallest share of requests that must be served from then on.
	RecoveryTime      time.Duration
	MinRecoveredShare float64
	// MinServedRatio is the smallest allowed ratio of the share of requests of a kind that were
	// served to that of all requests.
	MinServedRatio float64
}

// DefaultBounds returns the bounds that the settings of the entries contain and, for the others,
// those that the documentation for users states.
func DefaultBounds() Bounds {
	return Bounds{
		RestGrace: 500 * time.Millisecond, MaxDuringRest: 2,
		LimitWindow: 4 * time.Second, LimitFactor: 1.5, LimitSlack: 5,
		MaxCrashesByRequest: 3, MaxCrashesByPart: 5, MaxAfterCrashes: 3, MinSoundRatio: 0.5,
		DrainTime: 2 * time.Second, ApplyTime: 2 * time.Second, EvacuateTime: 5 * time.Second,
		ColdTime: 3 * time.Second, ColdPerSecond: 2, ColdOvershoot: 1.5, ColdSlack: 5,
		RecoveryTime: 12 * time.Second, MinRecoveredShare: 0.95, MinServedRatio: 0.25,
	}
}

// Violation describes a guarantee that was broken.
type Violation struct {
	Rule   string
	Detail string
}

// checks lists the guarantees. Each check returns a description of each violation.
var checks = []struct {
	name string
	run  func(*History, Bounds) []string
}{
	{"AtMostOnce", atMostOnce},
	{"RefusalsAreTrue", refusalsAreTrue},
	{"OwnWholeAnswer", ownWholeAnswer},
	{"NoPieceLostOrDoubled", noPieceLostOrDoubled},
	{"LeavingReplicasGetNothing", leavingReplicasGetNothing},
	{"EvacuatedZonesGetNothing", evacuatedZonesGetNothing},
	{"ColdReplicasAreSpared", coldReplicasAreSpared},
	{"RestingReplicasGetNothing", restingReplicasGetNothing},
	{"LimitsAreKept", limitsAreKept},
	{"CrashingRequestsAreBarred", crashingRequestsAreBarred},
	{"SoundRequestsAreServedBesideCrashingOnes", soundRequestsAreServedBesideCrashingOnes},
	{"RevokedKeysAreRefused", revokedKeysAreRefused},
	{"ValidRequestsAreNotDenied", validRequestsAreNotDenied},
	{"OneMapInEachPass", oneMapInEachPass},
	{"NobodyStarves", nobodyStarves},
	{"ServedAgain", servedAgain},
}

// Check returns all violations in a history.
func Check(h *History, b Bounds) []Violation {
	var found []Violation
	for _, check := range checks {
		for _, detail := range check.run(h, b) {
			found = append(found, Violation{Rule: check.name, Detail: detail})
		}
	}
	return found
}

// runsByRequest returns the runs of requests on replicas, by request ID.
func (h *History) runsByRequest() map[string][]mimic.Execution {
	by := make(map[string][]mimic.Execution)
	for _, r := range h.Runs {
		by[r.Request] = append(by[r.Request], r)
	}
	return by
}

// atMostOnce checks that no unsafe request ran more than once.
func atMostOnce(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Requests {
		if n := len(runs[o.Request.ID]); o.Kind == Unsafe && n > 1 {
			found = append(found, fmt.Sprintf("request %s ran %d times", o.Request.ID, n))
		}
	}
	return found
}

// notRunStatuses holds the statuses that guarantee to clients that the request did not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// refusalsAreTrue checks that refused requests did not run, and that each refusal carries a
// Retry-After header.
func refusalsAreTrue(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Requests {
		if !slices.Contains(notRunStatuses, o.Response.Status) {
			continue
		}
		if n := len(runs[o.Request.ID]); n > 0 {
			found = append(found, fmt.Sprintf("request %s got status %d and ran %d times", o.Request.ID, o.Response.Status, n))
		}
		if !o.Response.RetryAfter {
			found = append(found, fmt.Sprintf("request %s got status %d without Retry-After", o.Request.ID, o.Response.Status))
		}
	}
	return found
}

// ownWholeAnswer checks that each served request other than a stream got the whole response that
// a replica gave to it.
func ownWholeAnswer(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Requests {
		if !o.served() || o.Kind == Stream {
			continue
		}
		own := slices.ContainsFunc(runs[o.Request.ID], func(r mimic.Execution) bool {
			return o.Response.Seal == "seal-"+r.Replica && o.Response.Body == mimic.Body(o.Request.ID, r.Replica)
		})
		if !own {
			found = append(found, fmt.Sprintf("request %s got a response that no replica gave to it: %q", o.Request.ID, o.Response.Body))
		}
	}
	return found
}

// noPieceLostOrDoubled checks that no event of a stream is missing or duplicated, apart from the
// end of streams that broke off.
func noPieceLostOrDoubled(h *History, _ Bounds) []string {
	var found []string
	for _, o := range h.Requests {
		if o.Kind != Stream || o.Response.Status != http.StatusOK {
			continue
		}
		var want strings.Builder
		for n := range o.Events {
			want.WriteString(mimic.Event(o.Request.ID, n+1))
		}
		whole := want.String()
		if o.Response.Complete && o.Response.Body != whole || !strings.HasPrefix(whole, o.Response.Body) {
			found = append(found, fmt.Sprintf("stream %s (whole: %t) has wrong events: %q", o.Request.ID, o.Response.Complete,
				o.Response.Body))
		}
	}
	return found
}

// leavingReplicasGetNothing checks that replicas that left run no new requests after DrainTime.
func leavingReplicasGetNothing(h *History, b Bounds) []string {
	var found []string
	for _, r := range h.Runs {
		leftAt, left := h.LeftAt[r.Replica]
		// Faults can delay a request that was sent in time, which breaks no guarantee. A log that
		// came back from an older copy may have lost that the replica leaves.
		delayed := !h.noFaultsBefore(r.At, Freeze, LinkDelay, LinkSilent, LinkSlow, LogAway, LogPartDark, LogSlow) ||
			!h.noFaultsBefore(r.At, LogRestored) && !h.noFaultsBefore(r.At, Kill, Stop)
		if left && !delayed && r.At.After(leftAt.Add(b.DrainTime)) {
			found = append(found, fmt.Sprintf("request %s ran on replica %s %s after the replica left", r.Request, r.Replica, r.At.Sub(leftAt)))
		}
	}
	return found
}

// restingReplicasGetNothing checks that replicas that have asked for rest get next to nothing until
// its end. A request may be under way when the replica asks.
func restingReplicasGetNothing(h *History, b Bounds) []string {
	type rest struct {
		replica string
		start   time.Time
	}
	arrivals := make(map[rest]int)
	for _, a := range h.ArrivalsDuringRest {
		if a.At.After(a.RestStart.Add(b.RestGrace)) && h.noFaultsBefore(a.At, Freeze, Kill, Stop, LinkDelay, LinkSilent, LinkSlow) {
			arrivals[rest{a.Replica, a.RestStart}]++
		}
	}
	var found []string
	for r, n := range arrivals {
		if n > b.MaxDuringRest*h.Entries {
			found = append(found, fmt.Sprintf("%d requests of %d entries reached replica %s while it rested", n, h.Entries, r.replica))
		}
	}
	slices.Sort(found)
	return found
}

// limitsAreKept checks that replicas get no more requests than the limits that they name allow, from stableTime
// after they first did.
func limitsAreKept(h *History, b Bounds) []string {
	type period struct {
		replica string
		start   time.Time
		limit   float64
	}
	arrivals := make(map[period][]time.Time)
	for _, a := range h.ArrivalsUnderLimit {
		if a.At.After(a.LimitStart.Add(stableTime)) && h.noFaultsBefore(a.At, Freeze, Kill, Stop, LinkDelay, LinkSilent, LinkSlow) {
			p := period{a.Replica, a.LimitStart, a.Limit}
			arrivals[p] = append(arrivals[p], a.At)
		}
	}
	var found []string
	for p, times := range arrivals {
		allowed := b.LimitFactor*b.LimitWindow.Seconds()*p.limit + b.LimitSlack
		for i := range times {
			end, _ := slices.BinarySearchFunc(times, times[i].Add(b.LimitWindow), time.Time.Compare)
			if n := end - i; float64(n) > allowed {
				found = append(found, fmt.Sprintf("%d requests in %s reached replica %s at a limit of %g a second", n, b.LimitWindow, p.replica, p.limit))
				break
			}
		}
	}
	slices.Sort(found)
	return found
}

// crashingRequestsAreBarred checks that next to no requests arrive at replicas after they have
// crashed some of them.
func crashingRequestsAreBarred(h *History, b Bounds) []string {
	crashes := make(map[string][]time.Time)
	for _, c := range h.Crashes {
		crashes[c.Cause] = append(crashes[c.Cause], c.At)
	}
	var found []string
	for cause, times := range crashes {
		limit := b.MaxCrashesByRequest
		if strings.HasPrefix(cause, mimic.CrashingPartPrefix) {
			limit = b.MaxCrashesByPart
		}
		if len(times) < limit {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		barredFrom, late := times[limit-1].Add(stableTime), 0
		for _, a := range h.CrashArrivals {
			// Entries that were disturbed may not know of the crashes.
			if a.Cause == cause && a.At.After(barredFrom) && h.noFaultsBefore(a.At, Freeze, Kill, Stop, LinkDelay, LinkSilent, LinkSlow) {
				late++
			}
		}
		if late > b.MaxAfterCrashes {
			found = append(found, fmt.Sprintf("%d requests with %s arrived after crash %d; %d crashes", late, cause, limit, len(times)))
		}
	}
	slices.Sort(found)
	return found
}

// minSoundRequests is the number of requests from which on shares of them are compared.
const minSoundRequests = 20

// soundRequestsAreServedBesideCrashingOnes checks that streams are served while others with one part of
// their prompts crash replicas.
func soundRequestsAreServedBesideCrashingOnes(h *History, b Bounds) []string {
	disturbances := slices.DeleteFunc(slices.Clone(faults), func(f Fault) bool {
		return f == CrashingPart || f == DemandShifts || f == NewRoute || f == RevokeKey || f == Reload
	})
	var beside, calm servedShare
	for _, o := range h.Requests {
		switch {
		case o.Kind != Stream || !h.keyInForce(o) || !h.noFaultsBefore(o.Sent, disturbances...):
		case h.noFaultsBefore(o.Sent, CrashingPart):
			calm.add(o)
		case !h.crashedBefore(o):
			beside.add(o)
		}
	}
	if beside.sent < minSoundRequests || calm.sent < minSoundRequests || beside.share() >= b.MinSoundRatio*calm.share() {
		return nil
	}
	return []string{fmt.Sprintf("%.0f of %.0f sound streams were served beside crashing ones, %.0f of %.0f at other times",
		beside.served, beside.sent, calm.served, calm.sent)}
}

// crashedBefore reports whether a replica crashed while the request was under way or in twice stableTime before.
func (h *History) crashedBefore(o RequestRecord) bool {
	return slices.ContainsFunc(h.Crashes, func(c mimic.CrashEvent) bool {
		return c.At.Before(o.Ended) && o.Sent.Before(c.At.Add(2*stableTime))
	})
}

// servedShare counts requests and those that were served.
type servedShare struct{ sent, served float64 }

func (s *servedShare) add(o RequestRecord) {
	s.sent++
	if o.served() {
		s.served++
	}
}

func (s *servedShare) share() float64 { return s.served / s.sent }

// revokedKeysAreRefused checks that requests with a revoked key don't run after ApplyTime, and
// that no replica receives a client's key.
func revokedKeysAreRefused(h *History, b Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Requests {
		revokedAt, revoked := h.RevokedAt[o.Request.Key]
		if revoked && !h.configDelayed(o.Sent) && o.Sent.After(revokedAt.Add(b.ApplyTime)) && len(runs[o.Request.ID]) > 0 {
			found = append(found, fmt.Sprintf("request %s was sent %s after its key was revoked and ran", o.Request.ID, o.Sent.Sub(revokedAt)))
		}
	}
	for _, r := range h.Runs {
		if r.Key != "" {
			found = append(found, fmt.Sprintf("replica %[2]s received request %[1]s with the client's key", r.Request, r.Replica))
		}
	}
	return found
}

// configDelayed reports whether a fault excuses that a change isn't in force yet.
func (h *History) configDelayed(at time.Time) bool {
	return !h.noFaultsBefore(at, Freeze, LogAway, LogPartDark, LogSlow) ||
		!h.noFaultsBefore(at, LogRestored) && !h.noFaultsBefore(at, Kill, Stop)
}

// deniedStatuses holds the statuses of requests whose key or route is unknown.
var deniedStatuses = []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}

// validRequestsAreNotDenied checks that no entry denies what all configurations allow, nor a request
// on a route that was added ApplyTime before.
func validRequestsAreNotDenied(h *History, b Bounds) []string {
	var found []string
	for _, o := range h.Requests {
		if !slices.Contains(deniedStatuses, o.Response.Status) || !h.keyInForce(o) {
			continue
		}
		addedAt, added := h.AddedAt[o.Route]
		if added && (h.configDelayed(o.Sent) || o.Sent.Before(addedAt.Add(b.ApplyTime))) {
			continue
		}
		found = append(found, fmt.Sprintf("request %s on route %q got status %d", o.Request.ID, o.Route, o.Response.Status))
	}
	return found
}

// oneMapInEachPass checks that all ranks used the same expert map in each pass.
func oneMapInEachPass(h *History, _ Bounds) []string {
	if h.MixedMaps == "" {
		return nil
	}
	return []string{h.MixedMaps}
}

// keyInForce reports whether the request's key was never revoked during the run.
func (h *History) keyInForce(o RequestRecord) bool {
	_, revoked := h.RevokedAt[o.Request.Key]
	return !revoked
}

// nobodyStarves checks that no kind of request is served much less often than all requests.
func nobodyStarves(h *History, b Bounds) []string {
	served, sent := make(map[RequestKind]float64), make(map[RequestKind]float64)
	allServed, all := 0.0, 0.0
	for _, o := range h.Requests {
		if !h.keyInForce(o) {
			continue
		}
		sent[o.Kind]++
		all++
		if o.served() {
			served[o.Kind]++
			allServed++
		}
	}
	var found []string
	for kind, n := range sent {
		if served[kind]/n < b.MinServedRatio*allServed/all {
			found = append(found, fmt.Sprintf("%.0f of %.0f requests of kind %s were served, %.0f of %.0f of all", served[kind], n, kind, allServed, all))
		}
	}
	slices.Sort(found)
	return found
}

// servedAgain checks that requests that were sent RecoveryTime after the last fault were served.
func servedAgain(h *History, b Bounds) []string {
	if len(h.Faults) == 0 {
		return nil
	}
	last := slices.MaxFunc(h.Faults, func(x, y FaultPeriod) int { return cmp.Compare(x.To.UnixNano(), y.To.UnixNano()) })
	from := last.To.Add(b.RecoveryTime)
	served, sent := 0, 0
	for _, o := range h.Requests {
		if o.Sent.Before(from) || !h.keyInForce(o) {
			continue
		}
		sent++
		if o.served() {
			served++
		}
	}
	if sent == 0 {
		return []string{"no request was sent after the recovery time, so the check has no data"}
	}
	if share := float64(served) / float64(sent); share < b.MinRecoveredShare {
		return []string{fmt.Sprintf("%d of %d requests were served from %s after the last fault", served, sent, b.RecoveryTime)}
	}
	return nil
}
