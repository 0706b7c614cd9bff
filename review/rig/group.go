package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The shape of the group of ranks.
const (
	groupRanks   = 6
	groupSets    = 2
	groupExperts = 48
	groupPlaces  = 11
	groupSpare   = 4
	// passTime is the time from one pass to the next, and copyTime the time to copy an expert.
	passTime = 35 * time.Millisecond
	copyTime = 5 * time.Millisecond
	// choices is the number of experts that the requests of a rank choose in a pass and set.
	choices = 600
	// answerTime is the time that a request to a rank, and its answer, take on the way.
	answerTime = time.Millisecond
	// shiftShare is the share of the experts whose popularity changes in a shift of the demand.
	shiftShare = 0.55
)

// group is a stand-in of a group of ranks that execute each pass together.
type group struct {
	record *recorder
	born   time.Time

	mu    sync.Mutex
	step  uint64
	ranks []*rank
	// popularity holds the share of the choices that fall to each expert, by set and expert.
	popularity []float64
	// mismatch describes the first pass that began while two ranks had different maps; empty before.
	mismatch string
	changes  int
}

// mapSwitch is the version for which a rank is armed, and the pass at which it switches.
type mapSwitch struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// rank is one replica of the group.
type rank struct {
	group   *group
	index   int
	address string
	server  *http.Server

	// The fields below are guarded by the group's lock.
	sequence, fence, version, highest uint64
	experts                           [][]int32
	counts                            []float64
	prepared                          *preparedMap
	armed                             *mapSwitch
	held                              *uint64
	// onArm is called after an order to arm has begun; nil if nobody waits for it.
	onArm func()
	// silent is closed when the address answers again; nil while it answers.
	silent chan struct{}
}

type preparedMap struct {
	version uint64
	experts [][]int32
	readyAt time.Time
}

// newGroup returns a group with map 0 whose ranks listen at the given addresses.
func newGroup(addresses []string, record *recorder) (*group, error) {
	g := &group{record: record, born: time.Now()}
	for range groupSets {
		g.popularity = append(g.popularity, popularities()...)
	}
	g.shift(1)
	for i, address := range addresses {
		r := &rank{group: g, index: i, address: address, counts: make([]float64, groupSets*groupExperts)}
		for range groupSets {
			var experts []int32
			for e := i; e < groupExperts; e += groupRanks {
				experts = append(experts, int32(e))
			}
			r.experts = append(r.experts, experts)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen for a rank: %w", err)
		}
		r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
		go func() {
			// Serve returns when the server is closed.
			_ = r.server.Serve(listener)
		}()
		g.ranks = append(g.ranks, r)
	}
	return g, nil
}

// run begins one pass after the other until the context ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(passTime)
		g.beginPass()
	}
}

// beginPass begins the next pass unless a rank holds before it.
func (g *group) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held <= next {
			return
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == next {
			r.version, r.experts, r.armed, r.prepared = r.armed.Version, r.prepared.experts, nil, nil
			g.changes++
		}
		for i, share := range g.popularity {
			r.counts[i] += choices * share
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version && g.mismatch == "" {
			g.mismatch = fmt.Sprintf("pass %d began with map %d at rank 0 and map %d at rank %d",
				next, g.ranks[0].version, r.version, r.index)
			g.record.say("%s", g.mismatch)
		}
	}
}

// shift changes the popularity of a share of the experts: they exchange theirs.
func (g *group) shift(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for set := range groupSets {
		popularity := g.popularity[set*groupExperts:][:groupExperts]
		chosen := rand.Perm(groupExperts)[:int(share*groupExperts)]
		first := popularity[chosen[0]]
		for i, e := range chosen[1:] {
			popularity[chosen[i]] = popularity[e]
		}
		popularity[chosen[len(chosen)-1]] = first
	}
}

// popularities returns the share of each expert of a set: the n-th has 1/n of the first one's.
func popularities() []float64 {
	var sum float64
	for e := range groupExperts {
		sum += 1 / float64(e+1)
	}
	shares := make([]float64, groupExperts)
	for e := range shares {
		shares[e] = 1 / float64(e+1) / sum
	}
	return shares
}

// result returns the first pass with two maps, and how often ranks changed their maps.
func (g *group) result() (string, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mismatch, g.changes
}

// onNextArm calls a function once, after the rank has begun the next order to arm.
func (r *rank) onNextArm(f func()) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.onArm = f
}

// setSilent makes the address of the rank silent, or answer again.
func (r *rank) setSilent(silent bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if silent {
		r.silent = make(chan struct{})
		return
	}
	close(r.silent)
	r.silent = nil
}

// awaitAnswers waits while the address is silent. It returns false if the caller gives up meanwhile.
func (r *rank) awaitAnswers(ctx context.Context) bool {
	r.group.mu.Lock()
	silent := r.silent
	r.group.mu.Unlock()
	if silent == nil {
		return true
	}
	select {
	case <-silent:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (r *rank) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !r.awaitAnswers(request.Context()) {
		return
	}
	time.Sleep(answerTime)
	defer time.Sleep(answerTime)
	switch {
	case strings.HasSuffix(request.URL.Path, "/report"):
		writeJSON(w, r.report())
	case strings.HasSuffix(request.URL.Path, "/picked"):
		writeJSON(w, r.picked(request.URL.Query().Has("lists")))
	case strings.HasSuffix(request.URL.Path, "/order"):
		r.serveOrder(w, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has closed the channel.
	_ = json.NewEncoder(w).Encode(body)
}

// report returns what the rank says of itself.
func (r *rank) report() map[string]any {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	body := map[string]any{
		"stage": "both", "busy": false, "sequence": r.sequence, "queued": 0, "running": 2, "kv_used": 1000,
		"kv_total": 372000, "handles": 0, "born": g.born.UnixMilli(), "size": groupRanks, "step": g.step, "map": r.version,
		"pace":  1.0,
		"group": map[string]any{"name": "g0-0", "epoch": 1, "rank": r.index, "state": "open"},
		"armed": nil, "held": nil, "prepared": nil,
	}
	if r.prepared != nil && !time.Now().Before(r.prepared.readyAt) {
		body["prepared"] = r.prepared.version
	}
	if r.armed != nil {
		body["armed"] = *r.armed
	}
	if r.held != nil {
		body["held"] = *r.held
	}
	return body
}

// picked returns how often each expert was chosen or, with lists, the experts of the rank.
func (r *rank) picked(lists bool) map[string]any {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	body := map[string]any{"step": g.step, "epoch": 1}
	if lists {
		body["map"] = map[string]any{"version": r.version, "experts": r.experts}
	} else {
		body["counts"] = append([]float64(nil), r.counts...)
	}
	return body
}

// order is an order to a rank.
type order struct {
	Operation    string      `json:"operation"`
	Version      uint64      `json:"version"`
	Step         uint64      `json:"step"`
	Epoch        int64       `json:"epoch"`
	FenceToken   uint64      `json:"fence_token"`
	Precondition *uint64     `json:"precondition"`
	Map          [][][]int32 `json:"map"`
}

func (r *rank) serveOrder(w http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	status := r.give(o)
	g.record.add(time.Now(), "order %s version %d step %d fence %d to rank %d: %d", o.Operation, o.Version, o.Step, o.FenceToken, r.index, status)
	var onArm func()
	if o.Operation == "arm" && status == http.StatusAccepted {
		onArm, r.onArm = r.onArm, nil
	}
	g.mu.Unlock()
	if onArm != nil {
		onArm()
		if !r.awaitAnswers(request.Context()) {
			return
		}
	}
	w.WriteHeader(status)
}

// give carries out an order and returns the status of its answer.
func (r *rank) give(o order) int {
	switch {
	case o.Epoch != 1 || o.Precondition != nil && *o.Precondition != r.sequence:
		return http.StatusConflict
	case o.FenceToken < r.fence:
		return http.StatusPreconditionFailed
	}
	r.fence = o.FenceToken
	status := r.carryOut(o)
	if status == http.StatusAccepted {
		r.sequence++
	}
	return status
}

// carryOut changes the state of the rank.
func (r *rank) carryOut(o order) int {
	begun := r.group.step >= o.Step
	switch o.Operation {
	case "prepare":
		return r.prepare(o)
	case "arm":
		return r.arm(o, begun)
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == nil || r.armed.Version != o.Version {
			return http.StatusOK
		}
		r.armed = nil
	case "hold":
		if r.held != nil && *r.held == o.Step {
			return http.StatusOK
		}
		if r.held != nil || begun {
			return http.StatusConflict
		}
		r.held = &o.Step
	case "go":
		if r.held == nil || *r.held != o.Step {
			return http.StatusOK
		}
		r.held = nil
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (r *rank) arm(o order, begun bool) int {
	if r.armed != nil && *r.armed == (mapSwitch{Version: o.Version, Step: o.Step}) {
		return http.StatusOK
	}
	ready := r.prepared != nil && r.prepared.version == o.Version && !time.Now().Before(r.prepared.readyAt)
	if !ready || begun || r.armed != nil {
		return http.StatusConflict
	}
	r.armed = &mapSwitch{Version: o.Version, Step: o.Step}
	return http.StatusAccepted
}

func (r *rank) prepare(o order) int {
	if o.Version <= r.highest || r.armed != nil || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	next, copies := make([][]int32, groupSets), 0
	for set := range next {
		if len(o.Map[set]) != groupRanks {
			return http.StatusConflict
		}
		next[set] = o.Map[set][r.index]
		held := make(map[int32]bool)
		for _, e := range r.experts[set] {
			held[e] = true
		}
		fresh := 0
		for _, e := range next[set] {
			if !held[e] {
				fresh++
			}
		}
		if fresh > groupSpare || len(next[set]) > groupPlaces {
			return http.StatusConflict
		}
		copies += fresh
	}
	r.highest = o.Version
	r.prepared = &preparedMap{version: o.Version, experts: next, readyAt: time.Now().Add(time.Duration(copies) * copyTime)}
	return http.StatusAccepted
}
