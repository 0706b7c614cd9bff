// Package agent implements the daemon beside a backend server. It is the only
// door to that backend server: it runs attempts, refuses what must not run, and
// reports load.
package agent

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/ledger"
)

// Options holds what an agent is made of.
type Options struct {
	// Instance describes the agent. Its Serves field names the target.
	Instance    track.Instance
	Incarnation track.Incarnation
	// Backend is the base URL of the backend server on the same machine.
	Backend *url.URL
	Client  *http.Client
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Ledger bounds what the agent remembers of attempts.
	Ledger ledger.Settings
}

// Agent implements track.Agent in front of one backend server.
type Agent struct {
	options Options
	ledger  *ledger.Ledger
	leaving atomic.Bool
	up      atomic.Bool
	running drain.Requests
	seq     atomic.Uint64
	// suspected asks for a probe at once.
	suspected chan struct{}
	// isolated is set while a suspect of a crash runs.
	isolated atomic.Bool

	loadMu sync.Mutex
	load   track.Load
}

// New returns an agent that takes work at once.
func New(options Options) *Agent {
	a := &Agent{
		options:   options,
		suspected: make(chan struct{}, 1),
		ledger:    ledger.New(options.Instance.ID, options.Incarnation, options.Clock, options.Ledger),
	}
	a.up.Store(true)
	return a
}

// Run implements track.Agent.
func (a *Agent) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	out := &output{id: d.ID, send: send}
	refusal, release := a.isolate(d, a.refusal(d))
	defer release()
	verdict := a.ledger.Admit(d, refusal)
	if verdict.Attempt == nil {
		a.decide(d, "refused", string(verdict.Refusal))
		return out.final(track.Frame{Outcome: verdict.Outcome, Refusal: verdict.Refusal})
	}
	a.decide(d, "started", "")
	if d.Claim != nil {
		return a.runKeyed(ctx, d, verdict.Attempt, send)
	}
	return a.run(ctx, d, d.Timeout, verdict.Attempt, out)
}

// run runs an admitted attempt to its end.
func (a *Agent) run(
	ctx context.Context, d track.Dispatch, timeout time.Duration, attempt *ledger.Attempt, out *output,
) error {
	defer a.running.Begin(d.ID.Request)()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := a.forward(ctx, d, out)
	if out.neverStarted {
		attempt.MarkNotStarted()
	} else {
		attempt.Finish()
	}
	return err
}

// isolate makes sure that one isolated attempt runs at a time. The function
// returned ends the attempt's hold.
func (a *Agent) isolate(d track.Dispatch, refusal track.Refusal) (track.Refusal, func()) {
	if refusal != "" || !d.Isolated {
		return refusal, func() {}
	}
	if !a.isolated.CompareAndSwap(false, true) {
		return track.RefusedFull, func() {}
	}
	return "", func() { a.isolated.Store(false) }
}

// refusal returns why the dispatch must not start here, or "".
func (a *Agent) refusal(d track.Dispatch) track.Refusal {
	switch {
	case d.Target != a.options.Instance.Serves:
		return track.RefusedWrongTarget
	case a.leaving.Load():
		return track.RefusedLeaving
	case d.Timeout <= 0:
		return track.RefusedExpired
	case !a.up.Load():
		// What is sent to a dead backend server would count as in flight there when
		// it died.
		return track.RefusedDown
	}
	return ""
}

// Bar implements track.Agent.
func (a *Agent) Bar(_ context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	return a.ledger.Bar(ref), nil
}

// Replay implements track.Agent.
func (a *Agent) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	return a.replay(ctx, ref, send)
}

// Report implements track.Agent.
func (a *Agent) Report(context.Context) (track.Report, error) {
	a.loadMu.Lock()
	load := a.load
	a.loadMu.Unlock()
	load.Running = a.Running()
	load.Stamp = a.ledger.Stamp()
	return track.Report{
		Instance:    a.options.Instance,
		Incarnation: a.options.Incarnation,
		Seq:         a.seq.Add(1),
		Leaving:     a.leaving.Load(),
		Up:          a.up.Load(),
		Load:        load,
	}, nil
}

// Leave makes the agent refuse new work. Work in progress goes on.
func (a *Agent) Leave() {
	a.leaving.Store(true)
}

// Running returns the number of attempts in progress.
func (a *Agent) Running() int {
	return a.running.Len()
}

// OpenRequests returns the requests with attempts in progress, sorted.
func (a *Agent) OpenRequests() []track.RequestID {
	return a.running.Open()
}

func (a *Agent) decide(d track.Dispatch, decision, reason string) {
	a.options.Logger.Debug("attempt "+decision,
		zap.String("RequestID", string(d.ID.Request)),
		zap.Uint32("Attempt", d.ID.Number),
		zap.String("Reason", reason))
}
