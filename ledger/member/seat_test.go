package member

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// After a power loss, a member with an empty disk still had a ready seat in the view when a new
// member took a fourth one. Each of the two then lacked the other as a source to copy from, no
// quorum came together, and all turns were refused for good (membership-under-wipes --vary
// --seed 16161870366 on slibplan-be: RECOVER, LOST).
func TestNoSeatIsAddedWhileAnotherMemberRecovers(t *testing.T) {
	var recovering atomic.Bool
	recovering.Store(true)
	peers := [...]string{
		startPeer(t, func() ledgerpb.Status { return ledgerpb.Status_STATUS_NOT_FOUND }),
		startPeer(t, func() ledgerpb.Status {
			if recovering.Load() {
				return ledgerpb.Status_STATUS_RECOVERING
			}
			return ledgerpb.Status_STATUS_NOT_FOUND
		}),
	}
	view := ledger.View{}.With(ledger.Seat{Name: "m1", Addr: peers[0], Ready: true}).With(ledger.Seat{Name: "m2", Addr: peers[1], Ready: true}).AsSettled()
	keyValues := platformtest.NewStore()
	t.Cleanup(keyValues.Close)
	keyValues.Put(discovery.ViewKey, view.Encode())
	directory := emptyDirectory()
	directory.MergeView(view)
	m, err := Open(Options{Name: "m3", Addr: "127.0.0.1:0", Dir: t.TempDir(), DisksLost: 1, Store: platform.NewStore(keyValues.Addr()), Directory: directory, Log: quietLogger()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.listener.Close() })
	seats := func() int {
		require.NoError(t, m.takeSeat(t.Context(), view))
		stored, err := ledger.DecodeView(keyValues.Value(discovery.ViewKey))
		require.NoError(t, err)
		return len(stored.Seats)
	}
	assert.Equal(t, 2, seats())
	recovering.Store(false)
	assert.Equal(t, 3, seats())
}

// The seat of a member that is merely down was taken while another one recovered, which left
// neither of them enough others to copy from. Where enough are ready, a second member that has
// ended for good must not keep the first one's seat from being taken.
func TestSeatIsReplacedOnlyWithEnoughSources(t *testing.T) {
	const (
		ready      = ledgerpb.Status_STATUS_NOT_FOUND
		recovering = ledgerpb.Status_STATUS_RECOVERING
		ended      = ledgerpb.Status_STATUS_UNSPECIFIED
	)
	for _, test := range []struct {
		name     string
		others   []ledgerpb.Status
		replaced bool
	}{
		{"the only one", nil, false},
		{"two, not settled", []ledgerpb.Status{ready}, false},
		{"two", []ledgerpb.Status{ready}, true},
		{"three", []ledgerpb.Status{ready, ready}, true},
		{"three, one recovers", []ledgerpb.Status{ready, recovering}, false},
		{"four, one recovers", []ledgerpb.Status{ready, ready, recovering}, true},
		{"four, one recovers, not settled", []ledgerpb.Status{ready, ready, recovering}, false},
		{"five, one recovers", []ledgerpb.Status{ready, ready, ready, recovering}, true},
		{"five, another has ended", []ledgerpb.Status{ready, ready, ready, ended}, true},
		{"five, two recover", []ledgerpb.Status{ready, ready, recovering, recovering}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			view := ledger.View{}.With(ledger.Seat{Name: "a", Addr: endedPeer(t), Ready: true})
			for i, status := range test.others {
				addr := endedPeer(t)
				if status != ended {
					addr = startPeer(t, func() ledgerpb.Status { return status })
				}
				view = view.With(ledger.Seat{Name: fmt.Sprintf("m%d", i), Addr: addr, Ready: true})
			}
			view.Settled = !strings.HasSuffix(test.name, "not settled")
			m, keyValues := newStandby(t, view)
			require.NoError(t, m.takeSeat(t.Context(), view))
			stored, err := ledger.DecodeView(keyValues.Value(discovery.ViewKey))
			require.NoError(t, err)
			want := view
			if test.replaced {
				want = view.Replacing("a", m.seat(false))
			}
			assert.Equal(t, want, stored)
		})
	}
}

// newStandby returns a member with an empty disk and no seat in the view.
func newStandby(t *testing.T, view ledger.View) (*Member, *platformtest.Store) {
	t.Helper()
	keyValues := platformtest.NewStore()
	t.Cleanup(keyValues.Close)
	keyValues.Put(discovery.ViewKey, view.Encode())
	directory := emptyDirectory()
	directory.MergeView(view)
	m, err := Open(Options{Name: "standby", Addr: "127.0.0.1:0", Dir: t.TempDir(), DisksLost: 1, Store: platform.NewStore(keyValues.Addr()), Directory: directory, Log: quietLogger()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.listener.Close() })
	return m, keyValues
}

// endedPeer returns an address at which each connection ends at once.
func endedPeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			_ = nc.Close()
		}
	}()
	return listener.Addr().String()
}

// joiningMember is a member with an empty disk whose seat is joining in a view of three others,
// which respond to each request with a status.
type joiningMember struct {
	*Member
	view  ledger.View
	store *platformtest.Store
}

func newJoiningMember(t *testing.T, status ledgerpb.Status) joiningMember {
	t.Helper()
	view := ledger.View{}
	for _, name := range []string{"m1", "m2", "m3"} {
		view = view.With(ledger.Seat{Name: name, Addr: startPeer(t, func() ledgerpb.Status { return status }), Ready: true})
	}
	// The incarnation is that of a disk that the member has lost since.
	view = view.With(ledger.Seat{Name: "m4", Addr: "127.0.0.1:0", Incarnation: 1})
	keyValues := platformtest.NewStore()
	t.Cleanup(keyValues.Close)
	keyValues.Put(discovery.ViewKey, view.Encode())
	directory := emptyDirectory()
	directory.MergeView(view)
	m, err := Open(Options{Name: "m4", Addr: "127.0.0.1:0", Dir: t.TempDir(), DisksLost: 1, Store: platform.NewStore(keyValues.Addr()), Directory: directory, Log: quietLogger()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.listener.Close() })
	return joiningMember{Member: m, view: view, store: keyValues}
}

// restart opens another member with the same disk, which knows the view.
func (j joiningMember) restart(t *testing.T, view ledger.View) *Member {
	t.Helper()
	options := j.options
	options.Directory = emptyDirectory()
	options.Directory.MergeView(view)
	m, err := Open(options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.listener.Close() })
	return m
}

// storedView returns the view that the store has.
func (j joiningMember) storedView(t *testing.T) ledger.View {
	t.Helper()
	stored, err := ledger.DecodeView(j.store.Value(discovery.ViewKey))
	require.NoError(t, err)
	return stored
}

// A seat counted before its member had copied (membership-under-wipes on slibplan-be: RECOVER,
// LOST). It counts once the member has, also if the member has lost a disk meanwhile.
func TestSeatCountsAfterCopying(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_OK)
	require.NoError(t, m.reconcileSeat(t.Context()))
	stored := m.storedView(t)
	assert.Equal(t, m.view.Version+1, stored.Version)
	assert.Len(t, stored.Counting(), 4)
	seat, _ := stored.Seat("m4")
	assert.Equal(t, m.seat(true), seat)
	assert.True(t, m.Ready())
}

// A member that ended between the view in which its seat counts and the mark on its disk counted
// as one with a lost disk. If another disk was lost too, each lacked the other as a source.
func TestMemberThatEndedOnceItsSeatCountedIsComplete(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_RECOVERING)
	counts, err := m.confirmSeat(t.Context(), m.view)
	require.NoError(t, err)
	require.True(t, counts)
	restarted := m.restart(t, m.storedView(t))
	require.False(t, restarted.Ready(), "the member does not know yet whether the view was changed")
	require.NoError(t, restarted.reconcileSeat(t.Context()))
	assert.True(t, restarted.Ready())
	assert.Equal(t, m.identity.Incarnation, restarted.identity.Incarnation)
	assert.True(t, m.restart(t, ledger.View{}).Ready(), "the disk is complete from now on")
}

// A member that trusted its mark although its seat never counted, or no longer does, would lack
// what quorums without it have stored.
func TestMarkOfSeatThatDoesNotCountIsIgnored(t *testing.T) {
	for name, viewOf := range map[string]func(joiningMember) ledger.View{
		"the change of the view failed": func(m joiningMember) ledger.View { return m.view },
		"another change came first":     func(m joiningMember) ledger.View { return m.view.Without("m1") },
		"seat of another disk": func(m joiningMember) ledger.View {
			seat := m.seat(true)
			seat.Incarnation++
			return m.view.With(seat)
		},
		"seat that was not ready": func(m joiningMember) ledger.View { return m.view.With(m.seat(true)).With(m.seat(false)) },
		"an older view": func(m joiningMember) ledger.View {
			view := m.view.With(m.seat(true))
			view.Version = m.view.Version
			return view
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newJoiningMember(t, ledgerpb.Status_STATUS_RECOVERING)
			_, err := m.confirmSeat(t.Context(), m.view)
			require.NoError(t, err)
			restarted := m.restart(t, viewOf(m))
			require.ErrorIs(t, restarted.reconcileSeat(t.Context()), errTooFewSources)
			assert.False(t, restarted.Ready())
		})
	}
}

// The records that were written while the member had no seat are missing also if the mark says
// from which view on the disk was complete.
func TestMarkEndsWithTheSeat(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_RECOVERING)
	_, err := m.confirmSeat(t.Context(), m.view)
	require.NoError(t, err)
	counting := m.storedView(t)
	restarted := m.restart(t, counting.Without("m4"))
	require.NoError(t, restarted.reconcileSeat(t.Context()))
	again := m.restart(t, counting)
	require.ErrorIs(t, again.reconcileSeat(t.Context()), errTooFewSources)
	assert.False(t, again.Ready())
}

func TestSeatDoesNotCountWithTooFewSources(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_RECOVERING)
	require.ErrorIs(t, m.reconcileSeat(t.Context()), errTooFewSources)
	assert.Equal(t, m.view, m.storedView(t))
	assert.False(t, m.Ready())
}

// A member that became ready although its seat does not count would respond to writers whose
// quorums may not include it, and lack what they write.
func TestJoiningMemberIsNotReadyBeforeItsSeatCounts(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_OK)
	seat, _ := m.view.Seat("m4")
	newer := m.view.Without("m1").With(seat)
	m.store.Put(discovery.ViewKey, newer.Encode())
	require.NoError(t, m.recover(t.Context(), m.view), "another member has changed the view while this one copied")
	assert.Equal(t, newer, m.storedView(t))
	assert.False(t, m.Ready())
	m.store.SetDown(true)
	require.Error(t, m.recover(t.Context(), newer))
	assert.False(t, m.Ready())
}

// A joining member that has ended for good must not keep others from being removed, and is
// itself removed while another one recovers.
func TestJoiningSeatMayBeRemovedAtAnyTime(t *testing.T) {
	m := newJoiningMember(t, ledgerpb.Status_STATUS_OK)
	assert.True(t, m.mayRemove(m.view, "m4"))
	assert.False(t, m.mayRemove(m.view, "m1"), "three seats have to count")
	recovering := m.view.Replacing("m1", ledger.Seat{Name: "m5"})
	assert.True(t, m.mayRemove(recovering, "m4"))
	require.NoError(t, m.removeMember(t.Context(), m.view, "m4"))
	assert.Equal(t, m.view.Without("m4"), m.storedView(t))
}

// startPeer starts a member that responds to each request with a status, and returns its
// address.
func startPeer(t *testing.T, status func() ledgerpb.Status) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for in := bufio.NewReader(nc); ; {
					req := &ledgerpb.Request{}
					if protodelim.UnmarshalFrom(in, req) != nil {
						return
					}
					response := &ledgerpb.Response{Seq: req.GetSeq(), Status: status()}
					if req.GetListKeys() != nil && response.GetStatus() == ledgerpb.Status_STATUS_NOT_FOUND {
						// A member that is ready lists its keys.
						response.Status = ledgerpb.Status_STATUS_OK
					}
					if _, err := protodelim.MarshalTo(nc, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
