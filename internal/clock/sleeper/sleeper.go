// Package sleeper provides sleeps that end early when a context is done.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns true after d, or false as soon as ctx is done. If d is not positive, it returns at once,
// and reports whether ctx is not done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until t. It returns true at t, or false as soon as ctx is done.
func Until(ctx context.Context, t time.Time) bool {
	return Sleep(ctx, time.Until(t))
}
