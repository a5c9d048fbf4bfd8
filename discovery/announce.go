package discovery

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// announcePeriod is the time between two looks whether the announcement stands.
const announcePeriod = time.Second

// Announce keeps a value at a key of the store until ctx ends, and then removes
// it. A value that a process left behind which could not remove it misleads
// nobody for long: who uses it finds that nothing answers there.
func (f *Follower) Announce(ctx context.Context, key string, value []byte) {
	for ctx.Err() == nil {
		wait(ctx, announcePeriod/2+rand.N(announcePeriod))
		if !f.connected.Load() || bytes.Equal(f.Directory.Value(key), value) {
			continue
		}
		f.put(ctx, store.Swap{Key: key, Value: value})
	}
}

// Withdraw removes an announcement.
func (f *Follower) Withdraw(ctx context.Context, key string) {
	f.put(ctx, store.Swap{Key: key, Delete: true})
}

func (f *Follower) put(ctx context.Context, swap store.Swap) {
	current, err := f.Store.Get(ctx, swap.Key)
	if err == nil {
		swap.Revision = current.Revision
		_, err = f.Store.Swap(ctx, swap)
	}
	if err != nil {
		f.Directory.log.Warn().Str("event", "announce_failed").Str("key", swap.Key).Err(err).Msg("trying again while it is needed")
	}
}
