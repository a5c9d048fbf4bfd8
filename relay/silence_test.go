package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// Pattern: plain services run requests and their answers are lost without a word
// (answer_lost on sonoro-mzl-grown scale-2). The route's objective is 100 ms, its
// time 3 s.
func TestSilentTargetIsLeftForAnother(t *testing.T) {
	silent := platformtest.NewTarget("i1", platformtest.Hang)
	other := platformtest.NewTarget("i2", platformtest.Respond(http.StatusOK, "yes"))
	b := newBed(t, silent, other)
	for range 3 {
		began := time.Now()
		got := b.call(plain, "x")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Less(t, time.Since(began), time.Second)
	}
	assert.Eventually(t, func() bool { return silent.Disconnects() == len(silent.Runs()) }, time.Second, time.Millisecond,
		"the silent target is told that nobody waits")
}

func TestSilentTargetOfARequestThatMustNotBeRepeatedIsAwaited(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		platformtest.Respond(http.StatusOK, "late")(w, r)
	}
	one, two := platformtest.NewTarget("i1", slow), platformtest.NewTarget("i2", slow)
	got := newBed(t, one, two).call(once, "x")
	assert.Equal(t, "late", got.body)
	assert.Equal(t, 1, len(one.Runs())+len(two.Runs()))
}

// Pattern: a service that is slow for its load. Giving up on all of its answers
// would double the load.
func TestSlowServiceIsNotAskedTwiceForEachRequest(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		platformtest.Respond(http.StatusOK, "late")(w, r)
	}
	var targets []*platformtest.Target
	for i := range 4 {
		targets = append(targets, platformtest.NewTarget(fmt.Sprintf("i%d", i), slow))
	}
	b := newBed(t, targets...)
	const calls = 120
	done := make(chan reply, calls)
	for i := range calls {
		go func() { done <- b.callAs(fmt.Sprintf("c%d", i), plain, "x") }()
	}
	for range calls {
		got := <-done
		assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status)
	}
	runs := 0
	for _, target := range targets {
		runs += len(target.Runs())
	}
	assert.LessOrEqual(t, runs, calls+40, "20 at once and 10 a second")
}
