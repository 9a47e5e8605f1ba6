package pause

import (
	"context"
	"time"
)

// For waits for a duration, or returns the error of the context if that ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Until waits until a time, or returns the error of the context if that ends first.
func Until(ctx context.Context, at time.Time) error { return For(ctx, time.Until(at)) }

// Every calls f at an interval until the context ends; the first call is after one interval.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f()
	}
}
