package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// Engines that leave announce it in their answers before their registration changes, and
// while the store is unavailable the registration says ready until the end (release and
// scale_in while entries have lost the store).
func TestLeavingTargetGetsNoCallsUntilItStartsAgain(t *testing.T) {
	f := newFleet(2)
	assert.True(t, f.RecordLeaving(key(0)))
	assert.False(t, f.RecordLeaving(key(0)), "the announcement is known")
	picksOnly := func(want catalog.TargetKey) {
		t.Helper()
		for range 4 {
			q := query()
			q.AllowFull, q.LastTarget = true, key(0).ID
			assert.Equal(t, want, send(t, f, q, start))
		}
	}
	picksOnly(key(1))

	f.Update(engines(2), services)
	picksOnly(key(1))

	f.Update(engines(2)[1:], services)
	f.Update(engines(2), services)
	picksOnly(key(1))
	assert.False(t, f.IsServing(key(0)))

	restarted := engines(1)
	restarted[0].Started = 7
	f.Update(restarted, services)
	picksOnly(restarted[0].TargetKey)
}

func TestServiceWhoseTargetsAllLeaveHasNoTarget(t *testing.T) {
	f := newFleet(2)
	f.RecordLeaving(key(0))
	f.RecordLeaving(key(1))
	_, ok := f.Pick(fleet.Query{Service: "llm", AllowFull: true}, start)
	assert.False(t, ok)
}
