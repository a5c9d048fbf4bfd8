package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to the
	// store. It is short enough to notice the store's recovery within the time in which
	// a new configuration has to take effect, and long enough that retries don't use up
	// the store's rate limits.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// pollPeriod is the average time between two polls of ledger members while the
	// store is unavailable.
	pollPeriod = time.Second
	// startupPollPeriod is the time between two polls while no configuration is known.
	// If the store is available, it responds within milliseconds.
	startupPollPeriod = 100 * time.Millisecond
	// pollTimeout bounds the poll of one member.
	pollTimeout = 700 * time.Millisecond
	// expirePeriod is the time between two checks for expired registrations.
	expirePeriod = 250 * time.Millisecond
)

// errNotConnected means that a member is not connected to the store itself.
var errNotConnected = errors.New("ledger member is not connected to the store")

// Follower keeps a directory up to date.
type Follower struct {
	Directory *Directory
	Store     store.Store
	// Members returns the addresses of ledger members that may have a copy of the store's
	// content, in order of preference.
	Members func() []string
	// ViaMembers makes the follower follow ledger members. It reads the store itself
	// only while none of them is connected to the store, since the platform counts
	// every process that watches its store.
	ViaMembers bool
	// DirectDelay is how long a process that starts waits for a member that is connected to
	// the store before it reads the store itself.
	DirectDelay time.Duration
	// Tunnel is announced to the followed members; nil if this process tunnels no
	// connections.
	Tunnel *ledgerpb.Tunnel

	connected atomic.Bool
	members   memberTracker
}

// Connected reports whether the store is available, directly or through a member.
func (f *Follower) Connected() bool { return f.connected.Load() }

// Run keeps the directory up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	if f.ViaMembers {
		f.Directory.SetStoreConnected(false)
		f.runViaMembers(ctx)
		return
	}
	go f.pollMembers(ctx)
	f.runDirectly(ctx)
}

// RunWithRole is Run for a process whose role changes: isFollower reports, for the current
// view, whether the process follows ledger members. It is called after each change of the
// directory.
func (f *Follower) RunWithRole(ctx context.Context, isFollower func(ledger.View) bool) {
	for ctx.Err() == nil {
		f.ViaMembers = isFollower(f.Directory.View())
		f.runWhile(ctx, func(view ledger.View) bool { return isFollower(view) == f.ViaMembers })
	}
}

// runWhile runs until ctx ends or the condition no longer holds for the view.
func (f *Follower) runWhile(ctx context.Context, condition func(ledger.View) bool) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			changed := f.Directory.Changed()
			if !condition(f.Directory.View()) {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	})
	f.Run(ctx)
	watcher.Wait()
}

// runDirectly reads and watches the store until ctx ends.
func (f *Follower) runDirectly(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.readAndWatch(ctx, func() { delay = minRetryDelay })
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(err)
		ctxwait.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// readAndWatch reads the store's complete content and watches it until a call fails. It
// calls onResponse after each response.
func (f *Follower) readAndWatch(ctx context.Context, onResponse func()) error {
	records, revision, err := f.Store.Range(ctx, "")
	if err != nil {
		return err
	}
	f.Directory.ApplySnapshot(records, revision, time.Now())
	f.recordConnected(onResponse)
	return f.Store.Watch(ctx, "", revision, func(changes []core.StoreRecord, revision int64) {
		f.recordConnected(onResponse)
		f.Directory.ApplyChanges(changes, revision, time.Now())
	})
}

// recordConnected records that the store has responded.
func (f *Follower) recordConnected(onResponse func()) {
	onResponse()
	f.Directory.SetStoreConnected(true)
	if f.connected.Swap(true) {
		return
	}
	f.Directory.log.Info().Str("event", "store_regained").Msg("")
}

// recordFailure records that a call to the store has failed.
func (f *Follower) recordFailure(err error) {
	var failure *store.Error
	if errors.As(err, &failure) && failure.Kind == store.KindCompacted {
		// The store is available, but has compacted the changes since the last known
		// revision.
		f.Directory.log.Info().Str("event", "store_compacted").Msg("changes since the last known revision were compacted; reading the complete content again")
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

// pollMembers merges the state of ledger members while the store is unavailable.
func (f *Follower) pollMembers(ctx context.Context) {
	ctxwait.Sleep(ctx, startupPollPeriod)
	for ; ctx.Err() == nil; ctxwait.Sleep(ctx, f.pollDelay()) {
		if f.connected.Load() {
			continue
		}
		for _, addr := range f.Members() {
			f.pollMember(ctx, addr)
		}
	}
}

// pollDelay returns the time until the next poll. It is shorter for a process without a
// configuration, which can't serve any caller.
func (f *Follower) pollDelay() time.Duration {
	if !f.Directory.HasConfig() {
		return startupPollPeriod
	}
	return pollPeriod/2 + rand.N(pollPeriod)
}

// pollMember merges the state of one member.
func (f *Follower) pollMember(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, addr)
	if err != nil {
		// A seed address may be outdated, or its member may be down. The next
		// address is polled.
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
