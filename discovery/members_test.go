package discovery_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// startMember returns the address of a member that answers what its directory
// knows.
func startMember(t *testing.T, d *discovery.Directory) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go answer(conn, d)
		}
	}()
	return listener.Addr().String()
}

func answer(conn net.Conn, d *discovery.Directory) {
	in := bufio.NewReader(conn)
	for {
		req := &ledgerpb.Request{}
		if err := protodelim.UnmarshalFrom(in, req); err != nil {
			return
		}
		call := req.GetFollowState()
		state, news := d.ChangesSince(call.GetAfter())
		if news != nil {
			select {
			case <-news:
			case <-time.After(time.Duration(call.GetWaitMs()) * time.Millisecond):
			}
			state, _ = d.ChangesSince(call.GetAfter())
		}
		if _, err := protodelim.MarshalTo(conn, &ledgerpb.Response{Seq: req.GetSeq(), Status: ledgerpb.Status_STATUS_OK, State: state}); err != nil {
			return
		}
	}
}

// The store refuses one member (platform_down, nodes leader reset) while a target
// leaves: fresh-40f9 of bancarella-prod-grown. A process that follows the refused
// member and another must drop the target at once; it took the removal for a lapse
// in an outage, for as long as the member was refused.
func TestTargetThatLeavesIsDroppedWhileOneMemberIsRefused(t *testing.T) {
	refused, served := newDirectory(), newDirectory()
	key := platform.TargetPrefix + "i1"
	for _, d := range []*discovery.Directory{refused, served} {
		d.ApplyChanges([]core.StoreEntry{entry(platform.ConfigKey, 4, string(config(1))), entry(key, 5, target)}, 5, time.Now())
	}
	served.SetStoreConnected(true)
	peers := []string{startMember(t, refused), startMember(t, served)}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	// The process itself is refused too, so that it has only the members.
	store.SetDown(true)
	d := newDirectory()
	f := &discovery.Follower{
		Directory: d, Store: platform.NewStore(store.Addr()), ViaMembers: true,
		Peers: func() []string { return peers },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	targets := func() int { return len(d.Snapshot().Targets) }
	require.Eventually(t, func() bool { return targets() == 1 && f.Connected() }, 5*time.Second, 5*time.Millisecond)
	// What was disturbed at the start is over.
	time.Sleep(3 * time.Second)
	served.ApplyChanges([]core.StoreEntry{{Key: key, Revision: 6}}, 6, time.Now())
	require.Eventually(t, func() bool { return targets() == 0 }, time.Second, 5*time.Millisecond)
}
