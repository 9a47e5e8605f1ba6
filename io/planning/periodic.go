package planning

import (
	"context"
	"time"

	"toucanway/core/pause"
)

// callPeriodically calls f at an interval until the context ends. After a wake-up it calls f with a delay, so that several
// wake-ups share one call.
func callPeriodically(ctx context.Context, interval, delay time.Duration, wake <-chan struct{}, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-wake:
			if pause.For(ctx, delay) != nil {
				return
			}
		}
		f(ctx)
	}
}
