package planning

import (
	"context"
	"time"

	"toucanway/core/pause"
)

// repeat calls f at an interval, and a delay after each wake-up so that several causes share one call, until the context
// ends.
func repeat(ctx context.Context, interval, delay time.Duration, wake <-chan struct{}, f func(context.Context)) {
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
