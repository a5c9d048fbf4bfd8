package member

import (
	"bufio"
	"net"
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
	view := ledger.View{}.With(ledger.Seat{Name: "m1", Addr: peers[0], Ready: true}).With(ledger.Seat{Name: "m2", Addr: peers[1], Ready: true})
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
					if _, err := protodelim.MarshalTo(nc, &ledgerpb.Response{Seq: req.GetSeq(), Status: status()}); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
