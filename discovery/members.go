package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

const (
	// followedMembers is how many members are followed at a time. It is more than one
	// because a member may be disconnected from the store without having noticed yet.
	followedMembers = 2
	// longPollTimeout is how long a member may wait for a change before it responds.
	// It is shorter than the time after which a connection counts as unresponsive.
	longPollTimeout = 400 * time.Millisecond
	// directFallbackDelay is how long all members may have been disconnected from the
	// store before the store is read directly. It is well below the time within which
	// a new configuration has to take effect.
	directFallbackDelay = 700 * time.Millisecond
	// fallbackCheckPeriod is the time between two checks for a member that is
	// connected to the store.
	fallbackCheckPeriod = 100 * time.Millisecond
	// nextMemberDelay is the delay before another member is tried.
	nextMemberDelay = 100 * time.Millisecond
)

// memberTracker tracks which members are followed and which of them are connected to
// the store. It is safe for concurrent use.
type memberTracker struct {
	mu sync.Mutex
	// following holds the addresses of the members that are followed.
	following map[string]bool
	// connectedAt is when each member last responded that it is connected to the
	// store.
	connectedAt map[string]time.Time
}

// claim selects a member that is not followed yet and marks it as followed.
func (p *memberTracker) claim(addrs []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.following == nil {
		p.following = make(map[string]bool)
	}
	for _, addr := range addrs {
		if !p.following[addr] {
			p.following[addr] = true
			return addr, true
		}
	}
	return "", false
}

func (p *memberTracker) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.following, addr)
}

func (p *memberTracker) recordConnected(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connectedAt == nil {
		p.connectedAt = make(map[string]time.Time)
	}
	p.connectedAt[addr] = now
}

// recordDisconnected records that a member reported to be disconnected from the store.
func (p *memberTracker) recordDisconnected(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connectedAt, addr)
}

// anyConnected reports whether a member was connected to the store recently. A member
// that has become unreachable still counts for directFallbackDelay; by then, another
// one is usually followed in its place.
func (p *memberTracker) anyConnected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	connected := false
	for addr, at := range p.connectedAt {
		if now.Sub(at) < directFallbackDelay {
			connected = true
		} else {
			delete(p.connectedAt, addr)
		}
	}
	return connected
}

// runViaMembers follows members. It reads the store directly while none of them is
// connected to the store.
func (f *Follower) runViaMembers(ctx context.Context) {
	for range followedMembers {
		go f.followMembers(ctx)
	}
	stop := func() {}
	isDirect := false
	mayReadDirectly := time.Now().Add(f.DirectDelay)
	for ; ctx.Err() == nil; ctxwait.Sleep(ctx, fallbackCheckPeriod) {
		now := time.Now()
		connected := f.members.anyConnected(now)
		switch {
		case connected && isDirect:
			stop()
			isDirect = false
			f.Directory.SetStoreConnected(false)
		case !connected && !isDirect && now.After(mayReadDirectly):
			f.Directory.log.Info().Str("event", "store_read_directly").Msg("no ledger member is connected to the store; reading it directly")
			var direct context.Context
			direct, stop = context.WithCancel(ctx)
			go f.runDirectly(direct)
			isDirect = true
		}
		if !isDirect {
			f.connected.Store(connected)
		}
	}
	stop()
}

// followMembers follows one member after another.
func (f *Follower) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		addr, ok := f.members.claim(f.Members())
		if ok {
			err := f.followMember(ctx, addr)
			f.members.release(addr)
			if ctx.Err() != nil {
				return
			}
			f.Directory.log.Debug().Str("event", "member_left").Str("peer", addr).Err(err).Msg("stopped following a ledger member; following another one")
			if errors.Is(err, errNotConnected) && f.Directory.HasConfig() {
				ctxwait.Sleep(ctx, pollPeriod/2)
			}
		}
		ctxwait.Sleep(ctx, nextMemberDelay)
	}
}

// followMember merges the state of one member for as long as the member is connected to
// the store.
func (f *Follower) followMember(ctx context.Context, addr string) error {
	conn, err := transport.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	for {
		response, err := conn.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_FollowState{FollowState: &ledgerpb.FollowState{
			After: f.Directory.Revision(), WaitMs: uint32(longPollTimeout.Milliseconds()), Tunnel: f.Tunnel,
		}}})
		if err != nil {
			return err
		}
		now := time.Now()
		if response.GetState().GetCurrent() {
			f.Directory.Merge(response.GetState(), now)
			f.members.recordConnected(addr, now)
			continue
		}
		f.members.recordDisconnected(addr)
		// The store may refuse connections of single VMs. While other members or this
		// process are connected to it, a missing registration has been removed and has
		// not expired because of an outage.
		if !f.members.anyConnected(now) && !f.connected.Load() {
			f.Directory.RecordOutage(now)
		}
		f.Directory.Merge(response.GetState(), now)
		return errNotConnected
	}
}
