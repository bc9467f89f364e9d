// Package wait pauses for a time that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still in force.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
