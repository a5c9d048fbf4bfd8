package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// newToolFleet returns a fleet of n plain targets with four slots each, whose calls take
// 20 ms.
func newToolFleet(seed uint64, n int) *fleet.Fleet {
	f := fleet.New(seed, 0)
	f.Update(engines(n), nil)
	f.RecordStart(key(0), nil, start)
	f.RecordEnd(key(0), fleet.Answered, 20*time.Millisecond, start)
	return f
}

func objectQuery(object string) fleet.Query {
	return fleet.Query{Service: "llm", Domain: "d0", AffinityKey: object}
}

// Calls that concern one object arrive through several entries, while other calls run
// (dump-booking). They go to one target, until that is loaded by more than the time saved.
func TestCallsForOneObjectGoToOneTarget(t *testing.T) {
	counts := map[catalog.TargetKey]int{}
	for entry := range 4 {
		f := newToolFleet(uint64(entry), 6)
		for i := range 30 {
			object := fmt.Sprintf("object%d", i)
			first := send(t, f, objectQuery(object), start)
			f.RecordEnd(first, fleet.Answered, 20*time.Millisecond, start)
			again := send(t, f, objectQuery(object), start)
			f.RecordEnd(again, fleet.Answered, 20*time.Millisecond, start)
			assert.Equal(t, first, again)
			if entry == 0 {
				counts[first]++
			}
			other := send(t, newToolFleet(99, 6), objectQuery(object), start)
			assert.Equal(t, first, other, "entries agree without communication")
		}
	}
	assert.Len(t, counts, 6, "objects spread over all targets")
	f := newToolFleet(0, 6)
	preferred := send(t, f, objectQuery("a"), start)
	for range 8 {
		f.RecordStart(preferred, nil, start)
	}
	assert.NotEqual(t, preferred, send(t, f, objectQuery("a"), start), "a loaded target is left for another")
}

func TestOnlyObjectsOfRemovedTargetMove(t *testing.T) {
	before := newToolFleet(0, 6)
	after := newToolFleet(0, 5)
	for i := range 60 {
		object := fmt.Sprintf("object%d", i)
		first := send(t, before, objectQuery(object), start)
		before.RecordEnd(first, fleet.Answered, 20*time.Millisecond, start)
		second := send(t, after, objectQuery(object), start)
		after.RecordEnd(second, fleet.Answered, 20*time.Millisecond, start)
		if first != key(5) {
			assert.Equal(t, first, second)
		}
	}
}

func TestEjectedTargetGetsNoCallsOfItsObjects(t *testing.T) {
	f := newToolFleet(0, 6)
	preferred := send(t, f, objectQuery("a"), start)
	f.RecordEnd(preferred, fleet.ConnectionLost, time.Millisecond, start)
	assert.NotEqual(t, preferred, send(t, f, objectQuery("a"), start))
}
