package duty

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f once per interval until the context ends, and returns the cause of its
// end. The first call comes after one interval.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
			f()
		}
	}
}
