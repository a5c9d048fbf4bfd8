package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLogLinesOfAnsweredRequestsAreLimited(t *testing.T) {
	var q logQuota
	now := time.Unix(10, 0)
	written := 0
	for i := range 3000 {
		if q.allow(now.Add(time.Duration(i) * time.Millisecond)) {
			written++
		}
	}
	assert.Equal(t, 3*logLinesPerSecond, written)
}
