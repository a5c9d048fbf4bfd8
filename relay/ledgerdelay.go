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
)

// ledgerDelay is the moving average of how long turns wait for the ledger. It is safe for
// concurrent use.
type ledgerDelay struct {
	mu      sync.Mutex
	average time.Duration
	at      time.Time
}

func (d *ledgerDelay) observe(wait time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
