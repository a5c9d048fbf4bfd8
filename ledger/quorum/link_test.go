package quorum

import (
	"bufio"
	"context"
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

// reconnectingCall reconnects its link before the link learns that the call failed.
type reconnectingCall struct {
	reconnect func()
	requests  int
	answered  chan struct{}
}

func (c *reconnectingCall) request(ledger.Seat) *ledgerpb.Request {
	if c.requests++; c.requests == 1 {
		c.reconnect()
	}
	return &ledgerpb.Request{Call: &ledgerpb.Request_ReadRecords{ReadRecords: &ledgerpb.ReadRecords{}}}
}

func (c *reconnectingCall) handleResponse(ledger.Seat, *ledgerpb.Response) { close(c.answered) }

// A call in flight on a connection that breaks is sent on the link's next connection, also
// if the link has that connection before it learns that the call failed.
func TestCallOfBrokenConnectionIsSentOnNewerConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go answerAll(listener)
	dial := func() *transport.Conn {
		conn, err := transport.Dial(context.Background(), listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(conn.Close)
		return conn
	}
	l := &link{tunnels: func() []string { return nil }}
	broken := dial()
	l.setConn(broken)
	c := &reconnectingCall{answered: make(chan struct{}), reconnect: func() {
		broken.Close()
		l.setConn(dial())
	}}
	l.send(c)
	select {
	case <-c.answered:
	case <-time.After(5 * time.Second):
		t.Fatal("the call was not sent on the newer connection")
	}
}

func answerAll(listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			in := bufio.NewReader(nc)
			for {
				req := &ledgerpb.Request{}
				if protodelim.UnmarshalFrom(in, req) != nil {
					return
				}
				if _, err := protodelim.MarshalTo(nc, &ledgerpb.Response{Seq: req.GetSeq()}); err != nil {
					return
				}
			}
		}()
	}
}

// A client that is connected to joining members and too few others reported a quorum.
func TestConnectedJoiningMemberIsNotPartOfAQuorum(t *testing.T) {
	client := NewClient("d", 1, nil)
	for _, seat := range []ledger.Seat{{Name: "m0", Ready: true}, {Name: "m1", Ready: true}, {Name: "m2", Ready: true}, {Name: "m9"}} {
		client.view = client.view.With(seat)
		client.links[seat.Name] = &link{seat: seat}
	}
	connect := func(name string) { client.links[name].conn = &transport.Conn{} }
	connect("m0")
	connect("m9")
	assert.False(t, client.HasQuorum())
	connect("m1")
	assert.True(t, client.HasQuorum())
}

// All processes restarted within half a second of each other. The first turns waited longer for
// the links to the members than for the members.
func TestRedialsFollowRestartOfMemberClosely(t *testing.T) {
	const restartTime = 500 * time.Millisecond
	delay, elapsed, attempts := minRedialDelay, time.Duration(0), 0
	for ; elapsed < 3*time.Second; attempts++ {
		longest := 2 * delay
		if elapsed < restartTime {
			assert.LessOrEqual(t, longest, 200*time.Millisecond, "%v after the start", elapsed)
		}
		elapsed += longest
		delay = nextRedialDelay(delay)
	}
	assert.LessOrEqual(t, attempts, 20, "a member that stays away must not be flooded")
}
