package local

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/store"
)

// memStore is a key-value service in memory, until the stand-in can be started.
type memStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]core.StoreEntry
	watches  map[int]watch
	next     int
}

type watch struct {
	prefix string
	events chan core.StoreEntry
}

func newMemStore() *memStore {
	return &memStore{entries: map[string]core.StoreEntry{}, watches: map[int]watch{}}
}

func (m *memStore) Get(_ context.Context, key string) (core.StoreEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	e.Key = key
	return e, nil
}

func (m *memStore) Range(_ context.Context, prefix string) ([]core.StoreEntry, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []core.StoreEntry
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b core.StoreEntry) int { return strings.Compare(a.Key, b.Key) })
	return out, m.revision, nil
}

func (m *memStore) Swap(_ context.Context, s store.Swap) (store.SwapResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[s.Key]
	e.Key = s.Key
	if e.Revision != s.Revision {
		return store.SwapResult{Current: e}, nil
	}
	m.revision++
	e.Revision = m.revision
	e.Value = slices.Clone(s.Value)
	m.entries[s.Key] = e
	for _, w := range m.watches {
		if strings.HasPrefix(s.Key, w.prefix) {
			w.events <- e
		}
	}
	return store.SwapResult{Swapped: true, Current: e}, nil
}

func (m *memStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }

func (m *memStore) KeepAlive(context.Context, store.LeaseID) error { return nil }

func (m *memStore) Revoke(context.Context, store.LeaseID) error { return nil }

func (m *memStore) Watch(ctx context.Context, prefix string, _ int64, fn func([]core.StoreEntry)) error {
	events := make(chan core.StoreEntry, 1000)
	m.mu.Lock()
	id := m.next
	m.next++
	m.watches[id] = watch{prefix: prefix, events: events}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.watches, id)
	}()
	for {
		select {
		case e := <-events:
			fn([]core.StoreEntry{e})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
