package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

const (
	// settleDelay is how long a member waits for each one before it in the view to settle it.
	settleDelay = time.Second
	// settleRetryDelay is the time after a failed attempt to settle the view.
	settleRetryDelay = 2 * time.Second
	// seatCheckPeriod is the average time between two checks of the view.
	seatCheckPeriod = 300 * time.Millisecond
	// unresponsiveAfter is the time without a response after which another member may
	// be removed, if enough others remain. It is longer than most restarts, freezes and
	// partitions, and a member that recovers later only has to request a seat again.
	unresponsiveAfter = 8 * time.Second
	// pingPeriod is the average time between two pings of the other members.
	pingPeriod  = 2 * time.Second
	pingTimeout = time.Second
	// pingsBeforeReplacement is how many consecutive pings of a member must fail before a
	// new member replaces it in the view.
	pingsBeforeReplacement = 3
)

// seatSpreadDelay is how long a member waits for members of other failure domains to take a
// free seat, for each seat that its own domain already has.
const seatSpreadDelay = 500 * time.Millisecond

var errViewChanged = errors.New("the view was changed concurrently")

// maintainSeat keeps the member's seat in the view up to date until ctx ends.
func (m *Member) maintainSeat(ctx context.Context) {
	for ctx.Err() == nil {
		if m.sleepUntilLeave(ctx, seatCheckPeriod/2+rand.N(seatCheckPeriod)) {
			m.leaveSeat(ctx)
			return
		}
		if err := m.reconcileSeat(ctx); err != nil {
			m.log.Warn().Str("event", "seat_step_failed").Err(err).Msg("retrying")
		}
	}
}

// reconcileSeat takes the next step towards a ready seat, or towards retirement.
func (m *Member) reconcileSeat(ctx context.Context) error {
	if damages := m.damages.Load(); damages != m.handledDamages.Load() {
		if err := m.renewIncarnation(); err != nil {
			return err
		}
		m.handledDamages.Store(damages)
	}
	view := m.options.Directory.View()
	if view.Version != m.seenVersion {
		m.seenVersion, m.seenSince = view.Version, time.Now()
		m.settleAfter = m.seenSince.Add(time.Duration(view.Rank(m.options.Name)) * settleDelay)
	}
	// Members that retire settle the view, too: if all do, a new one can't take a seat before.
	if m.ready.Load() && view.Counts(m.options.Name) && view.NeedsSettling(m.options.DisksLost) && time.Now().After(m.settleAfter) {
		m.settleAfter = time.Now().Add(settleRetryDelay)
		return m.settle(ctx, view)
	}
	seat, seated := view.Seat(m.options.Name)
	// A member whose seat counts becomes ready before it retires: others may need it to copy from.
	if m.isRetiring() && (!view.Counts(m.options.Name) || seat.Equal(m.seat(true)) && m.ready.Load()) {
		return m.retire(ctx, view)
	}
	if !seated && !m.mayTakeSeat(view) {
		// A member without a seat does not get the records written meanwhile.
		return m.markIncomplete()
	}
	if !seated || seat.Addr != m.options.Addr {
		return m.takeSeat(ctx, view)
	}
	m.hadSeat = true
	if !m.ready.Load() {
		if m.isCompleteSince(view) {
			return m.resume(ctx)
		}
		return m.recover(ctx, view)
	}
	return m.showReady(ctx, view, seat)
}

// showReady changes the view so that it has the ready seat of this member.
func (m *Member) showReady(ctx context.Context, view ledger.View, seat ledger.Seat) error {
	if seat.Equal(m.seat(true)) {
		return nil
	}
	return m.compareAndSwapView(ctx, view, view.With(m.seat(true)))
}

// mayTakeSeat reports whether a member without a seat may take one now. It waits while all
// seats are taken, and longer the more seats its failure domain has.
func (m *Member) mayTakeSeat(view ledger.View) bool {
	if view.IsFull(m.options.DisksLost) {
		return false
	}
	return time.Since(m.seenSince) >= time.Duration(view.SeatsIn(m.options.Domain))*seatSpreadDelay
}

func (m *Member) seat(ready bool) ledger.Seat {
	return ledger.Seat{
		Name: m.options.Name, Addr: m.options.Addr, Domain: m.options.Domain,
		Incarnation: m.identity.Incarnation, Ready: ready,
	}
}

// takeSeat changes the view so that this member has a seat: it replaces an unresponsive
// member, or else adds a seat, which counts once the member has copied (see recover).
//
// Invariant: a seat is only added while all other members are ready, and only replaced while there
// are enough others to copy from (see mayReplace).
func (m *Member) takeSeat(ctx context.Context, view ledger.View) error {
	if view.Version == 0 && m.ready.Load() {
		return m.compareAndSwapView(ctx, view, view.Adding(m.seat(true), m.options.DisksLost))
	}
	if view.Version == 0 && !m.options.FirstStart {
		// The store has a view that this member has not read yet.
		return nil
	}
	if view.Counts(m.options.Name) {
		// The member serves at another address than before.
		if err := m.markIncomplete(); err != nil {
			return err
		}
		return m.compareAndSwapView(ctx, view, view.With(m.seat(false)))
	}
	if !m.options.FirstStart || m.hadSeat {
		if err := m.markIncomplete(); err != nil {
			return err
		}
		if unresponsive, found := m.findUnresponsive(ctx, view); found {
			if !m.mayReplace(ctx, view, unresponsive) {
				return nil
			}
			m.log.Info().Str("event", "seat_replaced").Str("peer", unresponsive).Msg("")
			return m.compareAndSwapView(ctx, view, view.Replacing(unresponsive, m.seat(false)))
		}
	}
	if !view.AllReadyExcept(m.options.Name) || !m.options.FirstStart && !(view.MayChange(m.options.DisksLost) && m.othersAreReady(ctx, view)) {
		return nil
	}
	return m.compareAndSwapView(ctx, view, view.Adding(m.seat(m.ready.Load()), m.options.DisksLost))
}

// mayReplace reports whether this member may take the seat of an unresponsive one: there must be
// enough others to copy from, which this member does in advance. With fewer, it could not get
// ready, and the unresponsive member, which may only be down, would be lost as a source. A joining
// seat is in no quorum and no source, so it may be replaced at any time.
func (m *Member) mayReplace(ctx context.Context, view ledger.View, name string) bool {
	if !view.Counts(name) {
		return true
	}
	if !view.MayReplace(name, m.options.DisksLost) {
		return false
	}
	next := view.Replacing(name, m.seat(false))
	if !next.IsComplete(m.options.Name, m.options.DisksLost, m.copySources(ctx, view)) {
		return false
	}
	// Copying may have taken longer than the other member was down.
	seat, _ := view.Seat(name)
	return !m.ping(ctx, seat)
}

// confirmSeat lets the view in the store have the ready seat of this member after it has copied
// under that view. It reports whether it has, and that there was no other view meanwhile. The disk
// is marked before: once the seat counts as ready, quorums and other members that recover may need
// this one, also if it ends just then.
func (m *Member) confirmSeat(ctx context.Context, view ledger.View) (bool, error) {
	next := view
	if seat, _ := view.Seat(m.options.Name); seat.Equal(m.seat(true)) {
		stored, _, err := m.storedView(ctx)
		if err != nil {
			return false, err
		}
		m.options.Directory.MergeView(stored)
	} else {
		next = view.With(m.seat(true))
		if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: m.identity.Incarnation, CompleteFrom: next.Version}); err != nil {
			return false, err
		}
		if err := m.compareAndSwapView(ctx, view, next); err != nil {
			return false, err
		}
	}
	current := m.options.Directory.View()
	seat, _ := current.Seat(m.options.Name)
	return current.Version == next.Version && seat.Equal(m.seat(true)), nil
}

// isCompleteSince reports whether the disk was marked for a change of the view that took effect.
// Only this member makes its seat ready, so no other change can be mistaken for that one.
func (m *Member) isCompleteSince(view ledger.View) bool {
	seat, _ := view.Seat(m.options.Name)
	from := m.identity.CompleteFrom
	return from != 0 && view.Version >= from && seat.Equal(m.seat(true))
}

// resume makes a member ready that ended, or lost the store, while its seat began to count.
func (m *Member) resume(ctx context.Context) error {
	if err := m.becomeReady(m.handledDamages.Load()); err != nil {
		return err
	}
	m.log.Info().Str("event", "resumed").Msg("")
	m.catchUp(ctx)
	return nil
}

// othersAreReady asks the other members whether they are ready. The view may say that they are
// although they have lost their disks since.
func (m *Member) othersAreReady(ctx context.Context, view ledger.View) bool {
	for _, seat := range view.Seats {
		if seat.Name != m.options.Name && !m.isReady(ctx, seat, view.Version) {
			return false
		}
	}
	return true
}

// isReady reports whether a member is ready. Only such a member knows that no turn has the
// empty id.
func (m *Member) isReady(ctx context.Context, seat ledger.Seat, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, seat.Addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	response, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_ReadChain{ReadChain: &ledgerpb.ReadChain{}}})
	return err == nil && response.GetStatus() == ledgerpb.Status_STATUS_NOT_FOUND
}

// renewIncarnation marks the member's disk as one that lacks records that it has acknowledged, such
// as damaged ones. Like an empty disk it gets a new incarnation, so others do not rely on it.
func (m *Member) renewIncarnation() error {
	if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: rand.Uint64()}); err != nil {
		return err
	}
	m.ready.Store(false)
	m.post(ledger.Outdated{})
	return nil
}

// markIncomplete marks the member's disk as lacking records that were written while it had no
// seat. It still has all that it has acknowledged.
func (m *Member) markIncomplete() error {
	if !m.ready.Load() && m.identity.CompleteFrom == 0 {
		return nil
	}
	if err := m.setIdentity(identity{Member: m.options.Name, Incarnation: m.identity.Incarnation}); err != nil {
		return err
	}
	m.ready.Store(false)
	m.post(ledger.Outdated{})
	return nil
}

// findUnresponsive returns the name of the first member that responds to none of
// pingsBeforeReplacement consecutive pings.
func (m *Member) findUnresponsive(ctx context.Context, view ledger.View) (string, bool) {
	for _, seat := range view.Seats {
		responded := seat.Name == m.options.Name
		for range pingsBeforeReplacement {
			if responded = responded || m.ping(ctx, seat); responded {
				break
			}
			ctxwait.Sleep(ctx, seatCheckPeriod)
		}
		if !responded {
			return seat.Name, ctx.Err() == nil
		}
	}
	return "", false
}

// compareAndSwapView replaces view with next in the store. If the store already has
// another version, it adopts that one instead and returns nil. If the view changes
// concurrently, it returns errViewChanged.
func (m *Member) compareAndSwapView(ctx context.Context, view, next ledger.View) error {
	stored, revision, err := m.storedView(ctx)
	if err != nil {
		return err
	}
	if stored.Version != view.Version {
		m.options.Directory.MergeView(stored)
		return nil
	}
	result, err := m.options.Store.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: discovery.ViewKey, Revision: revision, Value: next.Encode()})
	if err != nil {
		return &Error{Step: "join", Peer: discovery.ViewKey, Err: err}
	}
	if !result.Swapped {
		return &Error{Step: "join", Peer: discovery.ViewKey, Err: errViewChanged}
	}
	m.log.Info().Str("event", "view_swapped").Uint64("version", next.Version).Interface("seats", next.Seats).Msg("")
	m.options.Directory.MergeView(next)
	return nil
}

// storedView reads the view from the store, with the revision of its record. Before the first
// one is written, both are zero.
func (m *Member) storedView(ctx context.Context) (ledger.View, int64, error) {
	current, err := m.options.Store.Get(ctx, discovery.ViewKey)
	if err != nil {
		return ledger.View{}, 0, &Error{Step: "read view", Peer: discovery.ViewKey, Err: err}
	}
	if current.Revision == 0 {
		return ledger.View{}, 0, nil
	}
	view, err := ledger.DecodeView(current.Value)
	if err != nil {
		return ledger.View{}, 0, &Error{Step: "read view", Peer: discovery.ViewKey, Err: err}
	}
	return view, current.Revision, nil
}

// removeUnresponsiveMembers removes members that have not responded for
// unresponsiveAfter, if the remaining ones still tolerate the loss of DisksLost disks.
// Only the first responsive member of the view removes others.
func (m *Member) removeUnresponsiveMembers(ctx context.Context) {
	lastHeard := make(map[string]time.Time)
	for ctx.Err() == nil {
		ctxwait.Sleep(ctx, pingPeriod/2+rand.N(pingPeriod))
		view := m.options.Directory.View()
		canRemove := func(seat ledger.Seat) bool { return view.CanRemoveSeat(seat.Name, m.options.DisksLost) }
		if !m.ready.Load() || !slices.ContainsFunc(view.Seats, canRemove) {
			clear(lastHeard)
			continue
		}
		for _, seat := range view.Seats {
			if seat.Name == m.options.Name || lastHeard[seat.Name].IsZero() || m.ping(ctx, seat) {
				lastHeard[seat.Name] = time.Now()
			}
		}
		m.removeFirstUnresponsive(ctx, view, lastHeard)
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

func (m *Member) removeFirstUnresponsive(ctx context.Context, view ledger.View, lastHeard map[string]time.Time) {
	for _, seat := range view.Seats {
		sinceHeard := time.Since(lastHeard[seat.Name])
		if sinceHeard < unresponsiveAfter || !m.mayRemove(view, seat.Name) {
			continue
		}
		if !m.isFirstResponsive(view, lastHeard) {
			return
		}
		m.log.Warn().Str("event", "member_given_up").Str("peer", seat.Name).Dur("silent", sinceHeard).Msg("")
		if err := m.removeMember(ctx, view, seat.Name); err != nil {
			m.log.Warn().Str("event", "seat_kept").Err(err).Msg("")
			return
		}
		if next := m.options.Directory.View(); next.NeedsSettling(m.options.DisksLost) {
			if err := m.settle(ctx, next); err != nil {
				m.log.Warn().Str("event", "settle_failed").Err(err).Msg("")
			}
		}
		return
	}
}

// settle lets all members whose seats count exchange their records under the view, through this
// one, and marks it as settled. It does nothing while one of them is not ready.
func (m *Member) settle(ctx context.Context, view ledger.View) error {
	others := slices.DeleteFunc(view.Counting(), func(s ledger.Seat) bool { return s.Name == m.options.Name })
	for _, seat := range others {
		if !seat.Ready || !m.isReady(ctx, seat, view.Version) {
			return nil
		}
	}
	if err := m.copyFromAll(ctx, others, view.Version); err != nil {
		return err
	}
	if err := m.handOver(ctx, others, view.Version); err != nil {
		return err
	}
	return m.compareAndSwapView(ctx, view, view.AsSettled())
}

// mayRemove reports whether an unresponsive member may be removed. One whose seat is joining
// is in no quorum, so it may be removed even while others are not ready.
func (m *Member) mayRemove(view ledger.View, name string) bool {
	return !view.Counts(name) || view.CanRemoveSeat(name, m.options.DisksLost) && view.AllReadyExcept(name)
}

// removeMember removes a member from the view. If its seat counts, the remaining members first
// copy each other's records, so that records whose quorum included the removed member have
// enough copies.
func (m *Member) removeMember(ctx context.Context, view ledger.View, name string) error {
	next := view.Without(name)
	if !view.Counts(name) {
		return m.compareAndSwapView(ctx, view, next)
	}
	if err := m.copyFromAll(ctx, next.Counting(), view.Version); err != nil {
		return err
	}
	if err := m.handOver(ctx, next.Counting(), view.Version); err != nil {
		return err
	}
	return m.compareAndSwapView(ctx, view, next)
}

// isFirstResponsive reports whether this member is the first one in the view that has
// responded recently.
func (m *Member) isFirstResponsive(view ledger.View, lastHeard map[string]time.Time) bool {
	for _, seat := range view.Seats {
		if time.Since(lastHeard[seat.Name]) < unresponsiveAfter {
			return seat.Name == m.options.Name
		}
	}
	return false
}
