package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		platformtest.StreamEvents(3, 0, 0)(w, r)
	}
	one, two := platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0)), platformtest.NewTarget("i2", platformtest.StreamEvents(3, 0, 0))
	b := newTestbed(t, one, two)
	warmUp(t, b)
	one.SetHandler(slow)
	before := len(one.Requests())
	waiting := make(chan callResult, 1)
	for i := 0; len(one.Requests()) == before; i++ {
		require.Less(t, i, 100)
		go func() { waiting <- b.callWithID("slow", storedTurnsPath, "x") }()
		time.Sleep(20 * time.Millisecond)
		if len(one.Requests()) == before {
			<-waiting
		}
	}
	time.Sleep(600 * time.Millisecond)
	for range 4 {
		require.Equal(t, events(1, 3), b.call(storedTurnsPath, "y").body)
	}
	assert.Len(t, one.Requests(), before+1)
	got := <-waiting
	assert.NoError(t, got.err)
	assert.Equal(t, events(1, 3), got.body, "the slow turn is answered whole")
}
