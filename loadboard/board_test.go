package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

var start = time.Unix(1000, 0)

func calls(counts ...loadboard.Count) loadboard.Report { return loadboard.Report{Calls: counts} }

func TestProcessesGetTheCallsOfAllOthers(t *testing.T) {
	b := loadboard.New()
	exchange := func(process string, own loadboard.Report) []loadboard.Count {
		return b.Exchange(process, own, start).Calls
	}
	assert.Empty(t, exchange("a", calls(loadboard.Count{Target: 1, Count: 2}, loadboard.Count{Target: 2, Count: 1})))
	assert.ElementsMatch(t, []loadboard.Count{{Target: 1, Count: 2}, {Target: 2, Count: 1}}, exchange("b", calls(loadboard.Count{Target: 1, Count: 3})))
	assert.Equal(t, []loadboard.Count{{Target: 1, Count: 3}}, exchange("a", calls()), "a's calls have ended")
	assert.Empty(t, exchange("b", calls()))
	assert.Equal(t, 3, b.Exchange("c", calls(), start).Processes)
}

func TestFailuresAreCountedByProcess(t *testing.T) {
	b := loadboard.New()
	failing := loadboard.Report{Failing: []uint64{1, 2}}
	b.Exchange("a", failing, start)
	assert.Empty(t, b.Exchange("a", failing, start).Failing, "a process's own failures are not returned to it")
	b.Exchange("b", loadboard.Report{Failing: []uint64{1}}, start)
	assert.ElementsMatch(t, []loadboard.Count{{Target: 1, Count: 2}, {Target: 2, Count: 1}}, b.Exchange("c", loadboard.Report{}, start).Failing)
	b.Exchange("a", loadboard.Report{}, start)
	assert.Equal(t, []loadboard.Count{{Target: 1, Count: 1}}, b.Exchange("c", loadboard.Report{}, start).Failing)
}

// The calls of an entry that was killed must not count as load for longer than its report.
func TestReportsOfEndedProcessesExpire(t *testing.T) {
	b := loadboard.New()
	b.Exchange("a", calls(loadboard.Count{Target: 1, Count: 2}), start)
	assert.Len(t, b.Exchange("b", calls(), start.Add(500*time.Millisecond)).Calls, 1)
	others := b.Exchange("b", calls(), start.Add(1500*time.Millisecond))
	assert.Empty(t, others.Calls)
	assert.Equal(t, 1, others.Processes)
}

func TestSummaryIsBoundedToTheMostLoadedTargets(t *testing.T) {
	b := loadboard.New()
	var own loadboard.Report
	for i := range 3 * loadboard.MaxTargets {
		own.Calls = append(own.Calls, loadboard.Count{Target: uint64(i), Count: uint32(1 + i%3)})
	}
	b.Exchange("a", own, start)
	others := b.Exchange("b", calls(), start).Calls
	assert.Len(t, others, loadboard.MaxTargets)
	for _, c := range others {
		assert.EqualValues(t, 3, c.Count)
	}
}
