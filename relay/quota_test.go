package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLinesOfAnsweredRequestsAreBounded(t *testing.T) {
	var q lineQuota
	now := time.Unix(10, 0)
	written := 0
	for i := range 3000 {
		if q.take(now.Add(time.Duration(i) * time.Millisecond)) {
			written++
		}
	}
	assert.Equal(t, 3*linesPerSecond, written)
}
