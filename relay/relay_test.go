package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

func TestAnswerPassesUnchanged(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusTeapot, "the bytes"))
	b := newBed(t, target)
	got := b.call(plain+"a%2Fb?q=1%20&r", strings.Repeat("x", 40_000), "X-Other", "kept", "X-Rhubarbsaddle-Hold", "forged")
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusTeapot, got.status)
	assert.Equal(t, "the bytes", got.body)
	assert.Equal(t, "signed by i1", got.header.Get(platformtest.Signature))
	run := target.Runs()[0]
	assert.Equal(t, plain+"a%2Fb?q=1%20&r", run.Path)
	assert.Len(t, run.Body, 40_000)
	assert.Equal(t, "kept", run.Header.Get("X-Other"))
	assert.Empty(t, run.Header.Get("X-Rhubarbsaddle-Hold"))
}

func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	full := platformtest.NewTarget("i1", platformtest.RejectUnexecuted(http.StatusServiceUnavailable))
	free := platformtest.NewTarget("i2", platformtest.Respond(http.StatusOK, "yes"))
	b := newBed(t, full, free)
	for range 4 {
		got := b.call(once, "x")
		assert.Equal(t, http.StatusOK, got.status)
	}
	assert.Len(t, free.Runs(), 4)
}

func TestRefusalOfAllIsAPromise(t *testing.T) {
	b := newBed(t, platformtest.NewTarget("i1", platformtest.RejectUnexecuted(http.StatusServiceUnavailable)))
	got := b.call(once, "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Empty(t, got.header.Get(platformtest.Signature))
}

func TestLostAnswerIsNotRepeatedAndNotCalledNotRun(t *testing.T) {
	breaks := platformtest.NewTarget("i1", platformtest.AbortConnection)
	other := platformtest.NewTarget("i2", platformtest.AbortConnection)
	b := newBed(t, breaks, other)
	got := b.call(once, "x")
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.Equal(t, 1, len(breaks.Runs())+len(other.Runs()))
}

func TestLostAnswerOfIdempotentRequestIsRepeatedWithinItsTargets(t *testing.T) {
	one := platformtest.NewTarget("i1", platformtest.AbortConnection)
	two := platformtest.NewTarget("i2", platformtest.AbortConnection)
	three := platformtest.NewTarget("i3", platformtest.AbortConnection)
	b := newBed(t, one, two, three)
	got := b.call(plain, "x")
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.Equal(t, 2, len(one.Runs())+len(two.Runs())+len(three.Runs()), "the route allows two targets")
}

// Pattern: targets crash one after the other (srv_flap on grown scale-1). A run that
// ended with its target does not count against the route's targets.
func TestRequestOutlivesTargetsThatEnd(t *testing.T) {
	var targets []*platformtest.Target
	for _, id := range []string{"i1", "i2", "i3"} {
		targets = append(targets, platformtest.NewTarget(id, platformtest.AbortConnection))
	}
	for _, target := range targets {
		target.SetHandler(func(http.ResponseWriter, *http.Request) { target.Crash() })
	}
	last := platformtest.NewTarget("i4", platformtest.Respond(http.StatusOK, "yes"))
	b := newBed(t, append(targets, last)...)
	for range 4 {
		assert.Equal(t, http.StatusOK, b.call(plain, "x").status)
	}
	got := b.call(once, "x")
	assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, got.status)
}

func TestCutAnswerIsNotPassedAsWhole(t *testing.T) {
	cut := platformtest.NewTarget("i1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("only this"))
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	b := newBed(t, cut)
	got := b.call(once, "x")
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.NotContains(t, got.body, "only")
}

func TestLateAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	target := platformtest.NewTarget("i1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platformtest.RequestID, "somebody-else")
		_, _ = w.Write([]byte("not yours"))
	})
	b := newBed(t, target)
	got := b.call(once, "x", platformtest.Deadline, "500")
	assert.NotEqual(t, http.StatusOK, got.status)
	assert.NotContains(t, got.body, "not yours")
}

func TestTargetWithAnotherIDIsNotRun(t *testing.T) {
	moved := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "wrong"))
	moved.ID = "i9"
	right := platformtest.NewTarget("i2", platformtest.Respond(http.StatusOK, "right"))
	b := newBed(t, moved, right)
	moved.ID = "other life"
	for range 3 {
		assert.Equal(t, "right", b.call(once, "x").body)
	}
}

func TestTimeOfARequestEndsAtItsRoute(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Hang)
	b := newBed(t, target)
	began := time.Now()
	got := b.call(once, "x", platformtest.Deadline, "400")
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Less(t, time.Since(began), time.Second)
	left := target.Runs()[0].Header.Get(platformtest.Deadline)
	assert.Regexp(t, `^3\d\d$`, left, "the target is told what is left")
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Hang)
	b := newBed(t, target)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, b.callWith(ctx, once, "x").err)
	require.Eventually(t, func() bool { return target.Disconnects() == 1 }, 2*time.Second, 10*time.Millisecond)
}

func TestOwnRefusals(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	b := newBed(t, target)
	assert.Equal(t, http.StatusNotFound, b.call("/nowhere/", "x").status)
	assert.Equal(t, http.StatusRequestEntityTooLarge, b.call(plain, strings.Repeat("x", 2<<20)).status)
	assert.Empty(t, target.Runs())
	b.relay.DisableKeepAlives()
	assert.True(t, b.call(plain, "x").status == http.StatusOK, "a stopping entry serves what still comes")
}

func TestBrokenResumableStreamGoesOnElsewhere(t *testing.T) {
	one := platformtest.NewTarget("i1", platformtest.StreamEvents(6, 3, 0))
	two := platformtest.NewTarget("i2", platformtest.StreamEvents(6, 3, 0))
	b := newBed(t, one, two)
	// Whichever is second goes on after the third event.
	first, second := one, two
	one.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platformtest.Resume) != "" {
			first, second = two, one
			platformtest.StreamEvents(6, 0, 0)(w, r)
			return
		}
		platformtest.StreamEvents(6, 3, 0)(w, r)
	})
	two.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platformtest.Resume) != "" {
			platformtest.StreamEvents(6, 0, 0)(w, r)
			return
		}
		platformtest.StreamEvents(6, 3, 0)(w, r)
	})
	got := b.call(draft, "x")
	require.NoError(t, got.err)
	assert.Equal(t, events(1, 6), got.body)
	require.Len(t, second.Runs(), 1)
	assert.Equal(t, "3", second.Runs()[0].Header.Get(platformtest.Resume))
	assert.Equal(t, "signed by "+first.ID, got.header.Get(platformtest.Signature))
}

// Pattern: a caller resumes after the last event (sonoro trouble-3).
func TestStreamWithoutEventsBearsItsTargetsSignature(t *testing.T) {
	b := newBed(t, platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0)))
	got := b.call(draft, "x", platformtest.Resume, "3")
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Empty(t, got.body)
	assert.Equal(t, "signed by i1", got.header.Get(platformtest.Signature))
}

func TestSilentResumableStreamGoesOnElsewhere(t *testing.T) {
	stuck := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platformtest.Resume) == "" {
			platformtest.StreamEvents(2, 0, 0)(w, r)
			platformtest.Hang(w, r)
			return
		}
		platformtest.StreamEvents(4, 0, 0)(w, r)
	}
	b := newBed(t, platformtest.NewTarget("i1", stuck), platformtest.NewTarget("i2", stuck))
	got := b.call(draft, "x")
	require.NoError(t, got.err)
	assert.Equal(t, events(1, 4), got.body)
}

func TestBrokenStreamThatCannotBeResumedLooksBroken(t *testing.T) {
	one := platformtest.NewTarget("i1", platformtest.StreamEvents(6, 3, 0))
	two := platformtest.NewTarget("i2", platformtest.StreamEvents(6, 3, 0))
	b := newBed(t, one, two)
	got := b.call(haggle, "x")
	assert.Equal(t, events(1, 3), got.body, "whole events only")
	assert.Error(t, got.err)
	assert.Equal(t, 1, len(one.Runs())+len(two.Runs()))
}

const (
	program = "X-Rhubarbsaddle-Program-Id"
	budget  = "X-Rhubarbsaddle-Token-Budget"
	usage   = "X-Rhubarbsaddle-Token-Usage"
	before  = "X-Rhubarbsaddle-Previous-Turn"
)

func TestBudgetCountsWhatWasHandedOut(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0))
	b := newBed(t, target)
	// Three events of ten tokens; each turn may generate up to 50.
	for i := range 3 {
		got := b.call(draft, "x", program, "p", budget, "120", usage, "5,50")
		require.Equal(t, http.StatusOK, got.status, "turn %d", i)
		want := 30 * (i + 1)
		require.Eventually(t, func() bool { return b.ledger.spent("p") == want }, 2*time.Second, 5*time.Millisecond)
	}
	got := b.call(draft, "x", program, "p", budget, "120", usage, "5,50")
	assert.Equal(t, http.StatusPaymentRequired, got.status)
	assert.Len(t, target.Runs(), 3, "a turn that is over the budget does not run")
	assert.Eventually(t, func() bool { return b.ledger.spent("p") == 90 }, 2*time.Second, 5*time.Millisecond)
}

func TestBudgetOfABrokenTurnCountsItsEvents(t *testing.T) {
	b := newBed(t, platformtest.NewTarget("i1", platformtest.StreamEvents(6, 2, 0)))
	require.Error(t, b.call(haggle, "x", program, "p", budget, "500", usage, "5,100").err)
	assert.Eventually(t, func() bool { return b.ledger.spent("p") == 20 }, 2*time.Second, 5*time.Millisecond)
}

func TestRefusedTurnCostsNothing(t *testing.T) {
	b := newBed(t, platformtest.NewTarget("i1", platformtest.RejectUnexecuted(http.StatusServiceUnavailable)))
	assert.Equal(t, http.StatusServiceUnavailable, b.call(haggle, "x", program, "p", budget, "500", usage, "5,100").status)
	assert.Eventually(t, func() bool { return b.ledger.spent("p") == 0 }, 2*time.Second, 5*time.Millisecond)
}

func TestTurnContinuesItsChain(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	b := newBed(t, target)
	first := b.call(haggle, "one,", program, "p", budget, "500", usage, "5,50")
	require.NoError(t, first.err)
	second := b.call(haggle, "two,", program, "p", budget, "500", usage, "5,50", before, first.id)
	require.NoError(t, second.err)
	// Several turns may continue the same one.
	for range 2 {
		require.NoError(t, b.call(haggle, "three,", program, "p", budget, "500", usage, "5,50", before, second.id).err)
	}
	runs := target.Runs()
	assert.Equal(t, "one,", runs[0].Body)
	assert.Equal(t, "one,"+data(2)+"two,", runs[1].Body)
	assert.Equal(t, "one,"+data(2)+"two,"+data(2)+"three,", runs[2].Body)
	assert.Equal(t, runs[2].Body, runs[3].Body)
}

// A caller may put any bytes into its headers. Ids that the ledger cannot store must
// not reach it.
func TestIDThatIsNoTextIsRejected(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	b := newBed(t, target)
	assert.Equal(t, http.StatusBadRequest, b.call(haggle, "x", program, "p\xff", budget, "500", usage, "5,50").status)
	assert.Equal(t, http.StatusBadRequest, b.call(haggle, "x", before, "t\xff").status)
	assert.Equal(t, http.StatusBadRequest, b.call(haggle, "x", platformtest.RequestID, "r\xff").status)
	assert.Empty(t, target.Runs())
	assert.Zero(t, b.ledger.ticks)
	assert.Equal(t, http.StatusOK, b.call(plain, "x", program, "p\xff").status, "what needs no ledger goes on")
}

func TestUnknownTurnIsNotRun(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	b := newBed(t, target)
	assert.Equal(t, http.StatusNotFound, b.call(haggle, "x", before, "never").status)
	assert.Empty(t, target.Runs())
}

func TestTurnIsNotWholeBeforeItIsKept(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	b := newBed(t, target)
	b.ledger.stall = make(chan struct{})
	ended := make(chan reply, 1)
	go func() { ended <- b.call(haggle, "x", program, "p", budget, "500", usage, "5,50") }()
	select {
	case <-ended:
		t.Fatal("the answer ended before the turn was kept")
	case <-time.After(300 * time.Millisecond):
	}
	close(b.ledger.stall)
	assert.NoError(t, (<-ended).err)
}

func TestTurnThatCannotBeKeptLooksBroken(t *testing.T) {
	b := newBed(t, platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0)))
	b.ledger.stall = make(chan struct{})
	got := b.call(haggle, "x", program, "p", budget, "500", usage, "5,50", platformtest.Deadline, "500")
	assert.Error(t, got.err)
	assert.Eventually(t, func() bool { return b.ledger.spent("p") == 20 }, 2*time.Second, 5*time.Millisecond)
}

func TestTurnsAreRefusedAtOnceWithoutTheLedger(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(2, 0, 0))
	b := newBed(t, target)
	require.Zero(t, b.relay.LedgerUnavailableFor())
	b.ledger.setDown(true)
	time.Sleep(1100 * time.Millisecond)
	began := time.Now()
	got := b.call(haggle, "x", program, "p", budget, "500", usage, "5,50")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	assert.Empty(t, target.Runs())
	plainTarget := platformtest.NewTarget("i2", platformtest.Respond(http.StatusOK, "yes"))
	b.update(plainTarget)
	assert.Equal(t, http.StatusOK, b.call(plain, "x").status, "what needs no ledger goes on")
}

// Pattern: a conversation whose turns arrive through different entries. The engine
// that keeps its prompt is known from the ledger.
func TestTurnsThroughAnyEntryGoToOneEngine(t *testing.T) {
	const parts = "X-Rhubarbsaddle-Prefix-Hash"
	var targets []*platformtest.Target
	for i := range 5 {
		targets = append(targets, platformtest.NewTarget(fmt.Sprintf("i%d", i), platformtest.StreamEvents(2, 0, 0)))
	}
	one := newBed(t, targets...)
	two := newEntry(t, one.ledger, targets...)
	// The entries differ in which of equal engines comes next.
	for range 2 {
		require.Equal(t, http.StatusOK, two.call(plain, "x").status)
	}
	last := ""
	for turn := range 8 {
		entry, size := one, 100+turn
		if turn%2 == 1 {
			entry = two
		}
		entry.next = turn
		got := entry.call(haggle, "x", program, "p", budget, "5000", usage, "5,20", before, last, parts, fmt.Sprintf("aa:600,bb:%d", size))
		require.Equal(t, http.StatusOK, got.status)
		last = got.id
		require.Eventually(t, func() bool { return one.ledger.spent("p") == (turn+1)*20 }, time.Second, time.Millisecond)
	}
	used := 0
	for _, target := range targets {
		for _, run := range target.Runs() {
			if strings.HasPrefix(run.Path, haggle) {
				used++
				break
			}
		}
	}
	assert.Equal(t, 1, used)
}
