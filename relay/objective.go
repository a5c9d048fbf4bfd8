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

// recordEnd records a program whose objective passed during this turn. A program that was
// late before, such as after an outage, says nothing about the load.
func (t *turn) recordEnd() {
	left := t.call.ObjectiveLeft
	if t.call.HasObjective && left > 0 && time.Since(t.arrived) > left {
		t.relay.recordObjective(t.service, fleet.ProgramMissed)
	}
}
