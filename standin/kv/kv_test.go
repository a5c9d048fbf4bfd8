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

// generous bounds waits that end long before in a sound program.
const generous = 30 * time.Second

// start starts a service and a client for it.
func start(t *testing.T, so Options, co etcdjson.Options) (*Server, *etcdjson.Client) {
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

// swap writes a key and requires success.
func swap(t *testing.T, c store.Store, key string, revision int64, value string) int64 {
	t.Helper()
	result, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: key, Revision: revision, Value: []byte(value)})
	require.NoError(t, err)
	require.True(t, result.Swapped)
	return result.Current.Revision
}

// kindOf requires an error of the store and returns it.
func kindOf(t *testing.T, err error) *store.Error {
	t.Helper()
	var e *store.Error
	require.ErrorAs(t, err, &e)
	return e
}

func TestSwap(t *testing.T) {
	_, c := start(t, Options{}, etcdjson.Options{})
	absent, err := c.Get(t.Context(), "slots/1")
	require.NoError(t, err)
	require.Equal(t, core.StoreRecord{Key: "slots/1"}, absent)
	first := swap(t, c, "slots/1", 0, "a")
	second := swap(t, c, "slots/1", first, "b")
	lost, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "slots/1", Revision: first, Value: []byte("c")})
	require.NoError(t, err)
	require.False(t, lost.Swapped)
	want := core.StoreRecord{Key: "slots/1", Value: []byte("b"), Revision: second}
	require.Equal(t, want, lost.Current)
	swap(t, c, "slots/2", 0, "x")
	swap(t, c, "other", 0, "y")
	entries, revision, err := c.Range(t.Context(), "slots/")
	require.NoError(t, err)
	require.Len(t, entries, 2)
	require.Equal(t, want, entries[0])
	require.Equal(t, second+2, revision)
	gone, err := c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "slots/1", Revision: second, Delete: true})
	require.NoError(t, err)
	require.True(t, gone.Swapped)
	absent, err = c.Get(t.Context(), "slots/1")
	require.NoError(t, err)
	require.Zero(t, absent.Revision)
}

func TestConcurrentSwapsHaveOneWinner(t *testing.T) {
	_, c := start(t, Options{}, etcdjson.Options{Timeout: generous})
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
	entry, err := c.Get(t.Context(), "head")
	require.NoError(t, err)
	require.Equal(t, fmt.Append(nil, <-wins), entry.Value)
}

func TestErrors(t *testing.T) {
	write := store.CompareAndSwapRequest{Key: "k", Value: []byte("v")}
	tests := []struct {
		name    string
		swap    store.CompareAndSwapRequest
		faults  fault.Faults
		outage  bool
		limit   float64
		kind    store.Kind
		unknown bool
		written bool
	}{
		{name: "lost answer", swap: write, faults: fault.Faults{LoseResponse: true, Times: 1}, kind: store.KindUnavailable, unknown: true, written: true},
		{name: "hang", swap: write, faults: fault.Faults{Hang: true, Times: 1}, kind: store.KindUnavailable, unknown: true},
		{name: "outage", swap: write, outage: true, kind: store.KindUnavailable, unknown: true},
		{name: "rate", swap: write, limit: 0.001, kind: store.KindRateLimited},
		{name: "too large", swap: store.CompareAndSwapRequest{Key: "k", Value: make([]byte, maxValue+1)}, kind: store.KindRejected},
		{name: "lease", swap: store.CompareAndSwapRequest{Key: "k", Lease: 5}, kind: store.KindLeaseLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timeout := generous
			if tt.faults.Hang {
				timeout = time.Second
			}
			s, c := start(t, Options{WritesPerSecond: tt.limit}, etcdjson.Options{Timeout: timeout})
			if tt.limit > 0 {
				swap(t, c, "other", 0, "")
			}
			s.SetFaults(tt.faults)
			s.SetOutage(tt.outage)
			_, err := c.CompareAndSwap(t.Context(), tt.swap)
			e := kindOf(t, err)
			require.Equal(t, tt.kind, e.Kind, err)
			require.Equal(t, tt.unknown, e.Unknown, err)
			require.Equal(t, store.StepCompareAndSwap, e.Step)
			s.SetOutage(false)
			entry, err := c.Get(t.Context(), "k")
			require.NoError(t, err)
			require.Equal(t, tt.written, entry.Revision > 0)
		})
	}
}

func TestLeaseRemovesItsKeys(t *testing.T) {
	_, c := start(t, Options{}, etcdjson.Options{})
	lease, err := c.Grant(t.Context(), time.Second)
	require.NoError(t, err)
	_, err = c.CompareAndSwap(t.Context(), store.CompareAndSwapRequest{Key: "k", Value: []byte("v"), Lease: lease})
	require.NoError(t, err)
	require.NoError(t, c.KeepAlive(t.Context(), lease))
	require.Eventually(t, func() bool {
		entry, err := c.Get(t.Context(), "k")
		return err == nil && entry.Revision == 0
	}, generous, 20*time.Millisecond)
	require.Equal(t, store.KindLeaseLost, kindOf(t, c.KeepAlive(t.Context(), lease)).Kind)
	require.Equal(t, store.KindLeaseLost, kindOf(t, c.Revoke(t.Context(), lease)).Kind)
}

// watch collects changes until there are n or the watch ends.
func watch(t *testing.T, c store.Store, after int64, n int) ([]core.StoreRecord, error) {
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	var seen []core.StoreRecord
	err := c.Watch(ctx, "slots/", after, func(entries []core.StoreRecord) {
		seen = append(seen, entries...)
		if len(seen) >= n {
			cancel()
		}
	})
	return seen, err
}

func TestWatchMissesNothing(t *testing.T) {
	_, c := start(t, Options{}, etcdjson.Options{})
	first := swap(t, c, "slots/1", 0, "a")
	second := swap(t, c, "slots/1", first, "b")
	swap(t, c, "other", 0, "x")
	go func() {
		_, _ = c.CompareAndSwap(context.Background(), store.CompareAndSwapRequest{Key: "slots/1", Revision: second, Delete: true})
	}()
	seen, err := watch(t, c, first, 2)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, []core.StoreRecord{{Key: "slots/1", Value: []byte("b"), Revision: second}, {Key: "slots/1"}}, seen)
}

func TestOutageEndsWatches(t *testing.T) {
	s, c := start(t, Options{}, etcdjson.Options{})
	swap(t, c, "slots/1", 0, "a")
	done := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		done <- c.Watch(context.Background(), "slots/", 0, func([]core.StoreRecord) { close(began) })
	}()
	<-began
	s.SetOutage(true)
	require.Equal(t, store.KindUnavailable, kindOf(t, <-done).Kind)
}

func TestSilentWatchIsGivenUp(t *testing.T) {
	s, c := start(t, Options{Progress: 20 * time.Millisecond}, etcdjson.Options{WatchIdleTimeout: 500 * time.Millisecond})
	swap(t, c, "slots/1", 0, "a")
	done := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		done <- c.Watch(context.Background(), "slots/", 0, func([]core.StoreRecord) { close(began) })
	}()
	<-began
	s.MakeUnresponsive()
	require.ErrorContains(t, <-done, "the watch's idle timeout expired")
	_, err := c.Get(t.Context(), "slots/1")
	require.NoError(t, err, "new connections work")
}

func TestCompactedWatchSaysSo(t *testing.T) {
	s, c := start(t, Options{}, etcdjson.Options{})
	s.data.compacted = 10
	_, err := watch(t, c, 3, 1)
	require.Equal(t, store.KindCompacted, kindOf(t, err).Kind)
}

func TestCallsAreCounted(t *testing.T) {
	s, c := start(t, Options{}, etcdjson.Options{})
	swap(t, c, "k", 0, "v")
	_, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, map[string]int{etcdjson.PathTxn: 1, etcdjson.PathRange: 1}, s.Calls())
}
