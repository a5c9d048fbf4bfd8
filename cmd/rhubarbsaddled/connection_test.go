package main_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

func TestHeadsWithoutEnd(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	playCrowd(t, tinyLimits, 6*crowdSize, func(c *client) error {
		return c.write("POST "+plainPath+" HTTP/1.1\r\nHost: "+host+"\r\n", strings.Repeat(line, 30))
	})
}

// Bytes that arrive behind a request that is being served are held by the kernel.
func TestBytesBehindRequests(t *testing.T) {
	more := strings.Repeat("x", 4*mib)
	playCrowd(t, tinyLimits, 160, func(c *client) error {
		return c.write(c.head(hangingPath, "Content-Length: 1"), "x", more)
	})
}

// Connections without a byte must not take the descriptors that other callers and the process's
// own connections need.
func TestSilentConnections(t *testing.T) {
	s := newSystem(t, smallLimits)
	used := map[*machine]*usage{s.entry: watch(t, s.entry)}
	k := newCrowd(t, s, smallLimits.descriptors+100, func(*client) error { return nil })
	for range 5 {
		assert.NoError(t, s.ordinary("beside the crowd"))
		assert.NoError(t, s.ordinaryTurn("beside the crowd"))
	}
	k.close()
	assert.NoError(t, s.ordinary("after the crowd"))
	s.requireWithin(t, used)
}

// The address of the readiness checks is one more way to the same descriptors.
func TestSilentConnectionsToReadiness(t *testing.T) {
	s := newSystem(t, smallLimits)
	used := map[*machine]*usage{s.entry: watch(t, s.entry)}
	var conns []net.Conn
	for range smallLimits.descriptors + 100 {
		conn, err := net.DialTimeout("tcp", s.entry.Ready, hangTimeout)
		require.NoError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	require.NotEmpty(t, conns)
	for range 5 {
		assert.NoError(t, s.ordinary("beside the crowd"))
	}
	assert.True(t, kit.IsReady(s.entry.Machine), "the entry does not answer readiness checks")
	s.requireWithin(t, used)
}

// A caller that keeps its connection between requests keeps it beside a crowd of silent ones.
func TestKeptConnectionBesideSilentConnections(t *testing.T) {
	s := newSystem(t, smallLimits)
	conn, err := net.DialTimeout("tcp", s.entry.Front, hangTimeout)
	require.NoError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	send := func() kit.Answer {
		r := &kit.Request{Method: http.MethodPost, Host: host, Path: plainPath, ID: s.newID(), Body: "kept", Deadline: ordinaryDeadline}
		if err := s.Send(conn, r); err != nil {
			return kit.Answer{Err: err}
		}
		return s.Receive(conn, in, r)
	}
	require.True(t, send().Whole())
	newCrowd(t, s, smallLimits.descriptors+100, func(*client) error { return nil })
	a := send()
	require.Truef(t, a.Whole(), "%v", a)
}

// Clients that connect again and again replace those that wait for the rest of their bodies. The
// process keeps descriptors for connections to targets, members and the store.
func TestStalledBodiesThatAreReplaced(t *testing.T) {
	s := newSystem(t, smallLimits)
	used := map[*machine]*usage{s.entry: watch(t, s.entry)}
	k := newCrowd(t, s, 0, nil)
	send := func(c *client) error {
		return c.write(strings.Replace(c.hangingHead(1000), hangingPath, plainPath, 1), "x")
	}
	var connecting sync.WaitGroup
	connecting.Go(func() {
		for range 12 * crowdSize {
			k.add(t, 1, send)
			time.Sleep(3 * time.Millisecond)
		}
	})
	for range 5 {
		assert.NoError(t, s.ordinary("beside the crowd"))
		assert.NoError(t, s.ordinaryTurn("beside the crowd"))
		time.Sleep(500 * time.Millisecond)
	}
	connecting.Wait()
	k.requireTrueRefusals(t)
	k.close()
	assert.NoError(t, s.ordinary("after the crowd"))
	s.requireWithin(t, used)
	_, descriptors := used[s.entry].get()
	assert.Less(t, descriptors, smallLimits.descriptors, "the entry has used up its descriptors")
}

// Requests on kept connections that came late in a planned stop were taken, and cut at its end
// without an answer, as were those in flight (LOST).
func TestRequestsAroundPlannedStop(t *testing.T) {
	s := newSystem(t, smallLimits)
	send := func(after time.Duration) <-chan kit.Answer {
		conn, err := net.DialTimeout("tcp", s.entry.Front, hangTimeout)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		// Without its second half, the head keeps the connection from being closed as idle.
		r := &kit.Request{Method: http.MethodPost, Host: host, Path: hangingPath, ID: s.newID(), Body: "x", Deadline: hangTimeout}
		head := "POST " + hangingPath + " HTTP/1.1\r\n"
		_, err = conn.Write([]byte(head))
		require.NoError(t, err)
		answer := make(chan kit.Answer, 1)
		go func() {
			time.Sleep(after)
			_, _ = conn.Write([]byte("Host: " + host + "\r\nX-Rhubarbsaddle-Request-Id: " + r.ID + "\r\nX-Rhubarbsaddle-Deadline-Ms: 30000\r\nContent-Length: 1\r\n\r\nx"))
			answer <- s.Receive(conn, bufio.NewReader(conn), r)
		}()
		return answer
	}
	inFlight := send(0)
	require.True(t, kit.Await(hangTimeout, func() bool { return s.hangs.Load() == 1 }))
	late := send(time.Second)
	s.entry.Signal(syscall.SIGTERM)
	a := <-late
	assert.NoError(t, a.Err)
	assert.Equal(t, http.StatusServiceUnavailable, a.Status)
	a = <-inFlight
	assert.NoError(t, a.Err)
	assert.Equal(t, http.StatusGatewayTimeout, a.Status)
	assert.EqualValues(t, 1, s.hangs.Load(), "the late request has not run")
}
