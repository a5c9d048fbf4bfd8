package member

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// ReadIncarnation returns the incarnation of the disk in dir.
func ReadIncarnation(dir string) (uint64, error) {
	id, err := readIdentity(dir)
	return id.Incarnation, err
}

// MarkIncomplete marks the disk in dir as a member does that stops.
func MarkIncomplete(dir string) error {
	id, err := readIdentity(dir)
	if err != nil {
		return err
	}
	id.Complete = false
	return writeIdentity(dir, id)
}

// Expire asks the other members about programs, as of a time, and expires what may be.
func (m *Member) Expire(ctx context.Context, at time.Time, programs ...string) {
	m.post(m.askExpiry(ctx, ledger.ExpiryDue{At: at, Programs: programs}))
}

// SignalMissed makes the member copy what it has missed.
func (m *Member) SignalMissed() { m.signalMissed() }
