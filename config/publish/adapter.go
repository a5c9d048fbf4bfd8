package publish

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// keyValue narrows the port to the key-value service to what publishing needs.
type keyValue struct{ s store.Store }

// Over returns the key-value service as publishing needs it.
func Over(s store.Store) Store { return keyValue{s} }

func (k keyValue) Get(ctx context.Context, key string) (core.StoreEntry, error) {
	return k.s.Get(ctx, key)
}

func (k keyValue) Range(ctx context.Context, prefix string) ([]core.StoreEntry, error) {
	entries, _, err := k.s.Range(ctx, prefix)
	return entries, err
}

func (k keyValue) Swap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	result, err := k.s.CompareAndSwap(ctx, store.Swap{Key: key, Revision: revision, Value: value})
	return result.Swapped, err
}
