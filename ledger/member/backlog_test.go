package member

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// startServing opens a member whose view contains it and silent peers, and serves its calls.
func startServing(t *testing.T, silentPeers int) (*Member, *transport.Conn) {
	t.Helper()
	m := startSingleMember(t, t.TempDir())
	view := ledger.View{}.With(ledger.Seat{Name: "m1", Addr: m.listener.Addr().String(), Ready: true})
	for i := range silentPeers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		view = view.With(ledger.Seat{Name: fmt.Sprintf("silent%d", i), Addr: listener.Addr().String(), Ready: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = m.listener.Close()
	})
	go func() { assert.NoError(t, m.accept(ctx)) }()
	m.peers.SetView(view)
	t.Cleanup(m.peers.Close)
	require.Eventually(t, m.peers.HasQuorum, 5*time.Second, 5*time.Millisecond)
	conn, err := transport.Dial(context.Background(), m.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return m, conn
}

func relayRequest(attempt int) *ledgerpb.Request {
	reservation := ledger.NewReservation("p", fmt.Sprintf("a%d", attempt), 1, 60_000)
	return &ledgerpb.Request{Call: &ledgerpb.Request_Relay{Relay: &ledgerpb.Relay{Records: []*ledgerpb.Record{reservation}}}}
}

// Members whose peers were slow accepted every append that entries asked them to relay and
// held it for 1.5 s, long after the entries had sent it to other members as well; they ran out
// of memory (fresh-8f6c of further-grown). A member rejects at once what it cannot relay soon.
func TestMemberRejectsRelaysBeyondItsBacklog(t *testing.T) {
	const silentPeers, excess = 2, 500
	m, _ := startServing(t, silentPeers)
	rejected := 0
	for i := range maxRelays + excess {
		answered := make(chan ledgerpb.Status, 1)
		m.handle(context.Background(), relayRequest(i), func(response *ledgerpb.Response) { answered <- response.GetStatus() })
		select {
		case status := <-answered:
			assert.Equal(t, ledgerpb.Status_STATUS_OVERLOADED, status)
			rejected++
		default:
		}
	}
	assert.Equal(t, excess, rejected, "entries must learn at once that they have to ask another member")
}

// The records of a backlog are bounded by their size as well, since those of turns are large.
func TestBacklogBoundsRequestsAndBytes(t *testing.T) {
	b := newBacklog(3, 100, 0)
	assert.True(t, b.acquire(500, continuing), "a single request is admitted whatever its size")
	assert.False(t, b.acquire(1, continuing))
	b.release(500, 0, time.Time{})
	assert.True(t, b.acquire(60, continuing))
	assert.False(t, b.acquire(41, continuing))
	assert.True(t, b.acquire(20, continuing))
	assert.True(t, b.acquire(20, continuing))
	assert.False(t, b.acquire(0, finishing), "three requests are in flight")
	assert.Equal(t, backlogState{requests: 3, bytes: 100, limit: 3, rejected: 3}, b.state())
}

// Slow members admitted more appends than they could complete while entries waited, so all of
// them ended too late, and none was served for twenty seconds after a burst (storage VMs of
// further-grown with a third of their processors, burst of 2.5). The limit follows what a
// member completes in time, and programs that have begun go first.
func TestBacklogLimitFollowsDurationAndUrgency(t *testing.T) {
	const target = 200 * time.Millisecond
	b := newBacklog(100, 1<<20, target)
	now := time.Now()
	admitted := func(u urgency) (n int) {
		for b.acquire(0, u) {
			n++
		}
		return n
	}
	end := func(n int, took time.Duration) {
		for range n {
			b.release(0, took, now)
		}
	}
	end(admitted(continuing), 2*target)
	assert.Equal(t, 70, admitted(continuing), "one decrease for the requests that were in flight together")
	end(70, 0)
	for range 20 {
		now = now.Add(2 * target)
		end(admitted(continuing), 2*target)
	}
	slow := admitted(finishing)
	assert.Equal(t, 2*minLimit, slow)
	end(slow, target)
	assert.Less(t, admitted(beginning), minLimit)
	assert.Positive(t, admitted(continuing), "programs that have begun are admitted beside those that start")
	assert.Positive(t, admitted(finishing))
	end(b.state().requests, target)
	for range 100 {
		now = now.Add(target)
		end(admitted(continuing), target)
	}
	assert.Greater(t, b.state().limit, 90, "the limit rises again")
}

// A member held the chains that an entry with a saturated link had asked for in its memory,
// without a bound.
func TestMemberRejectsChainsThatReaderDoesNotRead(t *testing.T) {
	m, conn := startServing(t, 0)
	turn := ledger.NewTurn(&ledgerpb.Turn{Program: "p", Id: "t", Input: make([]byte, 100<<10), RetentionMs: 60_000})
	_, err := conn.Call(t.Context(), &ledgerpb.Request{Call: &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: []*ledgerpb.Record{turn}}}})
	require.NoError(t, err)
	slow, err := net.Dial("tcp", m.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = slow.Close() })
	const reads = 400
	for i := range reads {
		_, err := protodelim.MarshalTo(slow, &ledgerpb.Request{Seq: uint64(i), Call: &ledgerpb.Request_ReadChain{ReadChain: &ledgerpb.ReadChain{Turn: "t"}}})
		require.NoError(t, err)
		time.Sleep(100 * time.Microsecond)
	}
	require.Eventually(t, func() bool { return m.reads.state().requests == 0 && m.reads.state().rejected > reads/2 }, 5*time.Second, time.Millisecond)
	in, rejected := bufio.NewReader(slow), 0
	for range reads {
		response := &ledgerpb.Response{}
		require.NoError(t, protodelim.UnmarshalOptions{MaxSize: transport.MaxFrameBytes}.UnmarshalFrom(in, response))
		if response.GetStatus() == ledgerpb.Status_STATUS_OVERLOADED {
			rejected++
		}
	}
	assert.Greater(t, rejected, reads/2, "the reader learns that it has to ask another member")
}

// A peer closes a connection without a response for 600 ms and sends the appends again on the
// next one, so a slow member stored each of them several times over and became slower
// (fresh-8f6c of further-grown).
func TestMemberDropsAppendsOfClosedConnections(t *testing.T) {
	const appends = 50
	m, _ := startServing(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	served := make(chan struct{})
	go func() {
		defer close(served)
		if nc, err := listener.Accept(); assert.NoError(t, err) {
			m.serve(t.Context(), nc)
		}
	}()
	conn, err := transport.Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	blocked, release := make(chan struct{}), make(chan struct{})
	go func() {
		_ = m.inspect(context.Background(), func(*ledger.Replica) {
			close(blocked)
			<-release
		})
	}()
	<-blocked
	for i := range appends {
		reservation := ledger.NewReservation("p", fmt.Sprintf("a%d", i), 1, 60_000)
		conn.Go(&ledgerpb.Request{Call: &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: []*ledgerpb.Record{reservation}}}},
			func(*ledgerpb.Response, error) {})
	}
	require.Eventually(t, func() bool { return m.appends.state().requests == appends }, 5*time.Second, time.Millisecond)
	conn.Close()
	// The member handles the appends only once it has noticed the close.
	<-served
	close(release)
	require.Eventually(t, func() bool { return m.appends.state().requests == 0 }, 5*time.Second, time.Millisecond)
	assert.EqualValues(t, appends, m.stats.abandoned.Load())
	assert.Zero(t, m.stats.written.Load())
}
