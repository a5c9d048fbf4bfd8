package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// runLimited runs the usual load of all accounts while most of the engines begin to name a limit
// of requests per second that is a third of what they could serve.
func runLimited(seed uint64, disabled ...string) *overloadSim {
	s := newOverloadSim(seed, 1, roomEngines, disabled...)
	for i := range uint64(steadyAccounts) {
		s.demand(0, roomCapacity*(steadyUsual+largeUsual)/steadyAccounts, 1, i%3 == 0)
	}
	s.at(start.Add(stormBegin), func(now time.Time) {
		for i := range roomEngines * 7 / 10 {
			limit := fleet.Limit{PerSecond: overloadSlots / (turnTime.Seconds() * (1 + fullSlowdown)) / 3, IsLimited: true}
			s.entries[0].RecordLimit(key(i), limit, now, now)
		}
	})
	s.run()
	return s
}

// Load: most engines lower their limit while programs run (capped, bancarella-prod-large). The
// engines reported few calls, so programs were admitted as on idle engines, and all of them
// waited for permits.
func TestPermitsCountAsRoomForPrograms(t *testing.T) {
	inTime, inTimeBefore := 0, 0
	for seed := range uint64(4) {
		after, before := runLimited(seed), runLimited(seed, "permit_room")
		t.Logf("seed %d: in time %d of %d admitted, %d turns cut; without permit_room %d of %d, %d", seed,
			after.inTime, after.admitted, after.cutTurns, before.inTime, before.admitted, before.cutTurns)
		assert.Greater(t, after.inTime*before.admitted, before.inTime*after.admitted, "share of the admitted, seed %d", seed)
		assert.LessOrEqual(t, after.cutTurns, before.cutTurns, "seed %d", seed)
		inTime, inTimeBefore = inTime+after.inTime, inTimeBefore+before.inTime
	}
	assert.Greater(t, inTime, inTimeBefore)
}
