// Package ctxwait waits for a duration or the end of a context.
package ctxwait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls fn once per period until ctx ends. The first call is after one period.
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
