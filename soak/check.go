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

// Kind is a kind of request, by what may be repeated.
type Kind string

// The kinds of requests.
const (
	Safe   Kind = "Safe"
	Unsafe Kind = "Unsafe"
	Stream Kind = "Stream"
)

// Outcome is one request as its client saw it.
type Outcome struct {
	Ask    mimic.Ask
	Kind   Kind
	Events int
	Sent   time.Time
	Ended  time.Time
	Reply  mimic.Reply
}

// served reports whether the client got a whole success.
func (o Outcome) served() bool {
	return o.Reply.Status == http.StatusOK && o.Reply.Whole
}

// History is all that clients, replicas and the operator saw of a run.
type History struct {
	Outcomes []Outcome
	Runs     []mimic.Run
	// Left holds the time at which a replica's leaving was acknowledged.
	Left map[string]time.Time
	// Revoked holds the time at which a key's revocation was acknowledged.
	Revoked map[string]time.Time
	// Mixed tells of a pass with two maps; Changes counts changes of ranks' maps.
	Mixed   string
	Changes int
	// Faults holds the spans of faults, Begin and End those of the load.
	Faults     []Span
	Begin, End time.Time
}

// Span is the time of a fault.
type Span struct {
	From, To time.Time
	Fault    Fault
}

// stableTime is the time without disturbance after which bounds in time hold again, as
// the users' pages have it.
const stableTime = 3 * time.Second

// undisturbed reports whether none of some kinds of faults came in the time before.
func (h *History) undisturbed(at time.Time, kinds ...Fault) bool {
	return !slices.ContainsFunc(h.Faults, func(s Span) bool {
		return slices.Contains(kinds, s.Fault) && s.From.Before(at) && s.To.Add(stableTime).After(at)
	})
}

// Bounds holds the stated targets that the checks apply.
type Bounds struct {
	// Drain is the time after which a leaving replica gets no new request.
	Drain time.Duration
	// Apply is the time after which a change of the configuration is in force.
	Apply time.Duration
	// Recovery is the time after the last fault from which on requests are served
	// again, RecoveredShare the least share of them.
	Recovery       time.Duration
	RecoveredShare float64
	// StarvedShare is the least share of a kind that is served, relative to all.
	StarvedShare float64
}

// DefaultBounds returns the bounds that the settings of the entries name, and those of
// the users' pages for what no setting names.
func DefaultBounds() Bounds {
	return Bounds{
		Drain: 2 * time.Second, Apply: 2 * time.Second,
		Recovery: 12 * time.Second, RecoveredShare: 0.95, StarvedShare: 0.25,
	}
}

// Violation is a promise that was broken.
type Violation struct {
	Rule   string
	Detail string
}

// checks lists the promises.
var checks = []struct {
	name string
	run  func(*History, Bounds) []string
}{
	{"AtMostOnce", atMostOnce},
	{"RefusalsAreTrue", refusalsAreTrue},
	{"OwnWholeAnswer", ownWholeAnswer},
	{"NoPieceLostOrDoubled", noPieceLostOrDoubled},
	{"LeavingReplicasGetNothing", leavingReplicasGetNothing},
	{"RevokedKeysAreRefused", revokedKeysAreRefused},
	{"OneMapInEachPass", oneMapInEachPass},
	{"NobodyStarves", nobodyStarves},
	{"ServedAgain", servedAgain},
}

// Check returns all broken promises of a history.
func Check(h *History, b Bounds) []Violation {
	var found []Violation
	for _, check := range checks {
		for _, detail := range check.run(h, b) {
			found = append(found, Violation{Rule: check.name, Detail: detail})
		}
	}
	return found
}

func (h *History) runsByRequest() map[string][]mimic.Run {
	by := make(map[string][]mimic.Run)
	for _, r := range h.Runs {
		by[r.Request] = append(by[r.Request], r)
	}
	return by
}

func atMostOnce(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Outcomes {
		if n := len(runs[o.Ask.ID]); o.Kind == Unsafe && n > 1 {
			found = append(found, fmt.Sprintf("request %s ran %d times", o.Ask.ID, n))
		}
	}
	return found
}

// promisesNotRun holds the statuses that clients read as a promise.
var promisesNotRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func refusalsAreTrue(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Outcomes {
		if !slices.Contains(promisesNotRun, o.Reply.Status) {
			continue
		}
		if n := len(runs[o.Ask.ID]); n > 0 {
			found = append(found, fmt.Sprintf("request %s was told %d and ran %d times", o.Ask.ID, o.Reply.Status, n))
		}
		if !o.Reply.RetryAfter {
			found = append(found, fmt.Sprintf("request %s was told %d without a time to come back", o.Ask.ID, o.Reply.Status))
		}
	}
	return found
}

func ownWholeAnswer(h *History, _ Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Outcomes {
		if !o.served() || o.Kind == Stream {
			continue
		}
		own := slices.ContainsFunc(runs[o.Ask.ID], func(r mimic.Run) bool {
			return o.Reply.Sealed == "seal-"+r.Replica && o.Reply.Body == mimic.Body(o.Ask.ID, r.Replica)
		})
		if !own {
			found = append(found, fmt.Sprintf("request %s got an answer that no replica gave it: %q", o.Ask.ID, o.Reply.Body))
		}
	}
	return found
}

func noPieceLostOrDoubled(h *History, _ Bounds) []string {
	var found []string
	for _, o := range h.Outcomes {
		if o.Kind != Stream || o.Reply.Status != http.StatusOK {
			continue
		}
		var want strings.Builder
		for n := range o.Events {
			want.WriteString(mimic.Event(o.Ask.ID, n+1))
		}
		whole := want.String()
		if o.Reply.Whole && o.Reply.Body != whole || !strings.HasPrefix(whole, o.Reply.Body) {
			found = append(found, fmt.Sprintf("stream %s (whole %t) is %q", o.Ask.ID, o.Reply.Whole, o.Reply.Body))
		}
	}
	return found
}

func leavingReplicasGetNothing(h *History, b Bounds) []string {
	var found []string
	for _, r := range h.Runs {
		left, leaving := h.Left[r.Replica]
		// What was sent in time and held up on the way is nobody's fault.
		held := !h.undisturbed(r.At, Freeze, LinkDelay, LinkSilent, LinkSlow, LogAway, LogSlow)
		if leaving && !held && r.At.After(left.Add(b.Drain)) {
			found = append(found, fmt.Sprintf("request %s ran at %s %s after it left", r.Request, r.Replica, r.At.Sub(left)))
		}
	}
	return found
}

func revokedKeysAreRefused(h *History, b Bounds) []string {
	var found []string
	runs := h.runsByRequest()
	for _, o := range h.Outcomes {
		revoked, gone := h.Revoked[o.Ask.Key]
		held := !h.undisturbed(o.Sent, Freeze, LogAway, LogSlow)
		if gone && !held && o.Sent.After(revoked.Add(b.Apply)) && len(runs[o.Ask.ID]) > 0 {
			found = append(found, fmt.Sprintf("request %s ran %s after its key was revoked", o.Ask.ID, o.Sent.Sub(revoked)))
		}
	}
	for _, r := range h.Runs {
		if r.Key != "" {
			found = append(found, fmt.Sprintf("request %s came to replica %s with the client's key", r.Request, r.Replica))
		}
	}
	return found
}

func oneMapInEachPass(h *History, _ Bounds) []string {
	if h.Mixed == "" {
		return nil
	}
	return []string{h.Mixed}
}

// owed reports whether a request's key was in force.
func (h *History) owed(o Outcome) bool {
	_, gone := h.Revoked[o.Ask.Key]
	return !gone
}

func nobodyStarves(h *History, b Bounds) []string {
	served, asked := make(map[Kind]float64), make(map[Kind]float64)
	allServed, all := 0.0, 0.0
	for _, o := range h.Outcomes {
		if !h.owed(o) {
			continue
		}
		asked[o.Kind]++
		all++
		if o.served() {
			served[o.Kind]++
			allServed++
		}
	}
	var found []string
	for kind, n := range asked {
		if served[kind]/n < b.StarvedShare*allServed/all {
			found = append(found, fmt.Sprintf("%.0f of %.0f requests of kind %s were served, %.0f of %.0f of all", served[kind], n, kind, allServed, all))
		}
	}
	slices.Sort(found)
	return found
}

// servedAgain checks the requests that were sent long enough after the last fault.
func servedAgain(h *History, b Bounds) []string {
	if len(h.Faults) == 0 {
		return nil
	}
	last := slices.MaxFunc(h.Faults, func(x, y Span) int { return cmp.Compare(x.To.UnixNano(), y.To.UnixNano()) })
	from := last.To.Add(b.Recovery)
	served, asked := 0, 0
	for _, o := range h.Outcomes {
		if o.Sent.Before(from) || !h.owed(o) {
			continue
		}
		asked++
		if o.served() {
			served++
		}
	}
	if asked == 0 {
		return []string{"no request was sent after the recovery, so that nothing is shown"}
	}
	if share := float64(served) / float64(asked); share < b.RecoveredShare {
		return []string{fmt.Sprintf("%d of %d requests were served from %s after the last fault", served, asked, b.Recovery)}
	}
	return nil
}
