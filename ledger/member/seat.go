package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

const (
	// seatPeriod is the time between two looks at the membership.
	seatPeriod = 300 * time.Millisecond
	// silentAfter is the time without an answer after which another member may be
	// given up, if enough others remain. It is longer than a restart, a freeze or
	// a partition lasts on most days, and a member that comes back later only has
	// to take a seat again.
	silentAfter = 8 * time.Second
	// pingPeriod is the time between two questions whether the others live.
	pingPeriod  = 2 * time.Second
	pingTimeout = time.Second
	// replacePings is how many questions in a row a member leaves unanswered
	// before a new one takes its seat.
	replacePings = 3
)

var errLostRace = errors.New("another change came first")

// keepSeat holds the member's place in the membership until ctx ends.
func (m *Member) keepSeat(ctx context.Context) {
	for ctx.Err() == nil {
		ctxwait.For(ctx, seatPeriod/2+rand.N(seatPeriod))
		if err := m.stepSeat(ctx); err != nil {
			m.log.Warn().Str("event", "seat_step_failed").Err(err).Msg("trying again")
		}
	}
}

// stepSeat takes the next step towards a ready seat, or out of the membership.
func (m *Member) stepSeat(ctx context.Context) error {
	view := m.options.Directory.View()
	if m.isRetiring() {
		return m.retire(ctx, view)
	}
	seat, seated := view.Seat(m.options.Name)
	if !seated || seat.Addr != m.options.Addr {
		return m.takeSeat(ctx, view)
	}
	m.seatedOnce = true
	if !m.ready.Load() {
		return m.recover(ctx, view)
	}
	if seat != m.seat(true) {
		return m.swapView(ctx, view, view.With(m.seat(true)))
	}
	return nil
}

func (m *Member) seat(ready bool) ledger.Seat {
	return ledger.Seat{
		Name: m.options.Name, Addr: m.options.Addr, Domain: m.options.Domain,
		Incarnation: m.identity.Incarnation, Ready: ready,
	}
}

// takeSeat asks for a seat: that of a member that does not answer, or a new one.
// The number of seats changes only while all members are ready.
func (m *Member) takeSeat(ctx context.Context, view ledger.View) error {
	if view.Version == 0 && !m.options.FirstStart {
		// The membership exists but is not known yet.
		return nil
	}
	if !m.options.FirstStart || m.seatedOnce {
		if err := m.outdate(); err != nil {
			return err
		}
		if silent, found := m.findSilent(ctx, view); found {
			m.log.Info().Str("event", "seat_replaced").Str("peer", silent).Msg("")
			return m.swapView(ctx, view, view.Replacing(silent, m.seat(false)))
		}
	}
	if !view.OthersReady(m.options.Name) {
		return nil
	}
	return m.swapView(ctx, view, view.With(m.seat(m.ready.Load())))
}

// outdate marks the member's disk as lacking what was written while it had no
// seat.
func (m *Member) outdate() error {
	if !m.ready.Load() {
		return nil
	}
	if err := m.mark(identity{Member: m.options.Name, Incarnation: m.identity.Incarnation}); err != nil {
		return err
	}
	m.ready.Store(false)
	m.post(ledger.Outdated{})
	return nil
}

// findSilent returns the name of a member that does not answer several questions
// in a row.
func (m *Member) findSilent(ctx context.Context, view ledger.View) (string, bool) {
	for _, seat := range view.Seats {
		answered := seat.Name == m.options.Name
		for range replacePings {
			if answered = answered || m.ping(ctx, seat); answered {
				break
			}
			ctxwait.For(ctx, seatPeriod)
		}
		if !answered {
			return seat.Name, ctx.Err() == nil
		}
	}
	return "", false
}

// swapView makes next the membership if it still is view.
func (m *Member) swapView(ctx context.Context, view, next ledger.View) error {
	current, err := m.options.Store.Get(ctx, discovery.ViewKey)
	if err != nil {
		return &Error{Step: "join", Peer: discovery.ViewKey, Err: err}
	}
	known := ledger.View{}
	if current.Revision != 0 {
		if known, err = ledger.DecodeView(current.Value); err != nil {
			return &Error{Step: "join", Peer: discovery.ViewKey, Err: err}
		}
	}
	if known.Version != view.Version {
		m.options.Directory.MergeView(known)
		return nil
	}
	result, err := m.options.Store.CompareAndSwap(ctx, store.Swap{Key: discovery.ViewKey, Revision: current.Revision, Value: next.Encode()})
	if err != nil {
		return &Error{Step: "join", Peer: discovery.ViewKey, Err: err}
	}
	if !result.Swapped {
		return &Error{Step: "join", Peer: discovery.ViewKey, Err: errLostRace}
	}
	m.log.Info().Str("event", "view_swapped").Uint64("version", next.Version).Interface("seats", next.Seats).Msg("")
	m.options.Directory.MergeView(next)
	return nil
}

func (m *Member) isRetiring() bool { return m.options.Directory.Value(m.options.RetireKey) != nil }

// retire hands all records to the others, gives up the seat and tells operators.
func (m *Member) retire(ctx context.Context, view ledger.View) error {
	if m.retired {
		return nil
	}
	if _, seated := view.Seat(m.options.Name); seated {
		if err := m.tellRetire(ctx, false); err != nil {
			return err
		}
		if !view.OthersReady(m.options.Name) {
			return nil
		}
		if err := m.handOver(ctx, view.Seats, view.Version); err != nil {
			return err
		}
		if err := m.swapView(ctx, view, view.Without(m.options.Name)); err != nil {
			return err
		}
		view = m.options.Directory.View()
		if _, still := view.Seat(m.options.Name); still {
			return nil
		}
	}
	// What was written between the handing over and the change of the membership.
	if err := m.handOver(ctx, view.Seats, view.Version); err != nil {
		return err
	}
	if err := m.tellRetire(ctx, true); err != nil {
		return err
	}
	m.retired = true
	return nil
}

func (m *Member) tellRetire(ctx context.Context, completed bool) error {
	key, value := m.options.RetireStatus(completed)
	current, err := m.options.Store.Get(ctx, key)
	if err != nil {
		return &Error{Step: "retire", Peer: key, Err: err}
	}
	if string(current.Value) == string(value) {
		return nil
	}
	result, err := m.options.Store.CompareAndSwap(ctx, store.Swap{Key: key, Revision: current.Revision, Value: value})
	if err != nil {
		return &Error{Step: "retire", Peer: key, Err: err}
	}
	if result.Swapped {
		m.log.Info().Str("event", "retire_status").Bool("completed", completed).Msg("")
	}
	return nil
}

// watchOthers gives up members that have been silent for long, if as many disks
// as promised may still be lost without them. Only the first ready member acts.
func (m *Member) watchOthers(ctx context.Context) {
	heard := make(map[string]time.Time)
	for ctx.Err() == nil {
		ctxwait.For(ctx, pingPeriod/2+rand.N(pingPeriod))
		view := m.options.Directory.View()
		if !m.ready.Load() || !view.CanRemoveSeat(m.options.DisksLost) {
			clear(heard)
			continue
		}
		for _, seat := range view.Seats {
			if seat.Name == m.options.Name || heard[seat.Name].IsZero() || m.ping(ctx, seat) {
				heard[seat.Name] = time.Now()
			}
		}
		m.dropSilent(ctx, view, heard)
	}
}

func (m *Member) ping(ctx context.Context, seat ledger.Seat) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, seat.Addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	return conn.Ping(ctx) == nil
}

func (m *Member) dropSilent(ctx context.Context, view ledger.View, heard map[string]time.Time) {
	for _, seat := range view.Seats {
		silent := time.Since(heard[seat.Name])
		if silent < silentAfter {
			continue
		}
		if !view.OthersReady(seat.Name) || !m.isFirst(view, heard) {
			return
		}
		m.log.Warn().Str("event", "member_given_up").Str("peer", seat.Name).Dur("silent", silent).Msg("")
		if err := m.dropSeat(ctx, view, seat.Name); err != nil {
			m.log.Warn().Str("event", "seat_kept").Err(err).Msg("")
		}
		return
	}
}

// dropSeat gives up a member. What it held together with few others gets enough
// copies before.
func (m *Member) dropSeat(ctx context.Context, view ledger.View, name string) error {
	next := view.Without(name)
	if err := m.collect(ctx, next.Seats, view.Version); err != nil {
		return err
	}
	if err := m.handOver(ctx, next.Seats, view.Version); err != nil {
		return err
	}
	return m.swapView(ctx, view, next)
}

// isFirst says whether this member is the first of those heard of.
func (m *Member) isFirst(view ledger.View, heard map[string]time.Time) bool {
	for _, seat := range view.Seats {
		if time.Since(heard[seat.Name]) < silentAfter {
			return seat.Name == m.options.Name
		}
	}
	return false
}
