package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// ledgerDelayWeight is the weight of one response in the average. At some tens of turns
	// a second the average follows a change within a second.
	ledgerDelayWeight = 0.05
	// ledgerDelayTimeConstant determines how fast the average decays without turns.
	ledgerDelayTimeConstant = time.Second
	// minLedgerOutage is the time without a response after which the ledger is assumed to
	// have been unavailable. Entries that need the ledger less often do not fill their links.
	minLedgerOutage = 200 * time.Millisecond
)

// ledgerDelay is the moving average of how long turns wait for the ledger while it is
// available. It is safe for concurrent use.
type ledgerDelay struct {
	mu      sync.Mutex
	average time.Duration
	at      time.Time
	// respondedAt is the time of the last response, resumedAt that of the first one after an
	// outage. The wait of calls that began before resumedAt counts from then.
	respondedAt, resumedAt time.Time
}

// observe records the response to a call that began at asked.
func (d *ledgerDelay) observe(asked, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.respondedAt) >= minLedgerOutage {
		d.resumedAt = now
	}
	d.respondedAt = now
	if asked.Before(d.resumedAt) {
		asked = d.resumedAt
	}
	wait := now.Sub(asked)
	known := d.current(now)
	d.average, d.at = known+time.Duration(ledgerDelayWeight*float64(wait-known)), now
}

// get returns the average at a time.
func (d *ledgerDelay) get(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current(now)
}

// current returns the average at a time. The caller must hold d.mu.
func (d *ledgerDelay) current(now time.Time) time.Duration {
	age := max(0, now.Sub(d.at))
	return time.Duration(float64(d.average) * math.Exp(-float64(age)/float64(ledgerDelayTimeConstant)))
}
