package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// During a release some processes report calls without their work. Their calls count as much as
// the others at the target, and nothing is left of a sum when its calls end.
func TestWorkOfMixedVersions(t *testing.T) {
	b, now := loadboard.New(), time.Unix(1000, 0)
	calls := func(count, workMS uint32) loadboard.Report {
		return loadboard.Report{Calls: []loadboard.Count{{Target: 1, Count: count, WorkMS: workMS}}}
	}
	b.Exchange("new", calls(2, 300), now)
	assert.Equal(t, []loadboard.Count{{Target: 1, Count: 2, WorkMS: 300}}, b.Exchange("old", calls(4, 0), now).Calls)
	assert.Equal(t, []loadboard.Count{{Target: 1, Count: 6, WorkMS: 900}}, b.Exchange("another", loadboard.Report{}, now).Calls)
	assert.Equal(t, []loadboard.Count{{Target: 1, Count: 4}}, b.Exchange("new", loadboard.Report{}, now).Calls)
	b.Exchange("old", loadboard.Report{}, now)
	assert.Empty(t, b.Exchange("another", loadboard.Report{}, now).Calls)
}
