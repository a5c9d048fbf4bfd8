package publish

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// storeAdapter implements the interface Store of this package with a store.Store.
type storeAdapter struct{ s store.Store }

// NewStore returns a Store that uses s, a client of the key-value service.
func NewStore(s store.Store) Store { return storeAdapter{s} }

func (k storeAdapter) Get(ctx context.Context, key string) (core.StoreRecord, error) {
	return k.s.Get(ctx, key)
}

func (k storeAdapter) Range(ctx context.Context, prefix string) ([]core.StoreRecord, error) {
	records, _, err := k.s.Range(ctx, prefix)
	return records, err
}

func (k storeAdapter) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	result, err := k.s.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: key, Revision: revision, Value: value})
	return result.Swapped, err
}
