package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// fail lets a call to a target fail.
func fail(f *fleet.Fleet, k catalog.TargetKey, now time.Time) {
	f.RecordStart(k, nil, now)
	f.RecordEnd(k, fleet.ConnectionLost, time.Millisecond, now)
}

// Pattern: an engine goes down and up by turns in a burst (srv_flap on
// sonoro-mzl-grown scale-1). Each entry finds out with one call, not with all that
// wait for its return.
func TestTargetThatFailedIsTriedByOneCall(t *testing.T) {
	f := newFleet(4)
	fail(f, key(0), start)
	now := start.Add(time.Second)
	// The others are loaded, so that the target is the best choice.
	for i := 1; i < 4; i++ {
		for range 8 {
			f.RecordStart(key(i), nil, now)
		}
	}
	assert.Equal(t, key(0), send(t, f, query(own("a")), now))
	assert.NotEqual(t, key(0), send(t, f, query(own("b")), now), "one call is trying it")
	f.RecordEnd(key(0), fleet.ConnectionLost, time.Millisecond, now)
	assert.NotEqual(t, key(0), send(t, f, query(own("c")), now), "it failed again")
	now = now.Add(2 * time.Second)
	assert.Equal(t, key(0), send(t, f, query(own("d")), now))
	f.RecordEnd(key(0), fleet.Answered, 300*time.Millisecond, now)
	for range 2 {
		assert.Equal(t, key(0), send(t, f, query(own("e")), now), "it works")
	}
}

// Pattern: the same, for turns that must not run twice and are lost with their
// engine.
func TestCallThatMustNotRunTwiceDoesNotTryATarget(t *testing.T) {
	f := newFleet(4)
	fail(f, key(0), start)
	fragile := query(own("a"))
	fragile.AtMostOnce = true
	fragile.LastTarget = key(0).ID
	pick := func(now time.Time) catalog.TargetKey {
		choice, ok := f.Pick(fragile, now)
		require.True(t, ok)
		return choice.Target.TargetKey
	}
	for i := 1; i < 4; i++ {
		f.RecordStart(key(i), nil, start)
	}
	assert.NotEqual(t, key(0), pick(start.Add(time.Second)), "another call has to try it")
	// Another call finds it working; it may fail again soon.
	f.RecordStart(key(0), nil, start.Add(time.Second))
	f.RecordEnd(key(0), fleet.Answered, 300*time.Millisecond, start.Add(time.Second))
	assert.NotEqual(t, key(0), pick(start.Add(2*time.Second)))
	assert.Equal(t, key(0), pick(start.Add(6*time.Second)))
}

// Pattern: only calls that must not run twice. A target that has failed comes back
// all the same.
func TestTargetComesBackWithoutOtherCalls(t *testing.T) {
	f := newFleet(3)
	fail(f, key(0), start)
	fragile := query(own("a"))
	fragile.AtMostOnce = true
	later := start.Add(10 * time.Second)
	seen := map[catalog.TargetKey]bool{}
	for range 6 {
		seen[send(t, f, fragile, later)] = true
	}
	assert.True(t, seen[key(0)])
}

// Pattern: a service with one target, whose answer was lost once.
func TestOnlyTargetIsUsedAfterAFailure(t *testing.T) {
	f := newFleet(1)
	fail(f, key(0), start)
	fragile := query(own("a"))
	fragile.AtMostOnce = true
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		_, ok := f.Pick(fragile, start.Add(after))
		assert.True(t, ok, "%v later", after)
	}
}
