// Package sleeper waits for a time or the end of a context, whichever comes first.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ends first.
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

// Until waits until t. It returns false when ctx ends first.
func Until(ctx context.Context, t time.Time) bool {
	return Sleep(ctx, time.Until(t))
}
