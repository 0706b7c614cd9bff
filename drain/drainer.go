package drain

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track"
)

const (
	// pollInterval is the time between checks for open requests and elapsed time limits.
	pollInterval = 50 * time.Millisecond
	// notifyTimeout limits the time for notifying the peers of the shutdown.
	notifyTimeout = 2 * time.Second
)

// Hooks connects a shutdown with the daemon that it stops. MarkUnready, NotifyPeers
// and StopAccepting are called at most once and skipped if nil. OpenRequests is required and called repeatedly.
type Hooks struct {
	// MarkUnready is called at the first stop signal, before anything else. An agent
	// refuses new requests from then on; an entry reports itself unready.
	MarkUnready func()
	// NotifyPeers notifies the peers of the shutdown. It is started right after
	// MarkUnready, runs concurrently, and its context ends after notifyTimeout or with the shutdown.
	NotifyPeers func(context.Context) error
	// StopAccepting stops the acceptance of new requests. It must not block.
	StopAccepting func()
	// OpenRequests returns the IDs of the requests in progress.
	OpenRequests func() []track.RequestID
}

// Drainer runs the graceful shutdown of a process.
type Drainer struct {
	timing Timeouts
	hooks  Hooks
	clock  clockwork.Clock
	logger *zap.Logger
	phase  atomic.Int64
}

// New returns a drainer in phase Serving.
func New(timing Timeouts, hooks Hooks, clock clockwork.Clock, logger *zap.Logger) *Drainer {
	return &Drainer{timing: timing, hooks: hooks, clock: clock, logger: logger}
}

// Phase returns the current phase. It may be called from any goroutine.
func (d *Drainer) Phase() Phase {
	return Phase(d.phase.Load())
}

// Run waits for stop signals and runs the shutdown. It returns once the process may
// exit: nil if all requests have ended, or an error of kind CutOff if some were still
// open. If the context ends first, it returns the cause of that.
func (d *Drainer) Run(ctx context.Context, stops <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	var notifications errgroup.Group
	err := d.runPhases(ctx, stops, &notifications)
	cancel()
	if notifyErr := notifications.Wait(); notifyErr != nil && !errors.Is(notifyErr, context.Canceled) {
		d.logger.Warn("failed to notify peers of the shutdown", zap.Error(notifyErr))
	}
	return err
}

// runPhases advances the shutdown at each stop signal and at each tick until it ends. It
// starts the notification of the peers in the given group.
func (d *Drainer) runPhases(ctx context.Context, stops <-chan struct{}, notifications *errgroup.Group) error {
	state := NewState(d.timing)
	ticker := d.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stops:
			state.Stop(d.clock.Now())
			d.enterPhase(ctx, state.Phase(), notifications)
		case <-ticker.Chan():
		}
		// The hooks of a new phase refuse new requests before those in progress are counted.
		state.Advance(d.clock.Now(), len(d.hooks.OpenRequests()))
		d.enterPhase(ctx, state.Phase(), notifications)
		if state.Phase() == Ended {
			return d.reportCutOff()
		}
	}
}

// enterPhase runs the hooks of the next phase if it differs from the current one.
func (d *Drainer) enterPhase(ctx context.Context, next Phase, notifications *errgroup.Group) {
	previous := d.Phase()
	if next == previous {
		return
	}
	if previous == Serving && d.hooks.MarkUnready != nil {
		d.hooks.MarkUnready()
	}
	d.phase.Store(int64(next))
	d.logger.Info("shutdown", zap.Stringer("phase", next), zap.Int("open", len(d.hooks.OpenRequests())))
	if previous == Serving && d.hooks.NotifyPeers != nil {
		notifications.Go(func() error { return d.notifyPeers(ctx) })
	}
	if next >= Finishing && previous < Finishing && d.hooks.StopAccepting != nil {
		d.hooks.StopAccepting()
	}
}

// notifyPeers calls the NotifyPeers hook with a timeout.
func (d *Drainer) notifyPeers(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, notifyTimeout)
	defer cancel()
	return d.hooks.NotifyPeers(ctx)
}

// reportCutOff logs each request that is still open, and returns an error of kind CutOff
// if there are any.
func (d *Drainer) reportCutOff() error {
	open := d.hooks.OpenRequests()
	if len(open) == 0 {
		return nil
	}
	for _, id := range open {
		d.logger.Error("request cut off by shutdown", zap.String("request", string(id)))
	}
	return track.Fail("shut down", CutOff, fmt.Errorf("%d requests open", len(open)))
}
