package relay

import (
	"sync"
	"time"
)

// linesPerSecond bounds the log lines of requests that were answered. Those of
// others are always written.
const linesPerSecond = 200

// lineQuota counts the lines of the current second. It is safe for concurrent use.
type lineQuota struct {
	mu     sync.Mutex
	second int64
	lines  int
}

// take reports whether one more line may be written.
func (q *lineQuota) take(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if second := now.Unix(); second != q.second {
		q.second, q.lines = second, 0
	}
	q.lines++
	return q.lines <= linesPerSecond
}
