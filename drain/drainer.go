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
	// stepInterval is the time between looks at what is still open.
	stepInterval = 50 * time.Millisecond
	// tellTimeout bounds the news of the stop to the peers.
	tellTimeout = 2 * time.Second
)

// Hooks connects a shutdown with the daemon that it stops. Each is called at
// most once; nil ones are skipped.
type Hooks struct {
	// Unready runs at the first signal, before anything else. An agent refuses
	// new work from here on; an entry reports itself unready.
	Unready func()
	// Tell tells the peers, right after Unready.
	Tell func(context.Context) error
	// Finish closes the doors to new work. It must not wait.
	Finish func()
	// Open returns the requests in progress.
	Open func() []track.RequestID
}

// Drainer carries out the graceful shutdown of one process.
type Drainer struct {
	timing Timing
	hooks  Hooks
	clock  clockwork.Clock
	logger *zap.Logger
	phase  atomic.Int64
}

// New returns the drainer of a process that serves.
func New(timing Timing, hooks Hooks, clock clockwork.Clock, logger *zap.Logger) *Drainer {
	return &Drainer{timing: timing, hooks: hooks, clock: clock, logger: logger}
}

// Phase returns the current phase. It may be called from any goroutine.
func (d *Drainer) Phase() Phase {
	return Phase(d.phase.Load())
}

// Run waits for stop signals and carries out the shutdown. It returns once the
// process may exit: nil if all work ended, an error of kind CutOff if some was
// still open. It returns early, with the context's cause, if the context ends.
func (d *Drainer) Run(ctx context.Context, stops <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	var hooks errgroup.Group
	err := d.drive(ctx, stops, &hooks)
	cancel()
	if hookErr := hooks.Wait(); hookErr != nil && !errors.Is(hookErr, context.Canceled) {
		d.logger.Warn("shutdown hook failed", zap.Error(hookErr))
	}
	return err
}

func (d *Drainer) drive(ctx context.Context, stops <-chan struct{}, hooks *errgroup.Group) error {
	state := NewState(d.timing)
	ticker := d.clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stops:
			state.Stop(d.clock.Now())
			d.enter(ctx, state.Phase(), hooks)
		case <-ticker.Chan():
		}
		// New work is refused before the work in progress is counted.
		state.Step(d.clock.Now(), len(d.hooks.Open()))
		d.enter(ctx, state.Phase(), hooks)
		if state.Phase() == Ended {
			return d.end()
		}
	}
}

// enter runs the hooks of a phase that was just reached.
func (d *Drainer) enter(ctx context.Context, next Phase, hooks *errgroup.Group) {
	last := d.Phase()
	if next == last {
		return
	}
	if last == Serving && d.hooks.Unready != nil {
		d.hooks.Unready()
	}
	d.phase.Store(int64(next))
	d.logger.Info("shutdown", zap.Stringer("phase", next), zap.Int("open", len(d.hooks.Open())))
	if last == Serving && d.hooks.Tell != nil {
		hooks.Go(func() error { return d.tell(ctx) })
	}
	if next >= Finishing && last < Finishing && d.hooks.Finish != nil {
		d.hooks.Finish()
	}
}

func (d *Drainer) tell(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, tellTimeout)
	defer cancel()
	return d.hooks.Tell(ctx)
}

// end logs the requests that the end cuts off.
func (d *Drainer) end() error {
	open := d.hooks.Open()
	if len(open) == 0 {
		return nil
	}
	for _, id := range open {
		d.logger.Error("request cut off by shutdown", zap.String("request", string(id)))
	}
	return track.Fail("shut down", CutOff, fmt.Errorf("%d requests open", len(open)))
}
