package resident

import "time"

const (
	// delayPeriod is the time between two measurements of how late timers fire.
	delayPeriod = 40 * time.Millisecond
	// delaySmoothing is the weight of a new measurement in the moving average. With
	// this weight the average covers about half a second.
	delaySmoothing = 0.08
	// overloadDelay is the average delay above which an entry counts as overloaded:
	// every step of a turn waits that long, and a turn has about ten steps within an
	// objective of some hundred milliseconds. recoveredDelay is the average delay below
	// which it counts as recovered; the gap prevents a change with every measurement.
	overloadDelay  = 8 * time.Millisecond
	recoveredDelay = 2 * time.Millisecond
	// overloadLedgerDelay is the average response time of the ledger above which an entry
	// counts as overloaded, and recoveredLedgerDelay the one below which it has recovered.
	// A turn needs the ledger twice. The ledger responds within some ten milliseconds,
	// also if single members are slow, unless the entry's network link is saturated.
	overloadLedgerDelay  = 150 * time.Millisecond
	recoveredLedgerDelay = 60 * time.Millisecond
	// unreadyShare is the share of its time that an entry may be unready because of CPU
	// overload. The platform expects entries to be ready for seven eighths of the time.
	unreadyShare = 0.08
	// maxUnreadyBudget bounds the unready time that an entry can accumulate.
	maxUnreadyBudget = 3 * time.Second
	// minUnreadyTime is the shortest time that an entry stays unready. The balancer needs
	// two checks, one second apart, to notice.
	minUnreadyTime = 1500 * time.Millisecond
)

// overloadDetector decides when an entry that lacks CPU time or network bandwidth reports
// itself unready, so that the balancer sends new connections to entries on larger VMs. It
// is not safe for concurrent use.
type overloadDetector struct {
	// timerDelay is the moving average of how late timers fire, ledgerDelay the last known
	// average response time of the ledger.
	timerDelay, ledgerDelay time.Duration
	isUnready               bool
	// changedAt is the time of the last change of isUnready, measuredAt the time of the
	// last measurement. unreadyBudget is the remaining time that the entry may be
	// unready, as of measuredAt.
	changedAt, measuredAt time.Time
	unreadyBudget         time.Duration
}

// newOverloadDetector returns a detector in the ready state with a full unready budget.
func newOverloadDetector(now time.Time) *overloadDetector {
	return &overloadDetector{changedAt: now, measuredAt: now, unreadyBudget: maxUnreadyBudget}
}

// observe records how late a timer fired and the average response time of the ledger, and
// reports whether the entry should be unready.
func (d *overloadDetector) observe(delay, ledgerDelay time.Duration, now time.Time) bool {
	d.timerDelay += time.Duration(delaySmoothing * float64(delay-d.timerDelay))
	d.ledgerDelay = ledgerDelay
	elapsed := now.Sub(d.measuredAt)
	d.measuredAt = now
	if d.isUnready {
		d.unreadyBudget -= elapsed
	} else {
		d.unreadyBudget = min(maxUnreadyBudget, d.unreadyBudget+time.Duration(unreadyShare*float64(elapsed)))
	}
	switch {
	case d.isUnready && (d.unreadyBudget <= 0 || d.hasRecovered() && now.Sub(d.changedAt) >= minUnreadyTime):
		d.isUnready, d.changedAt = false, now
	case !d.isUnready && d.isOverloaded() && d.unreadyBudget >= minUnreadyTime:
		d.isUnready, d.changedAt = true, now
	}
	return d.isUnready
}

func (d *overloadDetector) isOverloaded() bool {
	return d.timerDelay > overloadDelay || d.ledgerDelay > overloadLedgerDelay
}

func (d *overloadDetector) hasRecovered() bool {
	return d.timerDelay < recoveredDelay && d.ledgerDelay < recoveredLedgerDelay
}
