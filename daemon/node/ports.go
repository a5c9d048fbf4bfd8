package node

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// AppliedConfig is an applied configuration with its generation.
type AppliedConfig struct {
	Generation uint64
	Set        *config.Set
}

// PublishStore adapts a store to the interface of package publish.
func PublishStore(s store.Store) publish.Store { return publishStore{s} }

type publishStore struct{ store.Store }

// Range returns the records of all keys with a prefix.
func (s publishStore) Range(ctx context.Context, prefix string) ([]core.StoreRecord, error) {
	records, _, err := s.Store.Range(ctx, prefix)
	return records, err
}

// CompareAndSwap writes a key if its revision is still the given one.
func (s publishStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	result, err := s.Store.CompareAndSwap(ctx, store.CompareAndSwapRequest{Key: key, Revision: revision, Value: value})
	return result.Swapped, err
}
