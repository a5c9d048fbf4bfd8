package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

var start = time.Unix(1000, 0)

func TestProcessesGetTheCallsOfAllOthers(t *testing.T) {
	b := loadboard.New()
	exchange := func(process string, calls ...loadboard.Calls) []loadboard.Calls {
		others, _ := b.Exchange(process, calls, start)
		return others
	}
	assert.Empty(t, exchange("a", loadboard.Calls{Target: 1, Count: 2}, loadboard.Calls{Target: 2, Count: 1}))
	assert.ElementsMatch(t, []loadboard.Calls{{Target: 1, Count: 2}, {Target: 2, Count: 1}}, exchange("b", loadboard.Calls{Target: 1, Count: 3}))
	assert.Equal(t, []loadboard.Calls{{Target: 1, Count: 3}}, exchange("a"), "a's calls have ended")
	assert.Empty(t, exchange("b"))
	_, processes := b.Exchange("c", nil, start)
	assert.Equal(t, 3, processes)
}

// The calls of an entry that was killed must not count as load for longer than its report.
func TestReportsOfEndedProcessesExpire(t *testing.T) {
	b := loadboard.New()
	b.Exchange("a", []loadboard.Calls{{Target: 1, Count: 2}}, start)
	others, _ := b.Exchange("b", nil, start.Add(500*time.Millisecond))
	assert.Len(t, others, 1)
	others, processes := b.Exchange("b", nil, start.Add(1500*time.Millisecond))
	assert.Empty(t, others)
	assert.Equal(t, 1, processes)
}

func TestResponseIsBoundedToTheMostLoadedTargets(t *testing.T) {
	b := loadboard.New()
	var calls []loadboard.Calls
	for i := range 3 * loadboard.MaxTargets {
		calls = append(calls, loadboard.Calls{Target: uint64(i), Count: uint32(1 + i%3)})
	}
	b.Exchange("a", calls, start)
	others, _ := b.Exchange("b", nil, start)
	assert.Len(t, others, loadboard.MaxTargets)
	for _, c := range others {
		assert.EqualValues(t, 3, c.Count)
	}
}
