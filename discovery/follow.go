package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

const (
	// retryMin and retryMax bound the pause after a failed call to the store, so
	// that its return is noticed within a configuration's time to apply and its
	// rates are not used up by callers that come back.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// askPeriod is the time between two questions to ledger members while the
	// store is away.
	askPeriod = time.Second
	// askAtStart is the same while no configuration is known. The store answers in
	// milliseconds if it is there.
	askAtStart = 100 * time.Millisecond
	// askTimeout bounds one of them.
	askTimeout = 700 * time.Millisecond
	// expirePeriod is the time between two looks at lapsed entries.
	expirePeriod = 250 * time.Millisecond
)

// errNotCurrent says that a member cannot reach the store itself.
var errNotCurrent = errors.New("the member cannot reach the store")

// Follower keeps a directory up to date.
type Follower struct {
	Directory *Directory
	Store     store.Store
	// Peers returns the addresses of ledger members that may know what the store
	// holds, the best first.
	Peers func() []string
	// ViaMembers follows members and reads the store only when none of them is
	// current, since the platform counts every process that watches its store.
	ViaMembers bool
	// Tunnel is told to the members that are followed; nil if this process passes
	// no connections on.
	Tunnel *ledgerpb.Tunnel

	connected atomic.Bool
	peers     peerLoops
}

// Connected says whether the store answered last.
func (f *Follower) Connected() bool { return f.connected.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	if f.ViaMembers {
		f.runThroughPeers(ctx)
		return
	}
	go f.askPeers(ctx)
	f.runDirectly(ctx)
}

// runDirectly reads and watches the store until ctx ends.
func (f *Follower) runDirectly(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		err := f.follow(ctx, func() { pause = retryMin })
		if ctx.Err() != nil {
			return
		}
		f.lost(err)
		ctxwait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMax)
	}
}

// follow reads everything and watches it until a call fails.
func (f *Follower) follow(ctx context.Context, answered func()) error {
	entries, revision, err := f.Store.Range(ctx, "")
	if err != nil {
		return err
	}
	f.Directory.ApplySnapshot(entries, revision, time.Now())
	f.back(answered)
	return f.Store.Watch(ctx, "", revision, func(changes []core.StoreRecord) {
		f.back(answered)
		f.Directory.ApplyChanges(changes, 0, time.Now())
	})
}

func (f *Follower) back(answered func()) {
	answered()
	f.Directory.SetStoreConnected(true)
	if f.connected.Swap(true) {
		return
	}
	f.Directory.log.Info().Str("event", "store_regained").Msg("")
}

func (f *Follower) lost(err error) {
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.KindCompacted {
		// The store is there; it only forgot what changed meanwhile.
		f.Directory.log.Info().Str("event", "store_compacted").Msg("reading everything again")
		return
	}
	f.Directory.RecordOutage(time.Now())
	f.Directory.SetStoreConnected(false)
	if f.connected.Swap(false) {
		f.Directory.log.Warn().Str("event", "store_lost").Err(err).Msg("")
	}
}

func (f *Follower) expire(ctx context.Context) {
	ctxwait.Every(ctx, expirePeriod, func(now time.Time) {
		if f.connected.Load() {
			f.Directory.Expire(now)
		}
	})
}

// askPeers learns from ledger members while the store is away.
func (f *Follower) askPeers(ctx context.Context) {
	ctxwait.For(ctx, askAtStart)
	for ; ctx.Err() == nil; ctxwait.For(ctx, f.askPause()) {
		if f.connected.Load() {
			continue
		}
		for _, addr := range f.Peers() {
			f.ask(ctx, addr)
		}
	}
}

// askPause returns the time to the next question. A process that has no
// configuration can serve nobody.
func (f *Follower) askPause() time.Duration {
	if !f.Directory.HasConfig() {
		return askAtStart
	}
	return askPeriod/2 + rand.N(askPeriod)
}

func (f *Follower) ask(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, addr)
	if err != nil {
		// Seeds may be out of date or down; the next one is asked.
		f.Directory.log.Debug().Str("event", "peer_unreachable").Str("peer", addr).Err(err).Msg("")
		return
	}
	defer conn.Close()
	response, err := conn.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_FollowState{FollowState: &ledgerpb.FollowState{
		After: f.Directory.Revision(),
	}}})
	if err != nil {
		f.Directory.log.Debug().Str("event", "peer_unreachable").Str("peer", addr).Err(err).Msg("")
		return
	}
	f.Directory.Merge(response.GetState(), time.Now())
}
