package tokenbucket_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	length    = 5 * time.Second
	perSecond = 20.0
	capacity  = 30.0
)

var start = time.Unix(1000, 0)

// takeAll takes single tokens as soon as there are any, at random times, for a minute.
func takeAll(isActive func(at time.Duration) bool) (taken []time.Duration) {
	w := tokenbucket.NewWindow(length, start)
	random := rand.New(rand.NewPCG(1, 2))
	for at := time.Duration(0); at < time.Minute; at += time.Duration(random.Int64N(int64(20 * time.Millisecond))) {
		if now := start.Add(at); isActive(at) && w.Wait(1, capacity, perSecond, now) == 0 {
			w.Take(1, perSecond, now)
			taken = append(taken, at)
		}
	}
	return taken
}

func TestWindowBoundsEachSpanUpToItsLength(t *testing.T) {
	taken := takeAll(func(at time.Duration) bool { return at%(7*time.Second) > 3*time.Second })
	for i, from := range taken {
		for j, to := range taken[i:] {
			if span := to - from; span <= length && float64(j+1) > capacity+perSecond*span.Seconds()+1e-6 {
				assert.Fail(t, "too many", "%d from %v to %v", j+1, from, to)
			}
		}
	}
}

// A bucket that is used all the time admits its rate only.
func TestWindowAdmitsItsCapacityInEachLength(t *testing.T) {
	taken := takeAll(func(time.Duration) bool { return true })
	assert.InDelta(t, time.Minute.Seconds()*(perSecond+capacity/length.Seconds()), len(taken), 1.5*capacity)
}

func TestWindowForgetsAfterItsLength(t *testing.T) {
	w := tokenbucket.NewWindow(length, start)
	w.Take(capacity, 0, start)
	wait := w.Wait(1, capacity, 0, start)
	assert.GreaterOrEqual(t, wait, length)
	assert.InDelta(t, length.Seconds(), wait.Seconds(), 0.2)
	assert.InDelta(t, capacity, w.Used(0, start.Add(length)), 1e-6)
	assert.InDelta(t, capacity, w.UsedAfter(length/2, 0, start.Add(length/2)), 1e-6)
	assert.Zero(t, w.UsedAfter(length, 0, start.Add(length/2)))
	assert.Zero(t, w.Used(0, start.Add(wait)))
}

func TestReturnedTokensCanBeTaken(t *testing.T) {
	w := tokenbucket.NewWindow(length, start)
	w.Take(capacity, perSecond, start)
	w.Return(2)
	assert.Zero(t, w.Wait(2, capacity, perSecond, start))
	assert.Equal(t, time.Second/time.Duration(perSecond), w.Wait(3, capacity, perSecond, start))
	w.Return(100)
	assert.Zero(t, w.Used(perSecond, start))
}

// Tokens that may have been taken elsewhere must not be forgotten with those taken before.
func TestRaisedUseCountsFromThen(t *testing.T) {
	w := tokenbucket.NewWindow(length, start)
	w.Take(capacity, 0, start)
	now := start.Add(length / 2)
	w.RaiseUsed(capacity-1, 0, now)
	assert.InDelta(t, capacity, w.Used(0, now), 1e-6)
	assert.InDelta(t, capacity-1, w.Used(0, start.Add(length+200*time.Millisecond)), 1e-6)
}
