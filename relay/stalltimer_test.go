package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// loadOf returns the calls in flight at the target of a service that has only one, or -1 if
// the target is not available.
func (r *Relay) loadOf(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, ok := r.fleet.Pick(fleet.Query{Service: service, AllowFull: true}, time.Now())
	if !ok {
		return -1
	}
	return choice.Load
}

// A timer that is stopped while its callback runs must not interrupt the connection,
// which may already serve another request. The target reserved for a move that doesn't
// happen must not count a call for ever.
func TestStoppedStallTimerDoesNotInterruptConnection(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	r := New(Options{Metrics: NewMetrics(prometheus.NewRegistry())})
	r.pool.dial = func(context.Context, string, string) (net.Conn, error) { return far, nil }
	target := catalog.Target{TargetKey: catalog.TargetKey{ID: "i1"}, Service: "engine", Slots: 4}
	r.Update(discovery.Snapshot{Config: &catalog.Config{}, Targets: []catalog.Target{target}})
	reserved := r.reserve(t.Context(), fleet.Query{Service: "engine"}, true)
	require.NotNil(t, reserved)
	called, result := make(chan struct{}), make(chan *reservation)
	s := startStallTimer(&conn{nc: near}, time.Millisecond, func() *reservation { close(called); return <-result })
	<-called
	assert.Nil(t, s.stop())
	assert.Equal(t, 1.0, r.loadOf("engine"))
	result <- reserved
	require.Eventually(t, func() bool { return r.loadOf("engine") == 0 }, time.Minute, time.Millisecond)
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := near.Read(make([]byte, 1))
	require.NoError(t, err)
}
