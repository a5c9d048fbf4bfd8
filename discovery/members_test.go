package discovery_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// startMember starts a fake ledger member that serves the content of a directory, and
// returns its address.
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
			go serveFollowState(conn, d)
		}
	}()
	return listener.Addr().String()
}

func serveFollowState(conn net.Conn, d *discovery.Directory) {
	in := bufio.NewReader(conn)
	for {
		req := &ledgerpb.Request{}
		if err := protodelim.UnmarshalFrom(in, req); err != nil {
			return
		}
		call := req.GetFollowState()
		state, updated := d.ChangesSince(call.GetAfter())
		if updated != nil {
			select {
			case <-updated:
			case <-time.After(time.Duration(call.GetWaitMs()) * time.Millisecond):
			}
			state, _ = d.ChangesSince(call.GetAfter())
		}
		if _, err := protodelim.MarshalTo(conn, &ledgerpb.Response{Seq: req.GetSeq(), Status: ledgerpb.Status_STATUS_OK, State: state}); err != nil {
			return
		}
	}
}

// The store refused the connections of one member (platform_down, nodes leader reset)
// while a target was removed (fresh-40f9 of bancarella-prod-grown). A process that
// followed this member and another one kept the target for as long as the member was
// refused, because it mistook the removal for the expiry of a registration during an
// outage. It must remove the target at once.
func TestRemovedTargetIsDroppedWhileStoreRefusesOneMember(t *testing.T) {
	refused, served := newDirectory(), newDirectory()
	key := platform.TargetPrefix + "i1"
	for _, d := range []*discovery.Directory{refused, served} {
		d.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 4, string(config(1))), record(key, 5, target)}, 5, time.Now())
	}
	served.SetStoreConnected(true)
	members := []string{startMember(t, refused), startMember(t, served)}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	// The process itself is refused too, so that it depends on the members.
	store.SetDown(true)
	d := newDirectory()
	f := &discovery.Follower{
		Directory: d, Store: platform.NewStore(store.Addr()), ViaMembers: true,
		Members: func() []string { return members },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	targets := func() int { return len(d.Snapshot().Targets) }
	require.Eventually(t, func() bool { return targets() == 1 && f.Connected() }, 5*time.Second, 5*time.Millisecond)
	// Wait for the end of the grace period after the outage that was recorded at the
	// start.
	runWithoutPause(t, 3*time.Second)
	served.ApplyChanges([]core.StoreRecord{{Key: key, Revision: 6}}, 6, time.Now())
	require.Eventually(t, func() bool { return targets() == 0 }, time.Second, 5*time.Millisecond)
}

// maxPause is how long this process may be paused without losing contact with a member that
// responds every 400 ms: such a member counts as connected for 700 ms.
const maxPause = 150 * time.Millisecond

// runWithoutPause waits until this process has run for a time without a pause after which it
// would rightly assume an outage.
func runWithoutPause(t *testing.T, d time.Duration) {
	t.Helper()
	began, last := time.Now(), time.Now()
	require.Eventually(t, func() bool {
		now := time.Now()
		if now.Sub(last) > maxPause {
			began = now
		}
		last = now
		return now.Sub(began) >= d
	}, time.Minute, 5*time.Millisecond, "the machine is too busy for this test")
}

// When all VMs start for the first time, members take their seats and targets register within
// a second. Sixty entries that watched the store meanwhile made most of the day's calls to it
// (quiet-1 of large/).
func TestStartingProcessWaitsForMembersBeforeItReadsTheStore(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.ConfigKey, config(1))
	newFollower := func(directDelay time.Duration, members ...string) *discovery.Follower {
		return &discovery.Follower{
			Directory: newDirectory(),
			Store:     platform.NewStore(store.Addr()), ViaMembers: true, DirectDelay: directDelay,
			Members: func() []string { return members },
		}
	}
	start := func(f *discovery.Follower) {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go f.Run(ctx)
	}
	member := newDirectory()
	member.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 5, string(config(1)))}, 5, time.Now())
	member.SetStoreConnected(true)

	following := newFollower(time.Minute, startMember(t, member))
	start(following)
	require.Eventually(t, following.Directory.HasConfig, 5*time.Second, 5*time.Millisecond)
	assert.Zero(t, store.Calls("/kv-range"))

	alone := newFollower(200 * time.Millisecond)
	start(alone)
	require.Eventually(t, alone.Directory.HasConfig, 5*time.Second, 5*time.Millisecond, "no member responds, so it reads the store")
}
