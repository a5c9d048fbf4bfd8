package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Half of the engines were replaced one after the other (release of large/, scale-2). A new
// engine has no calls and is several times slower for its first seconds, so it attracted
// turns that then took 1 to 2 s.
func TestEngineThatHasJustStartedGetsCallsOnlyWhenOthersAreFull(t *testing.T) {
	targets := engines(3)
	targets[2].WarmAt = start.Add(3 * time.Second)
	f := newFleet(0)
	f.Update(targets, services)
	for range 8 {
		assert.NotEqual(t, key(2), send(t, f, query(), start), "the others have free slots")
	}
	assert.Equal(t, key(2), send(t, f, query(), start.Add(4*time.Second)), "it is warm, and idle")
}

func TestSlowEngineIsBetterThanLongQueue(t *testing.T) {
	targets := engines(2)
	targets[1].WarmAt = start.Add(3 * time.Second)
	f := newFleet(0)
	f.Update(targets, services)
	chosen := map[string]int{}
	for range 14 {
		chosen[send(t, f, query(), start).ID]++
	}
	assert.Positive(t, chosen[key(1).ID])
	assert.Greater(t, chosen[key(0).ID], chosen[key(1).ID])
}
