package quorum_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

// newRelayClient returns a relaying client that is connected to one member for each script.
func newRelayClient(t *testing.T, scripts ...script) *quorum.RelayClient {
	t.Helper()
	view := ledger.View{}
	for i, s := range scripts {
		view = view.With(ledger.Seat{Name: fmt.Sprintf("m%d", i), Addr: startScriptedMember(t, s), Domain: fmt.Sprintf("d%d", i), Ready: true})
	}
	client := quorum.NewRelayClient("d0", 1, func() []string { return nil })
	t.Cleanup(client.Close)
	client.SetView(view)
	require.Eventually(t, client.Client.HasQuorum, 5*time.Second, 5*time.Millisecond)
	return client
}

// All members became slow while one copied records, so entries sent each record through up to
// seven members, each of which relayed it to all others; members ran out of memory, and the
// ledger did not recover (fresh-8f6c of further-grown, drawn beside a run of CI).
func TestSlowMembersAreNotFloodedWithHedges(t *testing.T) {
	var requests atomic.Int64
	// Each request costs all members time, as a relayed append does.
	var members sync.Mutex
	slow := func(*ledgerpb.Request) *ledgerpb.Response {
		requests.Add(1)
		members.Lock()
		defer members.Unlock()
		time.Sleep(3 * time.Millisecond)
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK}
	}
	client := newRelayClient(t, slow, slow, slow, slow, slow, slow, slow)
	const calls, burst = 80, 20
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() {
			_, err := client.Append(contextWithTimeout(t, 5*time.Second), record)
			assert.NoError(t, err)
		})
	}
	wait.Wait()
	assert.LessOrEqual(t, requests.Load(), int64(calls+calls/10+burst))
}

func TestSilentMemberDelaysCallsBriefly(t *testing.T) {
	client := newRelayClient(t, unresponsive, accepts, accepts)
	for range 5 {
		began := time.Now()
		_, err := client.Append(contextWithTimeout(t, 5*time.Second), record)
		require.NoError(t, err)
		assert.Less(t, time.Since(began), 300*time.Millisecond)
	}
}
