package relay_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// warmUp serves turns until the delays of first events are known.
func warmUp(t *testing.T, b *testbed) {
	t.Helper()
	for range 5 {
		require.NoError(t, b.call(resumablePath, "x").err)
	}
}

// An engine that executes a turn and sends nothing held it for 1.5 s, and the next one for
// as long again, until the caller's 3 s had passed (srv_grey mute of large/, trouble-1).
func TestTurnMovesSoonFromMuteEngine(t *testing.T) {
	mute := platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0))
	other := platformtest.NewTarget("i2", platformtest.StreamEvents(3, 0, 0))
	b := newTestbed(t, mute, other)
	warmUp(t, b)
	mute.SetHandler(platformtest.Hang)
	for range 4 {
		began := time.Now()
		got := b.call(resumablePath, "x")
		require.NoError(t, got.err)
		assert.Equal(t, events(1, 3), got.body)
		assert.Less(t, time.Since(began), time.Second)
	}
}

// A turn that must not be executed twice stays with a mute engine, since the engine may still
// answer. But the following turns avoid the engine from the moment at which it stalls.
func TestTurnsAvoidEngineThatStallsAnother(t *testing.T) {
	held, release := make(chan *platformtest.Target, 1), make(chan struct{})
	var isHeld atomic.Bool
	one, two := platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0)), platformtest.NewTarget("i2", platformtest.StreamEvents(3, 0, 0))
	b := newTestbed(t)
	b.edit = allowPatience
	b.update(one, two)
	warmUp(t, b)
	for _, target := range []*platformtest.Target{one, two} {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			if isHeld.CompareAndSwap(false, true) {
				held <- target
				<-release
			}
			platformtest.StreamEvents(3, 0, 0)(w, r)
		})
	}
	waiting := make(chan callResult, 1)
	go func() { waiting <- b.send(t.Context(), "slow", storedTurnsPath, "x", patient...) }()
	mute := <-held
	hash := catalog.TargetKey{ID: mute.ID}.Hash()
	require.Eventually(t, func() bool { return slices.Contains(b.relay.LoadReport().Failing, hash) }, patience, time.Millisecond, "the engine has stalled")
	before := len(mute.Requests())
	for range 4 {
		require.Equal(t, events(1, 3), b.call(storedTurnsPath, "y", patient...).body)
	}
	assert.Len(t, mute.Requests(), before)
	close(release)
	got := <-waiting
	assert.NoError(t, got.err)
	assert.Equal(t, events(1, 3), got.body, "the slow turn is answered whole")
}
