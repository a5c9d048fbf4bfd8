// Package ctxwait waits for a time or the end of a context.
package ctxwait

import (
	"context"
	"time"
)

// For returns after d, or earlier when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls fn once a period until ctx ends.
func Every(ctx context.Context, period time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fn(now)
		}
	}
}
