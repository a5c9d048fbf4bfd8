package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

func TestStallLimitFollowsObservedDelays(t *testing.T) {
	const objective = 200 * time.Millisecond
	f := newFleet(2)
	assert.Equal(t, 1500*time.Millisecond, f.StallLimit("llm", objective), "nothing is known yet")
	record := func(delays ...time.Duration) {
		for i := range 200 {
			f.RecordFirstEvent("llm", delays[i%len(delays)])
		}
	}
	record(30*time.Millisecond, 40*time.Millisecond, 60*time.Millisecond)
	assert.Equal(t, 300*time.Millisecond, f.StallLimit("llm", objective), "fast engines: the objective decides")
	record(200*time.Millisecond, 300*time.Millisecond)
	assert.Greater(t, f.StallLimit("llm", objective), 500*time.Millisecond, "loaded engines are not stalled")
	record(time.Second, 2*time.Second)
	assert.Equal(t, 1500*time.Millisecond, f.StallLimit("llm", objective))
}

// A fifth of the engines sent nothing for a third of the turns (srv_grey mute of large/,
// trouble-1). Conversations went back to the engine that had them cached, each through
// another entry that had not met it yet, until they had failed three times.
func TestEnginesThatFailAtOtherEntriesAreAvoided(t *testing.T) {
	conversation := query(sharedPrefix(1), sessionPart("a"))
	conversation.AtMostOnce, conversation.LastTarget = true, key(0).ID
	failingAt := func(processes uint32, targets ...int) loadboard.Summary {
		var others loadboard.Summary
		for _, i := range targets {
			others.Failing = append(others.Failing, loadboard.Count{Target: key(i).Hash(), Count: processes})
		}
		return others
	}
	choose := func(others loadboard.Summary, after time.Duration) string {
		f := newFleet(6)
		f.RecordOthers(others, start)
		return send(t, f, conversation, start.Add(after)).ID
	}
	assert.Equal(t, key(0).ID, choose(failingAt(1, 0), 0), "one process alone may be mistaken")
	assert.NotEqual(t, key(0).ID, choose(failingAt(2, 0), 0))
	assert.Equal(t, key(0).ID, choose(failingAt(2, 0), 2*time.Second), "reports that are not renewed expire")
	assert.Equal(t, key(0).ID, choose(failingAt(9, 0, 1, 2, 3), 0), "most engines are not the cause")
}

func TestStalledEngineIsReportedAndAvoidedUntilItAnswers(t *testing.T) {
	f := newFleet(2)
	stalled := send(t, f, query(), start)
	f.RecordStall(stalled, start)
	assert.Equal(t, []uint64{stalled.Hash()}, f.LoadReport(start).Failing)
	assert.NotEqual(t, stalled, send(t, f, query(), start))
	f.RecordEnd(stalled, fleet.Answered, time.Second, start.Add(time.Second))
	assert.Empty(t, f.LoadReport(start.Add(time.Second)).Failing)
}
