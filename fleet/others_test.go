package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// callsAt returns the same number of calls at each of the first n engines.
func callsAt(n int, count uint32) loadboard.Summary {
	var others loadboard.Summary
	for i := range n {
		others.Calls = append(others.Calls, loadboard.Count{Target: key(i).Hash(), Count: count})
	}
	return others
}

func TestCallsOfOtherEntriesCountAsLoad(t *testing.T) {
	f := newFleet(6)
	f.RecordOthers(callsAt(5, 4), start)
	assert.Equal(t, key(5), send(t, f, query(), start))
	assert.Equal(t, []loadboard.Count{{Target: key(5).Hash(), Count: 1}}, f.LoadReport(start).Calls)

	f.RecordOthers(loadboard.Summary{}, start.Add(time.Millisecond))
	assert.NotEqual(t, key(5), send(t, f, query(), start.Add(time.Millisecond)), "the others' calls have ended")
}

// One engine of sixty is idle, and sixty entries with equally old reports choose at about the
// same time. If each chose the least loaded engine, that engine would get all their calls
// (an engine that was added or has recovered, scale_out and srv_flap of large/).
func TestEntriesWithTheSameOldLoadDoNotChooseTheSameEngine(t *testing.T) {
	const entries, engineCount = 60, 60
	chosen := 0
	for seed := range uint64(entries) {
		f := fleet.New(seed, 0)
		f.Update(engines(engineCount), services)
		for i := range 20 {
			f.RecordOthers(callsAt(engineCount-1, 3), start.Add(time.Duration(i)*60*time.Millisecond))
		}
		if send(t, f, query(), start.Add(1190*time.Millisecond)) == key(engineCount-1) {
			chosen++
		}
	}
	assert.Positive(t, chosen)
	assert.LessOrEqual(t, chosen, 12, "a fifth of the entries")
}

// An entry that has lost the exchange knows less with each moment, and in the end spreads its
// calls like one that knows nothing.
func TestLoadThatIsNoLongerExchangedLosesItsWeight(t *testing.T) {
	f := newFleet(6)
	f.RecordOthers(callsAt(5, 4), start)
	counts := map[string]int{}
	for range 60 {
		now := start.Add(5 * time.Second)
		target := send(t, f, query(), now)
		counts[target.ID]++
		f.RecordEnd(target, fleet.Answered, 300*time.Millisecond, now)
	}
	assert.Len(t, counts, 6)
}
