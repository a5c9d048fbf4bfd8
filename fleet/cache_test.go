package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// A conversation moved from one engine to another. Both have the conversation cached,
// but the first engine only as it was at an earlier turn. Further turns must go to the
// second engine.
func TestTurnGoesToEngineWithLongestCachedPrefix(t *testing.T) {
	f := newFleet(2)
	turn := func(tokens int) fleet.Query {
		return query(sharedPrefix(1), fleet.Part{ID: "session", Tokens: tokens})
	}
	f.RecordStart(key(0), turn(1_000).Prompt, start)
	f.RecordEnd(key(0), fleet.Answered, 300*time.Millisecond, start)
	f.RecordStart(key(1), turn(6_000).Prompt, start)
	f.RecordEnd(key(1), fleet.Answered, 300*time.Millisecond, start)
	for range 4 {
		choice, ok := f.Pick(turn(7_000), start)
		require.True(t, ok)
		assert.Equal(t, key(1), choice.Target.TargetKey)
		assert.Equal(t, 12_600+6_000, choice.CachedTokens)
	}
}
