package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestTurnCacheAssemblesChains(t *testing.T) {
	c := newTurnCache(10_000)
	c.put(&cachedTurn{id: "t1", input: []byte("a"), output: []byte("b")})
	c.put(&cachedTurn{id: "t2", previous: "t1", input: []byte("c"), output: []byte("d")})
	c.put(&cachedTurn{id: "t3", previous: "t1", input: []byte("e")})
	text, ok := c.chain("t2", 10)
	assert.True(t, ok)
	assert.Equal(t, "abcd", string(text))
	assert.GreaterOrEqual(t, cap(text), 14)
	text, _ = c.chain("t3", 0)
	assert.Equal(t, "abe", string(text))
	_, ok = c.chain("t9", 0)
	assert.False(t, ok)
}

func TestTurnCacheStaysWithinLimit(t *testing.T) {
	c := newTurnCache(10 * (cachedTurnOverhead + 100))
	for i := range 100 {
		c.put(&cachedTurn{id: fmt.Sprint("t", i), input: make([]byte, 100)})
		// Using t0 in each round keeps it in the cache.
		_, ok := c.chain("t0", 0)
		assert.True(t, ok, "turn %d", i)
	}
	assert.LessOrEqual(t, c.bytes, c.limit)
	assert.Len(t, c.turns, 10)
	_, ok := c.chain("t50", 0)
	assert.False(t, ok)
	c.put(&cachedTurn{id: "huge", input: make([]byte, c.limit)})
	assert.Len(t, c.turns, 10)
}
