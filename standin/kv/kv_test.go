package kv

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// eventuallyTimeout limits waits for conditions that are expected to come true
// much earlier.
const eventuallyTimeout = 30 * time.Second

// startServer starts a service and a client for it.
func startServer(t *testing.T, so Options, co etcdjson.Options) (*Server, *etcdjson.Client) {
	s := NewServer(so)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	co.Endpoints = []string{addr}
	co.Prefix = "rs/"
	client, err := etcdjson.New(co)
	require.NoError(t, err)
	return s, client
}

// compareAndSwap writes a key, requires success and returns the new revision.
func compareAndSwap(t *testing.T, c store.Store, key string, revision int64, value string) int64 {
	t.Helper()
	result, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: key, Revision: revision, Value: []byte(value)})
	require.NoError(t, err)
	require.True(t, result.Swapped)
	return result.Current.Revision
}

// storeError requires err to be a store error and returns it.
func storeError(t *testing.T, err error) *store.Error {
	t.Helper()
	var e *store.Error
	require.ErrorAs(t, err, &e)
	return e
}

func TestCompareAndSwapRequiresCurrentRevision(t *testing.T) {
	_, c := startServer(t, Options{}, etcdjson.Options{})
	absent, err := c.Get(t.Context(), "slots/1")
	require.NoError(t, err)
	require.Equal(t, core.StoreRecord{Key: "slots/1"}, absent)
	first := compareAndSwap(t, c, "slots/1", 0, "a")
	second := compareAndSwap(t, c, "slots/1", first, "b")
	conflict, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "slots/1", Revision: first, Value: []byte("c")})
	require.NoError(t, err)
	require.False(t, conflict.Swapped)
	want := core.StoreRecord{Key: "slots/1", Value: []byte("b"), Revision: second}
	require.Equal(t, want, conflict.Current)
	compareAndSwap(t, c, "slots/2", 0, "x")
	compareAndSwap(t, c, "other", 0, "y")
	records, revision, err := c.Range(t.Context(), "slots/")
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.Equal(t, want, records[0])
	require.Equal(t, second+2, revision)
	deleted, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "slots/1", Revision: second, Delete: true})
	require.NoError(t, err)
	require.True(t, deleted.Swapped)
	absent, err = c.Get(t.Context(), "slots/1")
	require.NoError(t, err)
	require.Zero(t, absent.Revision)
}

func TestConcurrentCompareAndSwapsHaveOneWinner(t *testing.T) {
	_, c := startServer(t, Options{}, etcdjson.Options{Timeout: eventuallyTimeout})
	var wg sync.WaitGroup
	wins := make(chan int, 16)
	for i := range 16 {
		wg.Go(func() {
			result, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "head", Value: fmt.Append(nil, i)})
			if err == nil && result.Swapped {
				wins <- i
			}
		})
	}
	wg.Wait()
	require.Len(t, wins, 1)
	record, err := c.Get(t.Context(), "head")
	require.NoError(t, err)
	require.Equal(t, fmt.Append(nil, <-wins), record.Value)
}

func TestFaultsMapToStoreErrors(t *testing.T) {
	write := store.CompareAndSwapRequest{Key: "k", Value: []byte("v")}
	tests := []struct {
		name    string
		request store.CompareAndSwapRequest
		faults  fault.Faults
		outage  bool
		limit   float64
		kind    store.Kind
		unknown bool
		written bool
	}{
		{name: "lost response", request: write, faults: fault.Faults{LoseResponse: true, Times: 1}, kind: store.KindUnavailable, unknown: true, written: true},
		{name: "hang", request: write, faults: fault.Faults{Hang: true, Times: 1}, kind: store.KindUnavailable, unknown: true},
		{name: "outage", request: write, outage: true, kind: store.KindUnavailable, unknown: true},
		{name: "rate", request: write, limit: 0.001, kind: store.KindRateLimited},
		{name: "too large", request: store.CompareAndSwapRequest{Key: "k", Value: make([]byte, maxValue+1)}, kind: store.KindRejected},
		{name: "lease", request: store.CompareAndSwapRequest{Key: "k", Lease: 5}, kind: store.KindLeaseLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timeout := eventuallyTimeout
			if tt.faults.Hang {
				timeout = time.Second
			}
			s, c := startServer(t, Options{WritesPerSecond: tt.limit}, etcdjson.Options{Timeout: timeout})
			if tt.limit > 0 {
				compareAndSwap(t, c, "other", 0, "")
			}
			s.SetFaults(tt.faults)
			s.SetOutage(tt.outage)
			_, err := c.CompareAndSwap(t.Context(), tt.request)
			e := storeError(t, err)
			require.Equal(t, tt.kind, e.Kind, err)
			require.Equal(t, tt.unknown, e.Unknown, err)
			require.Equal(t, store.StepCompareAndSwap, e.Step)
			s.SetOutage(false)
			record, err := c.Get(t.Context(), "k")
			require.NoError(t, err)
			require.Equal(t, tt.written, record.Revision > 0)
		})
	}
}

func TestExpiredLeaseRemovesItsKeys(t *testing.T) {
	_, c := startServer(t, Options{}, etcdjson.Options{})
	lease, err := c.Grant(t.Context(), time.Second)
	require.NoError(t, err)
	_, err = c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "k", Value: []byte("v"), Lease: lease})
	require.NoError(t, err)
	require.NoError(t, c.KeepAlive(t.Context(), lease))
	require.Eventually(t, func() bool {
		record, err := c.Get(t.Context(), "k")
		return err == nil && record.Revision == 0
	}, eventuallyTimeout, 20*time.Millisecond)
	require.Equal(t, store.KindLeaseLost, storeError(t, c.KeepAlive(t.Context(), lease)).Kind)
	require.Equal(t, store.KindLeaseLost, storeError(t, c.Revoke(t.Context(), lease)).Kind)
}

// collectChanges watches the keys under slots/ until it has n changes or the
// watch ends. It returns the changes and the watch's error.
func collectChanges(t *testing.T, c store.Store, after int64, n int) ([]core.StoreRecord, error) {
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	var changes []core.StoreRecord
	err := c.Watch(ctx, "slots/", after, func(records []core.StoreRecord, _ int64) {
		changes = append(changes, records...)
		if len(changes) >= n {
			cancel()
		}
	})
	return changes, err
}

func TestWatchReportsEveryChangeAfterRevision(t *testing.T) {
	_, c := startServer(t, Options{}, etcdjson.Options{})
	first := compareAndSwap(t, c, "slots/1", 0, "a")
	second := compareAndSwap(t, c, "slots/1", first, "b")
	compareAndSwap(t, c, "other", 0, "x")
	go func() {
		_, _ = c.CompareAndSwap(context.Background(), store.CompareAndSwapRequest{Key: "slots/1", Revision: second, Delete: true})
	}()
	changes, err := collectChanges(t, c, first, 2)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, []core.StoreRecord{{Key: "slots/1", Value: []byte("b"), Revision: second}, {Key: "slots/1"}}, changes)
}

func TestOutageEndsWatches(t *testing.T) {
	s, c := startServer(t, Options{}, etcdjson.Options{})
	compareAndSwap(t, c, "slots/1", 0, "a")
	done := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		done <- c.Watch(context.Background(), "slots/", 0, func([]core.StoreRecord, int64) { close(began) })
	}()
	<-began
	s.SetOutage(true)
	require.Equal(t, store.KindUnavailable, storeError(t, <-done).Kind)
}

func TestUnresponsiveWatchIsClosed(t *testing.T) {
	s, c := startServer(t, Options{Progress: 20 * time.Millisecond}, etcdjson.Options{WatchIdleTimeout: 500 * time.Millisecond})
	compareAndSwap(t, c, "slots/1", 0, "a")
	done := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		done <- c.Watch(context.Background(), "slots/", 0, func([]core.StoreRecord, int64) { close(began) })
	}()
	<-began
	s.MakeUnresponsive()
	require.ErrorContains(t, <-done, "the watch's idle timeout expired")
	_, err := c.Get(t.Context(), "slots/1")
	require.NoError(t, err, "a new connection must work")
}

func TestWatchFromCompactedRevisionFails(t *testing.T) {
	s, c := startServer(t, Options{}, etcdjson.Options{})
	s.data.compacted = 10
	_, err := collectChanges(t, c, 3, 1)
	require.Equal(t, store.KindCompacted, storeError(t, err).Kind)
}

func TestCallsAreCounted(t *testing.T) {
	s, c := startServer(t, Options{}, etcdjson.Options{})
	compareAndSwap(t, c, "k", 0, "v")
	_, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, map[string]int{etcdjson.PathTxn: 1, etcdjson.PathRange: 1}, s.Calls())
}
