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
	// followedPeers is how many members are followed at a time. One of them may be
	// cut off from the store without noticing yet.
	followedPeers = 2
	// followWait is how long a member keeps a question for news waiting. It is
	// below the age at which a connection counts as silent.
	followWait = 400 * time.Millisecond
	// peerPatience is how long no member may have been current before the store is
	// read directly. It is well under the time in which a configuration has to
	// apply.
	peerPatience = 700 * time.Millisecond
	// directPeriod is the time between two looks whether a member is current.
	directPeriod = 100 * time.Millisecond
	// peerPause is the pause before another member is tried.
	peerPause = 100 * time.Millisecond
)

// peerLoops are the connections to the members that are followed.
type peerLoops struct {
	mu sync.Mutex
	// following names the members that are followed.
	following map[string]bool
	// currentAt is when each member that was current answered last.
	currentAt map[string]time.Time
}

// claim returns a member that is not followed yet.
func (p *peerLoops) claim(addrs []string) (string, bool) {
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

func (p *peerLoops) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.following, addr)
}

func (p *peerLoops) noteCurrent(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentAt == nil {
		p.currentAt = make(map[string]time.Time)
	}
	p.currentAt[addr] = now
}

// noteLost records that a member says itself that it is not current.
func (p *peerLoops) noteLost(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.currentAt, addr)
}

// isCurrent says whether a member was current of late. One that cannot be reached
// counts for a while; mostly another one takes its place.
func (p *peerLoops) isCurrent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := false
	for addr, at := range p.currentAt {
		if now.Sub(at) < peerPatience {
			current = true
		} else {
			delete(p.currentAt, addr)
		}
	}
	return current
}

// runThroughPeers follows members, and the store itself while none is current.
func (f *Follower) runThroughPeers(ctx context.Context) {
	for range followedPeers {
		go f.followPeers(ctx)
	}
	stop := func() {}
	directly := false
	// A process that starts may know nobody yet, so it reads the store at once.
	for ; ctx.Err() == nil; ctxwait.For(ctx, directPeriod) {
		current := f.peers.isCurrent(time.Now())
		switch {
		case current && directly:
			stop()
			directly = false
		case !current && !directly:
			f.Directory.log.Info().Str("event", "store_read_directly").Msg("no ledger member is current")
			var direct context.Context
			direct, stop = context.WithCancel(ctx)
			go f.runDirectly(direct)
			directly = true
		}
		if !directly {
			f.connected.Store(current)
		}
	}
	stop()
}

// followPeers follows one member after another.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		addr, ok := f.peers.claim(f.Peers())
		if ok {
			err := f.followPeer(ctx, addr)
			f.peers.release(addr)
			if ctx.Err() != nil {
				return
			}
			f.Directory.log.Debug().Str("event", "member_left").Str("peer", addr).Err(err).Msg("following another")
			if errors.Is(err, errNotCurrent) && f.Directory.HasConfig() {
				ctxwait.For(ctx, askPeriod/2)
			}
		}
		ctxwait.For(ctx, peerPause)
	}
}

// followPeer learns from one member while it is current.
func (f *Follower) followPeer(ctx context.Context, addr string) error {
	conn, err := transport.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	for {
		response, err := conn.Call(ctx, &ledgerpb.Request{Call: &ledgerpb.Request_FollowState{FollowState: &ledgerpb.FollowState{
			After: f.Directory.Revision(), WaitMs: uint32(followWait.Milliseconds()), Tunnel: f.Tunnel,
		}}})
		if err != nil {
			return err
		}
		now := time.Now()
		if response.GetState().GetCurrent() {
			f.Directory.Merge(response.GetState(), now)
			f.peers.noteCurrent(addr, now)
			continue
		}
		f.peers.noteLost(addr)
		// The store may refuse single VMs. While it is seen through others, an entry
		// that is missing has been removed.
		if !f.peers.isCurrent(now) && !f.connected.Load() {
			f.Directory.RecordOutage(now)
		}
		f.Directory.Merge(response.GetState(), now)
		return errNotCurrent
	}
}
