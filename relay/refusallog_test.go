package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// A storm of one account must not flood the log, and the lines must account for all refusals but
// those after the last one.
func TestRefusalsAreLoggedByClass(t *testing.T) {
	var l refusalLog
	start := time.Unix(1000, 0)
	storm := refusalKey{"llm", "large", fleet.OverShare}
	assert.Equal(t, 1, l.count(storm, start))
	lines, programs := 0, 0
	for i := range 1000 {
		if n := l.count(storm, start.Add(time.Duration(i)*10*time.Millisecond)); n > 0 {
			lines, programs = lines+1, programs+n
		}
	}
	assert.Equal(t, 1, lines)
	assert.Equal(t, 501, programs)
	assert.Equal(t, 1, l.count(refusalKey{"llm", "small", fleet.OverShare}, start), "another account")
	for i := range 3 * maxRefusalLogs {
		l.count(refusalKey{"llm", fmt.Sprint(i), fleet.Overloaded}, start)
	}
	assert.LessOrEqual(t, len(l.classes), maxRefusalLogs)
}
