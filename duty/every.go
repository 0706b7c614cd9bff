package duty

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f at each interval, the first time after one interval, until the
// context ends. It returns the cause of that.
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
