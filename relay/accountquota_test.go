package relay_test

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

func (s *sharedBoard) AcquireQuota(_ context.Context, ask loadboard.QuotaAsk) (loadboard.QuotaGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return loadboard.QuotaGrant{}, s.err
	}
	grant := s.board.AcquireQuota(ask, time.Now())
	grant.StartWait = max(grant.StartWait, s.startWait)
	return grant, nil
}

// newTestbedWithQuota returns a testbed with one account. A request of it has its key.
func newTestbedWithQuota(t testing.TB, board *sharedBoard, q catalog.Quota, targets ...*platformtest.Target) (*testbed, func(path string, headers ...string) callResult) {
	b := newTestbedWithOptions(t, relay.Options{Permits: board, Quotas: board}, newMemoryLedger(), targets...)
	b.quotas = map[string]catalog.Quota{"acme": q}
	b.update(targets...)
	return b, func(path string, headers ...string) callResult {
		return b.call(path, "x", append(headers, "Authorization", "Bearer acme")...)
	}
}

// Requests of an account ran without a limit (QUOTA on catalogo-vivo-grown). Entries together
// stay within it, and those refused return one after the other.
func TestRequestsOverQuotaAreRefused(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	board := newSharedBoard()
	_, first := newTestbedWithQuota(t, board, catalog.Quota{PerSecond: 4, Burst: 2}, target)
	_, second := newTestbedWithQuota(t, board, catalog.Quota{PerSecond: 4, Burst: 2}, target)
	served, last, began := 0, 0.0, time.Now()
	for range 20 {
		for _, call := range []func(string, ...string) callResult{first, second} {
			got := call(idempotentPath)
			if got.status == http.StatusOK {
				served++
				continue
			}
			require.Equal(t, http.StatusTooManyRequests, got.status)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			last = max(last, wait)
		}
	}
	assert.Len(t, target.Requests(), served)
	assert.GreaterOrEqual(t, served, 3)
	assert.LessOrEqual(t, float64(served), 11+4*time.Since(began).Seconds())
	assert.Greater(t, last, 2.0, "the refused requests return at the rate of the quota")
	assert.LessOrEqual(t, last, 5.0)
}

// Requests that no target has run were counted, so accounts were refused below their limit.
func TestRequestsThatCannotHaveRunAreRefunded(t *testing.T) {
	b, call := newTestbedWithQuota(t, newSharedBoard(), catalog.Quota{PerSecond: 0.01, Burst: 3})
	for range 20 {
		require.Equal(t, http.StatusServiceUnavailable, call(idempotentPath).status)
	}
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	b.update(target)
	for range 3 {
		assert.Equal(t, http.StatusOK, call(idempotentPath).status)
	}
	assert.Equal(t, http.StatusTooManyRequests, call(idempotentPath).status)
}

// A request that runs at a second target is one more request for the targets, and is charged.
func TestFurtherExecutionIsCharged(t *testing.T) {
	lost := platformtest.NewTarget("i1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	other := platformtest.NewTarget("i2", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, call := newTestbedWithQuota(t, newSharedBoard(), catalog.Quota{PerSecond: 0.01, Burst: 4}, lost, other)
	for call(idempotentPath).status != http.StatusTooManyRequests {
		require.Less(t, len(lost.Requests())+len(other.Requests()), 20)
	}
	assert.LessOrEqual(t, len(lost.Requests())+len(other.Requests()), 5)
}

// Without a board it is not known whether an account is over its quota, and an entry that is
// cut off must not serve it without a limit either.
func TestQuotaWithoutBoard(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.Respond(http.StatusOK, "yes"))
	board := newSharedBoard()
	board.err = errors.New("no member")
	b, call := newTestbedWithQuota(t, board, catalog.Quota{PerSecond: 1, Burst: 6}, target)
	b.relay.RecordOthers(loadboard.Summary{Processes: 2})
	statuses, began := map[int]int{}, time.Now()
	for range 20 {
		got := call(idempotentPath)
		statuses[got.status]++
		if got.status != http.StatusOK {
			assert.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	assert.Equal(t, 20, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
	assert.GreaterOrEqual(t, statuses[http.StatusOK], 1)
	assert.LessOrEqual(t, float64(statuses[http.StatusOK]), 3+0.5*time.Since(began).Seconds(), "half of the quota")
	board.mu.Lock()
	board.err = nil
	board.mu.Unlock()
	assert.Eventually(t, func() bool { return call(idempotentPath).status == http.StatusOK }, 3*time.Second, 50*time.Millisecond)
}

// Programs of an account at its quota lost single requests and with them all others. While the
// quota has no room for a whole program, new ones are refused and those under way go on.
func TestProgramsStartOnlyWithRoomInQuota(t *testing.T) {
	target := platformtest.NewTarget("i1", platformtest.StreamEvents(3, 0, 0))
	board := newSharedBoard()
	_, call := newTestbedWithQuota(t, board, catalog.Quota{PerSecond: 100, Burst: 100}, target)
	turn := func(id string) callResult {
		return call(resumablePath, program, id, budget, "1000", usage, "10,30")
	}
	require.Equal(t, http.StatusOK, turn("under-way").status)
	board.startWait = 2 * time.Second
	// The next ask tells the entry.
	require.Equal(t, http.StatusOK, turn("under-way").status)
	refused := turn("new")
	assert.Equal(t, http.StatusTooManyRequests, refused.status)
	wait, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.InDelta(t, 2, wait, 0.5)
	assert.Equal(t, http.StatusOK, turn("under-way").status)
	assert.Len(t, target.Requests(), 3)
}
