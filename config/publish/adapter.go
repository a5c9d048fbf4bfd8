package publish

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// keyValue narrows the port to the key-value service to what publishing needs.
type keyValue struct{ s store.Store }

// NewStore returns the key-value service as publishing needs it.
func NewStore(s store.Store) Store { return keyValue{s} }

func (k keyValue) Get(ctx context.Context, key string) (core.StoreRecord, error) {
	return k.s.Get(ctx, key)
}

func (k keyValue) Range(ctx context.Context, prefix string) ([]core.StoreRecord, error) {
	entries, _, err := k.s.Range(ctx, prefix)
	return entries, err
}

func (k keyValue) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	result, err := k.s.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: key, Revision: revision, Value: value})
	return result.Swapped, err
}
