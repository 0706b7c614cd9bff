// Package orders carries orders to the ranks of a group over HTTP, between an
// agent and the model engine on its machine.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"filberttrack.example/track"
)

// maxBodyBytes bounds an order or an answer.
const maxBodyBytes = 8 << 20

// Order is the body of an order to a rank; the path names the operation.
type Order struct {
	Fence  uint64
	Arming uint64
	Map    *track.ExpertMap
	Switch *track.MapSwitch
	State  *track.RankState
}

// The operations that paths name, below /ranks/RANK/.
const (
	opState   = "state"
	opPrepare = "prepare"
	opArm     = "arm"
	opClaim   = "claim"
	opCommit  = "commit"
	opDisarm  = "disarm"
	opRestore = "restore"
)

// Client reaches a rank through its engine. It implements track.RankEngine.
type Client struct {
	http *http.Client
	base *url.URL
	rank int
}

var _ track.RankEngine = (*Client)(nil)

// NewClient returns the port to a rank of the engine at the base URL.
func NewClient(client *http.Client, base *url.URL, rank int) *Client {
	return &Client{http: client, base: base, rank: rank}
}

// State implements track.RankEngine.
func (c *Client) State(ctx context.Context, layers bool) (track.RankState, error) {
	var state track.RankState
	err := call(ctx, c.http, http.MethodGet, c.url(opState)+"?layers="+strconv.FormatBool(layers), nil, &state)
	return state, err
}

// Prepare implements track.RankEngine.
func (c *Client) Prepare(ctx context.Context, fence uint64, m track.ExpertMap) error {
	return c.order(ctx, opPrepare, Order{Fence: fence, Map: &m})
}

// Arm implements track.RankEngine.
func (c *Client) Arm(ctx context.Context, fence uint64, s track.MapSwitch, arming uint64) error {
	return c.order(ctx, opArm, Order{Fence: fence, Switch: &s, Arming: arming})
}

// Claim implements track.RankEngine.
func (c *Client) Claim(ctx context.Context, fence, arming uint64) error {
	return c.order(ctx, opClaim, Order{Fence: fence, Arming: arming})
}

// Commit implements track.RankEngine.
func (c *Client) Commit(ctx context.Context, fence, arming uint64) error {
	return c.order(ctx, opCommit, Order{Fence: fence, Arming: arming})
}

// Disarm implements track.RankEngine.
func (c *Client) Disarm(ctx context.Context, fence, arming uint64) error {
	return c.order(ctx, opDisarm, Order{Fence: fence, Arming: arming})
}

// Restore implements track.RankEngine.
func (c *Client) Restore(ctx context.Context, fence uint64, s track.RankState) error {
	return c.order(ctx, opRestore, Order{Fence: fence, State: &s})
}

func (c *Client) url(op string) string {
	return c.base.JoinPath("ranks", strconv.Itoa(c.rank), op).String()
}

func (c *Client) order(ctx context.Context, op string, o Order) error {
	return call[struct{}](ctx, c.http, http.MethodPost, c.url(op), &o, nil)
}

// Counter reads expert counts from an engine. It implements track.ExpertCounter.
type Counter struct {
	http *http.Client
	base *url.URL
}

// NewCounter returns the counter of the engine at the base URL.
func NewCounter(client *http.Client, base *url.URL) *Counter {
	return &Counter{http: client, base: base}
}

// Counts implements track.ExpertCounter.
func (c *Counter) Counts(ctx context.Context) (track.ExpertCounts, error) {
	var counts track.ExpertCounts
	err := call(ctx, c.http, http.MethodGet, c.base.JoinPath("ranks", "counts").String(), nil, &counts)
	return counts, err
}

// call sends a request and decodes the answer, if the caller wants one.
func call[T any](ctx context.Context, client *http.Client, method, target string, body *Order, into *T) error {
	data, err := json.Marshal(body)
	if err != nil {
		return track.Fail("encode order", track.Internal, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return track.Fail("build order", track.Invalid, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return track.Fail("send order", track.Ambiguous, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return track.Fail("read answer", track.Ambiguous, err)
	}
	if response.StatusCode != http.StatusOK {
		return track.Fail("order", track.Refused, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(answer)))
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return track.Fail("decode answer", track.Invalid, err)
	}
	return nil
}

// Handler serves the ranks of an engine and its counts.
func Handler(ranks []track.RankEngine, counter track.ExpertCounter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ranks/counts", func(w http.ResponseWriter, r *http.Request) {
		counts, err := counter.Counts(r.Context())
		answer(w, counts, err)
	})
	mux.HandleFunc("GET /ranks/{rank}/state", func(w http.ResponseWriter, r *http.Request) {
		rank, err := rankOf(r, ranks)
		if err != nil {
			answer(w, struct{}{}, err)
			return
		}
		state, err := rank.State(r.Context(), r.URL.Query().Get("layers") == "true")
		answer(w, state, err)
	})
	mux.HandleFunc("POST /ranks/{rank}/{op}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, struct{}{}, serveOrder(w, r, ranks))
	})
	return mux
}

func serveOrder(w http.ResponseWriter, r *http.Request, ranks []track.RankEngine) error {
	rank, err := rankOf(r, ranks)
	if err != nil {
		return err
	}
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		return track.Fail("decode order", track.Invalid, err)
	}
	return carryOut(r.Context(), rank, r.PathValue("op"), o)
}

var (
	errUnknown    = errors.New("unknown rank or operation")
	errIncomplete = errors.New("order lacks a map, a switch or a state")
)

func rankOf(r *http.Request, ranks []track.RankEngine) (track.RankEngine, error) {
	i, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil || i < 0 || i >= len(ranks) {
		return nil, track.Fail("find rank", track.Invalid, errUnknown)
	}
	return ranks[i], nil
}

func carryOut(ctx context.Context, rank track.RankEngine, op string, o Order) error {
	switch {
	case op == opPrepare && o.Map != nil:
		return rank.Prepare(ctx, o.Fence, *o.Map)
	case op == opArm && o.Switch != nil:
		return rank.Arm(ctx, o.Fence, *o.Switch, o.Arming)
	case op == opClaim:
		return rank.Claim(ctx, o.Fence, o.Arming)
	case op == opCommit:
		return rank.Commit(ctx, o.Fence, o.Arming)
	case op == opDisarm:
		return rank.Disarm(ctx, o.Fence, o.Arming)
	case op == opRestore && o.State != nil:
		return rank.Restore(ctx, o.Fence, *o.State)
	}
	return track.Fail("carry out order", track.Invalid, errIncomplete)
}

func answer[T any](w http.ResponseWriter, value T, err error) {
	status := http.StatusConflict
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// The agent may be gone; it asks again.
		_ = json.NewEncoder(w).Encode(value)
		return
	case track.IsKind(err, track.Invalid):
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}
