// Package agent implements the daemon that runs on the machine of a backend server. All
// requests to the backend server pass through its agent, which runs attempts, refuses
// those that must not run, and reports load and health.
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

// Options configures an agent.
type Options struct {
	// Instance describes the agent. Its Serves field names the target, which is the only
	// one whose attempts the agent runs.
	Instance    track.Instance
	Incarnation track.Incarnation
	// Backend is the base URL of the backend server on the same machine.
	Backend *url.URL
	Client  *http.Client
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Ledger limits the records of attempts that the agent keeps.
	Ledger ledger.Settings
}

// Agent implements track.Agent for one backend server. It is safe for concurrent use.
type Agent struct {
	options  Options
	ledger   *ledger.Ledger
	leaving  atomic.Bool
	healthy  atomic.Bool
	signs    *backendSigns
	inFlight drain.Requests
	// reportSeq is the sequence number of the last report.
	reportSeq atomic.Uint64
	// probeNow triggers a probe before the next interval.
	probeNow chan struct{}
	// runsIsolated is set while an attempt runs whose request is suspected of crashing
	// backend servers.
	runsIsolated atomic.Bool

	loadMu sync.Mutex
	// load is the load that the last successful probe returned.
	load track.Load
}

// New returns an agent that accepts attempts at once.
func New(options Options) *Agent {
	a := &Agent{
		options:  options,
		probeNow: make(chan struct{}, 1),
		signs:    newBackendSigns(options),
		ledger:   ledger.New(options.Instance.ID, options.Incarnation, options.Clock, options.Ledger),
	}
	a.healthy.Store(true)
	return a
}

// Run implements track.Agent.
func (a *Agent) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	frames := &frameSender{id: d.ID, send: send}
	refusal, release := a.reserveIsolation(d, a.checkDispatch(d))
	defer release()
	admission := a.ledger.Admit(d, refusal)
	if admission.Attempt == nil {
		a.logDecision(d, "refused", string(admission.Refusal))
		return frames.sendFinal(track.Frame{Outcome: admission.Outcome, Refusal: admission.Refusal})
	}
	a.logDecision(d, "started", "")
	if d.Claim != nil {
		return a.runKeyed(ctx, d, admission.Attempt, send)
	}
	return a.run(ctx, d, d.Timeout, admission.Attempt, frames)
}

// run forwards an admitted attempt to the backend server and records its end in the
// ledger.
func (a *Agent) run(
	ctx context.Context, d track.Dispatch, timeout time.Duration, attempt *ledger.Attempt, frames *frameSender,
) error {
	defer a.inFlight.Begin(d.ID.Request)()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := a.forward(ctx, d, frames)
	if frames.neverReceived {
		attempt.MarkNotStarted()
	} else {
		attempt.Finish()
	}
	return err
}

// reserveIsolation makes sure that at most one isolated attempt runs at a time. It
// refuses an isolated attempt while another one runs, and passes on a refusal that has
// been decided before. The caller must call the returned function when the attempt has
// ended.
func (a *Agent) reserveIsolation(d track.Dispatch, refusal track.Refusal) (track.Refusal, func()) {
	if refusal != "" || !d.Isolated {
		return refusal, func() {}
	}
	if !a.runsIsolated.CompareAndSwap(false, true) {
		return track.RefusedFull, func() {}
	}
	return "", func() { a.runsIsolated.Store(false) }
}

// checkDispatch returns the reason why the dispatch must not start here, or "" if it may.
func (a *Agent) checkDispatch(d track.Dispatch) track.Refusal {
	switch {
	case d.Target != a.options.Instance.Serves:
		return track.RefusedWrongTarget
	case a.leaving.Load():
		return track.RefusedLeaving
	case d.Timeout <= 0:
		return track.RefusedExpired
	case !a.healthy.Load():
		// An attempt that is sent to a crashed backend server would be counted as in
		// flight at the time of the crash.
		return track.RefusedBackendServerDown
	case !a.wantsRequests():
		return track.RefusedBackendServerDown
	case !a.takePermit(d):
		return track.RefusedFull
	}
	return ""
}

// PreventStart implements track.Agent.
func (a *Agent) PreventStart(_ context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	return a.ledger.Bar(ref), nil
}

// Replay implements track.Agent.
func (a *Agent) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	return a.sendStoredAnswer(ctx, ref, send)
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
		Seq:         a.reportSeq.Add(1),
		Leaving:     a.leaving.Load(),
		Up:          a.healthy.Load() && a.wantsRequests(),
		Load:        load,
	}, nil
}

// StopAccepting makes the agent refuse new attempts. Attempts in progress continue.
func (a *Agent) StopAccepting() {
	a.leaving.Store(true)
}

// Running returns the number of attempts in progress.
func (a *Agent) Running() int {
	return a.inFlight.Len()
}

// OpenRequests returns the IDs of the requests with attempts in progress, in ascending
// order.
func (a *Agent) OpenRequests() []track.RequestID {
	return a.inFlight.Open()
}

// logDecision logs whether an attempt was started or refused, and why.
func (a *Agent) logDecision(d track.Dispatch, decision, reason string) {
	a.options.Logger.Debug("attempt "+decision,
		zap.String("RequestID", string(d.ID.Request)),
		zap.Uint32("Attempt", d.ID.Number),
		zap.String("Reason", reason))
}
