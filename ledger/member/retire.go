package member

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

func (m *Member) isRetiring() bool { return m.options.Directory.Value(m.options.RetireKey) != nil }

// retire hands over all records to the other members, removes this member's seat and
// reports progress to the operators. It waits for another member to take a seat if the rest could
// not store each record often enough.
func (m *Member) retire(ctx context.Context, view ledger.View) error {
	if m.retired {
		return nil
	}
	if _, seated := view.Seat(m.options.Name); seated {
		if err := m.reportRetirement(ctx, false); err != nil {
			return err
		}
		if view.Counts(m.options.Name) {
			if !view.CanRemoveSeat(m.options.Name, m.options.DisksLost) {
				m.logRetirementWaits(view)
				return nil
			}
			if !view.AllReadyExcept(m.options.Name) {
				return nil
			}
			if err := m.handOver(ctx, view.Counting(), view.Version); err != nil {
				return err
			}
		}
		if err := m.compareAndSwapView(ctx, view, view.Without(m.options.Name)); err != nil {
			return err
		}
		view = m.options.Directory.View()
		if _, stillSeated := view.Seat(m.options.Name); stillSeated {
			return nil
		}
	}
	// Hand over the records written between the first handover and the change of the view.
	if err := m.handOver(ctx, view.Counting(), view.Version); err != nil {
		return err
	}
	if view.NeedsSettling(m.options.DisksLost) {
		if err := m.settle(ctx, view); err != nil {
			return err
		}
		if m.options.Directory.View().NeedsSettling(m.options.DisksLost) {
			return nil
		}
	}
	if view.ReliesOn(m.options.Name) {
		return nil
	}
	if err := m.reportRetirement(ctx, true); err != nil {
		return err
	}
	m.retired = true
	return nil
}

// logRetirementWaits logs, once for each view, that too few other members have a seat.
func (m *Member) logRetirementWaits(view ledger.View) {
	if m.waitedVersion == view.Version {
		return
	}
	m.waitedVersion = view.Version
	m.log.Warn().Str("event", "retire_waits").Int("seats", len(view.Counting())).Int("disks_lost", m.options.DisksLost).
		Msg("the VM can't be emptied before another one takes a seat: each record has to be on one disk more than may be lost")
}

func (m *Member) reportRetirement(ctx context.Context, completed bool) error {
	key, value := m.options.RetireStatus(completed)
	current, err := m.options.Store.Get(ctx, key)
	if err != nil {
		return &Error{Step: "retire", Peer: key, Err: err}
	}
	if string(current.Value) == string(value) {
		return nil
	}
	result, err := m.options.Store.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: key, Revision: current.Revision, Value: value})
	if err != nil {
		return &Error{Step: "retire", Peer: key, Err: err}
	}
	if result.Swapped {
		m.log.Info().Str("event", "retire_status").Bool("completed", completed).Msg("")
	}
	return nil
}
