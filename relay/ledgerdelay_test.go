package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// After the loss of all processes, turns wait until the ledger has a quorum and are then
// answered all at once (further trouble-1). Their waits must not look like a saturated
// link, since the entry would leave the balancer just when it can serve again.
func TestOutageOfLedgerIsNoDelay(t *testing.T) {
	var d ledgerDelay
	start := time.Unix(1000, 0)
	quorum := start.Add(600 * time.Millisecond)
	for i := range 40 {
		asked := start.Add(time.Duration(i) * 10 * time.Millisecond)
		d.observe(asked, quorum.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Less(t, d.get(quorum.Add(40*time.Millisecond)), 40*time.Millisecond)

	// The same for an outage of the ledger while the entry runs.
	asked := quorum.Add(50 * time.Millisecond)
	quorum = quorum.Add(2 * time.Second)
	for range 40 {
		d.observe(asked, quorum)
	}
	assert.Less(t, d.get(quorum), 40*time.Millisecond)
}

// On a saturated link (further-grown trouble-3, 30 Mbit/s) the ledger answers all the time,
// but each turn waits.
func TestSlowResponsesAreDelay(t *testing.T) {
	var d ledgerDelay
	at := time.Unix(1000, 0)
	for range 60 {
		at = at.Add(40 * time.Millisecond)
		d.observe(at.Add(-600*time.Millisecond), at)
	}
	assert.Greater(t, d.get(at), 150*time.Millisecond, "the limit of the overload detector")
}
