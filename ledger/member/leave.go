package member

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// handOverRetryDelay is the delay after a failed handover to members that may not have read the
// view yet.
const handOverRetryDelay = 50 * time.Millisecond

// maxUnready is how often others may be found not ready before a member keeps its seat. They also
// say so of a view that has just been changed.
const maxUnready = 5

// sleepUntilLeave sleeps for d, or until ctx ends or Leave is called. It reports whether Leave was
// called.
func (m *Member) sleepUntilLeave(ctx context.Context, d time.Duration) (isLeaving bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-m.leave:
		return true
	}
	return false
}

// Leave makes quorums do without this member before it stops, if the others store each record
// often enough: the member may never come back. It returns once the member has left, or can't,
// or when ctx ends. Run goes on until its own context ends.
func (m *Member) Leave(ctx context.Context) {
	m.leaveOnce.Do(func() { close(m.leave) })
	select {
	case <-m.left:
	case <-ctx.Done():
	}
}

// leaveSeat gives up the member's seat if it counts. It waits while a member that has just been
// added copies.
func (m *Member) leaveSeat(ctx context.Context) {
	defer close(m.left)
	for unready := 0; ctx.Err() == nil; {
		view := m.options.Directory.View()
		if !m.ready.Load() || !view.Counts(m.options.Name) || !view.CanRemoveSeat(m.options.Name, m.options.DisksLost) {
			return
		}
		if seat, _ := view.Seat(m.options.Name); !seat.Equal(m.seat(true)) {
			// Others rely on the disk of a member that ends while it leaves only if the view has it.
			if err := m.showReady(ctx, view, seat); err != nil {
				m.log.Warn().Str("event", "seat_step_failed").Err(err).Msg("retrying")
			}
		} else if view.AllReadyExcept(m.options.Name) {
			if !m.othersAreReady(ctx, view) {
				if unready++; unready == maxUnready {
					m.log.Info().Str("event", "seat_kept").Uint64("version", view.Version).Msg("other members are not ready")
					return
				}
				ctxwait.Sleep(ctx, seatCheckPeriod)
				continue
			}
			left, err := m.leaveView(ctx, view)
			if left {
				// With an error, the others may lack records written just before the seat was left.
				m.log.Info().Str("event", "seat_left").Uint64("version", m.options.Directory.View().Version).Err(err).Msg("")
				return
			}
			if err != nil {
				m.log.Warn().Str("event", "seat_kept").Err(err).Msg("retrying")
			}
		}
		ctxwait.Sleep(ctx, seatCheckPeriod)
	}
}

// leaveView hands over all records and changes the view so that this member's seat does not
// count. It reports whether it does not. The disk is marked before: it lacks what quorums store
// from then on.
func (m *Member) leaveView(ctx context.Context, view ledger.View) (left bool, err error) {
	if err := m.handOver(ctx, view.Counting(), view.Version); err != nil {
		return false, err
	}
	if _, _, err := m.storedView(ctx); err != nil {
		// The view can't be changed, so the disk stays complete.
		return false, err
	}
	if err := m.markIncomplete(); err != nil {
		return false, err
	}
	next := view.Leaving(m.options.Name, m.options.DisksLost)
	if err := m.compareAndSwapView(ctx, view, next); err != nil && !errors.Is(err, errViewChanged) {
		return false, err
	}
	current := m.options.Directory.View()
	if current.Counts(m.options.Name) {
		// Another change came first, so the disk still has what quorums have stored.
		return false, m.becomeReady(m.handledDamages.Load())
	}
	// Hand over the records written between the first handover and the change of the view, once
	// the others have that view.
	for {
		err := m.handOver(ctx, current.Counting(), current.Version)
		if err == nil && current.NeedsSettling(m.options.DisksLost) {
			err = m.settle(ctx, current)
		}
		if err == nil || ctx.Err() != nil {
			return true, err
		}
		ctxwait.Sleep(ctx, handOverRetryDelay)
	}
}
