package relay

import (
	"sync"
	"time"
)

// logLinesPerSecond bounds the log lines of answered requests. The end of other
// requests is always logged.
const logLinesPerSecond = 200

// logQuota counts the log lines of the current second. It is safe for concurrent use.
type logQuota struct {
	mu     sync.Mutex
	second int64
	lines  int
}

// allow counts a line and reports whether it may be written.
func (q *logQuota) allow(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if second := now.Unix(); second != q.second {
		q.second, q.lines = second, 0
	}
	q.lines++
	return q.lines <= logLinesPerSecond
}
