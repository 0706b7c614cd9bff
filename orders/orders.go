// Package orders is the HTTP client and server of the control interface of ranks. Through
// it an agent sends commands to the ranks of the model engine on its machine.
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

// maxBodyBytes is the size limit of a command and of a response, in bytes.
const maxBodyBytes = 8 << 20

// Command is the JSON body of a command to a rank. The path names the operation.
type Command struct {
	// FencingToken lets an engine refuse a command whose token is below the highest one
	// that it has seen.
	FencingToken uint64 `json:"Fence"`
	// ArmID identifies an armed switch: arm and claim set it, commit and disarm refer to
	// it.
	ArmID uint64 `json:"Arming"`
	// Map is required by prepare, Switch by arm, and State by restore.
	Map    *track.ExpertMap
	Switch *track.MapSwitch
	State  *track.RankState
}

// The operations: the last element of the path /ranks/RANK/OPERATION.
const (
	opState   = "state"
	opPrepare = "prepare"
	opArm     = "arm"
	opClaim   = "claim"
	opCommit  = "commit"
	opDisarm  = "disarm"
	opRestore = "restore"
)

// Client controls one rank of an engine. It implements track.RankEngine. Its errors are of
// kind track.Refused if the engine responded with an error status, and track.Ambiguous if
// there was no complete response.
type Client struct {
	http *http.Client
	base *url.URL
	rank int
}

var _ track.RankEngine = (*Client)(nil)

// NewClient returns the client of a rank, numbered from 0, of the engine at the base URL.
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
func (c *Client) Prepare(ctx context.Context, fencingToken uint64, m track.ExpertMap) error {
	return c.send(ctx, opPrepare, Command{FencingToken: fencingToken, Map: &m})
}

// Arm implements track.RankEngine.
func (c *Client) Arm(ctx context.Context, fencingToken uint64, s track.MapSwitch, armID uint64) error {
	return c.send(ctx, opArm, Command{FencingToken: fencingToken, Switch: &s, ArmID: armID})
}

// ReplaceArmID implements track.RankEngine.
func (c *Client) ReplaceArmID(ctx context.Context, fencingToken, armID uint64) error {
	return c.send(ctx, opClaim, Command{FencingToken: fencingToken, ArmID: armID})
}

// Commit implements track.RankEngine.
func (c *Client) Commit(ctx context.Context, fencingToken, armID uint64) error {
	return c.send(ctx, opCommit, Command{FencingToken: fencingToken, ArmID: armID})
}

// Disarm implements track.RankEngine.
func (c *Client) Disarm(ctx context.Context, fencingToken, armID uint64) error {
	return c.send(ctx, opDisarm, Command{FencingToken: fencingToken, ArmID: armID})
}

// Restore implements track.RankEngine.
func (c *Client) Restore(ctx context.Context, fencingToken uint64, s track.RankState) error {
	return c.send(ctx, opRestore, Command{FencingToken: fencingToken, State: &s})
}

func (c *Client) url(op string) string {
	return c.base.JoinPath("ranks", strconv.Itoa(c.rank), op).String()
}

func (c *Client) send(ctx context.Context, op string, cmd Command) error {
	return call[struct{}](ctx, c.http, http.MethodPost, c.url(op), &cmd, nil)
}

// Counter reads the tokens per expert from an engine. It implements track.ExpertCounter.
type Counter struct {
	http *http.Client
	base *url.URL
}

// NewCounter returns a counter that reads from the engine at the base URL.
func NewCounter(client *http.Client, base *url.URL) *Counter {
	return &Counter{http: client, base: base}
}

// Counts implements track.ExpertCounter.
func (c *Counter) Counts(ctx context.Context) (track.ExpertCounts, error) {
	var counts track.ExpertCounts
	err := call(ctx, c.http, http.MethodGet, c.base.JoinPath("ranks", "counts").String(), nil, &counts)
	return counts, err
}

// call sends a request and decodes the response into result, unless that is nil.
func call[T any](ctx context.Context, client *http.Client, method, target string, body *Command, result *T) error {
	data, err := json.Marshal(body)
	if err != nil {
		return track.Fail("encode command", track.Internal, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return track.Fail("create request", track.Invalid, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return track.Fail("send request", track.Ambiguous, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return track.Fail("read response", track.Ambiguous, err)
	}
	if response.StatusCode != http.StatusOK {
		return track.Fail("order", track.Refused,
			fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(responseBody)))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(responseBody, result); err != nil {
		return track.Fail("decode response", track.Invalid, err)
	}
	return nil
}

// Handler serves the control interface of an engine's ranks, and its expert counts. It
// responds with status 400 to an invalid request and 409 to any other that fails.
func Handler(ranks []track.RankEngine, counter track.ExpertCounter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ranks/counts", func(w http.ResponseWriter, r *http.Request) {
		counts, err := counter.Counts(r.Context())
		writeResponse(w, counts, err)
	})
	mux.HandleFunc("GET /ranks/{rank}/state", func(w http.ResponseWriter, r *http.Request) {
		rank, err := findRank(r, ranks)
		if err != nil {
			writeResponse(w, struct{}{}, err)
			return
		}
		state, err := rank.State(r.Context(), r.URL.Query().Get("layers") == "true")
		writeResponse(w, state, err)
	})
	mux.HandleFunc("POST /ranks/{rank}/{op}", func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, struct{}{}, serveCommand(w, r, ranks))
	})
	return mux
}

func serveCommand(w http.ResponseWriter, r *http.Request, ranks []track.RankEngine) error {
	rank, err := findRank(r, ranks)
	if err != nil {
		return err
	}
	var cmd Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&cmd); err != nil {
		return track.Fail("decode command", track.Invalid, err)
	}
	return execute(r.Context(), rank, r.PathValue("op"), cmd)
}

var (
	errUnknownRank    = errors.New("unknown rank")
	errInvalidCommand = errors.New("unknown operation, or its map, switch or state is missing")
)

func findRank(r *http.Request, ranks []track.RankEngine) (track.RankEngine, error) {
	i, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil || i < 0 || i >= len(ranks) {
		return nil, track.Fail("find rank", track.Invalid, errUnknownRank)
	}
	return ranks[i], nil
}

func execute(ctx context.Context, rank track.RankEngine, op string, cmd Command) error {
	switch {
	case op == opPrepare && cmd.Map != nil:
		return rank.Prepare(ctx, cmd.FencingToken, *cmd.Map)
	case op == opArm && cmd.Switch != nil:
		return rank.Arm(ctx, cmd.FencingToken, *cmd.Switch, cmd.ArmID)
	case op == opClaim:
		return rank.ReplaceArmID(ctx, cmd.FencingToken, cmd.ArmID)
	case op == opCommit:
		return rank.Commit(ctx, cmd.FencingToken, cmd.ArmID)
	case op == opDisarm:
		return rank.Disarm(ctx, cmd.FencingToken, cmd.ArmID)
	case op == opRestore && cmd.State != nil:
		return rank.Restore(ctx, cmd.FencingToken, *cmd.State)
	}
	return track.Fail("execute command", track.Invalid, errInvalidCommand)
}

// writeResponse writes the value as JSON, or the error with its status.
func writeResponse[T any](w http.ResponseWriter, value T, err error) {
	status := http.StatusConflict
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the agent is gone. It repeats the request if it needs to.
		_ = json.NewEncoder(w).Encode(value)
		return
	case track.IsKind(err, track.Invalid):
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}
