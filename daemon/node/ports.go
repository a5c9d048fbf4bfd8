package node

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Store is the platform's key-value service, below the deployment's prefix.
type Store interface {
	// Get returns the entry of a key; an absent key has revision zero.
	Get(ctx context.Context, key string) (core.StoreEntry, error)
	// Range returns the entries of all keys with a prefix.
	Range(ctx context.Context, prefix string) ([]core.StoreEntry, error)
	// Swap writes a key if its revision is still revision; zero means absent.
	// After an error it is unknown whether the write took effect.
	Swap(ctx context.Context, key string, revision int64, value []byte) (bool, error)
	// Watch calls fn with the changes of keys with a prefix until ctx is done or
	// the watch breaks.
	Watch(ctx context.Context, prefix string, fn func([]core.StoreEntry)) error
}

// VMs is the platform's VM list.
type VMs interface {
	List(ctx context.Context) ([]core.VMInfo, error)
}

// Applied is a configuration in force.
type Applied struct {
	Generation uint64
	Set        *config.Set
}
