// Package wait provides sleeps that a context can interrupt, and a watch for silences.
package wait

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done, and reports whether ctx is not done.
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
