package relay

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// recordFirstEvent records whether the first event met the objective of the route. The
// wait for the ledger is left out, since the load of the engines does not cause it.
func (t *turn) recordFirstEvent() {
	if t.route.LatencyTarget <= 0 {
		return
	}
	outcome := fleet.FirstEventMet
	if t.firstEventAfter-t.ledgerWait > t.route.LatencyTarget {
		outcome = fleet.FirstEventMissed
	}
	t.relay.recordObjective(t.service, outcome)
}

// recordEnd records how much of the time left of the program the turn took.
func (t *turn) recordEnd() {
	if t.call.HasObjective {
		t.relay.recordTurn(t.service, time.Since(t.arrived), t.call.ObjectiveLeft)
	}
}
