package member

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// maxRelays bounds the relayed appends in flight at a member.
	maxRelays = 256
	// maxRelayBytes bounds their records. Each record is encoded once for every other
	// member.
	maxRelayBytes = 4 << 20
	// relayTarget is the duration of a relayed append above which a member admits fewer of
	// them. It is a few times what a quorum of idle members takes, and well below the time in
	// which a turn needs the ledger.
	relayTarget = 200 * time.Millisecond
	// minLimit is the lowest adaptive limit, and limitDecrease the factor by which it falls.
	minLimit      = 4
	limitDecrease = 0.7
	// maxAppends and maxAppendBytes bound the appends that wait for the replica or the disk.
	// They admit what all other members of a group relay at once.
	maxAppends     = 4096
	maxAppendBytes = 32 << 20
	// maxReads bounds the chains that are read from the disk at once.
	maxReads = 256
	// backlogLogPeriod is the shortest time between two log lines about rejected requests.
	backlogLogPeriod = time.Second
)

// urgency is the importance of a relayed append while a member is overloaded.
type urgency uint8

const (
	// beginning appends start a program. Nothing is lost if it starts later or elsewhere.
	beginning urgency = iota
	// continuing appends are needed by programs that have begun.
	continuing
	// finishing appends record what an engine has generated, which is lost without them.
	finishing
)

// urgencyShares are the shares of a backlog's limit up to which requests are admitted.
var urgencyShares = [...]float64{beginning: 0.5, continuing: 1, finishing: 2}

// urgencyOf returns the urgency of an append: that of its most important record.
func urgencyOf(records []*ledgerpb.Record) urgency {
	highest := beginning
	for _, rec := range records {
		switch reservation := rec.GetReservation(); {
		case reservation == nil:
			return finishing
		case !reservation.GetStartsProgram():
			highest = continuing
		}
	}
	return highest
}

// backlog bounds the requests of one kind in flight, by number and by the size of their
// records. It is safe for concurrent use.
//
// Invariant: a member holds no more than maxBytes of records, whatever its peers send. A peer
// that is rejected at once asks another member or refuses its caller, while one that waits for
// a slow member sends the same records to others as well.
type backlog struct {
	maxRequests, maxBytes int
	// target is the duration above which the limit falls; zero if it is constant. The limit
	// rises again by one request in the time that all admitted ones take.
	target time.Duration

	mu              sync.Mutex
	limit           float64
	loweredAt       time.Time
	requests, bytes int
	rejected        int64
}

func newBacklog(maxRequests, maxBytes int, target time.Duration) *backlog {
	return &backlog{maxRequests: maxRequests, maxBytes: maxBytes, target: target, limit: float64(maxRequests)}
}

// acquire admits a request with records of a size in bytes, or reports false. A single
// request is admitted whatever its size.
func (b *backlog) acquire(size int, u urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := min(b.limit*urgencyShares[u], float64(b.maxRequests))
	if b.requests > 0 && (float64(b.requests) >= limit || b.bytes+size > b.maxBytes) {
		b.rejected++
		return false
	}
	b.requests++
	b.bytes += size
	return true
}

// reject counts a request that is rejected for another reason than the backlog.
func (b *backlog) reject() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected++
}

// release ends a request that acquire admitted, after it took a time, and adapts the limit.
func (b *backlog) release(size int, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests--
	b.bytes -= size
	switch {
	case b.target <= 0:
	case took <= b.target:
		b.limit = min(b.limit+1/b.limit, float64(b.maxRequests))
	case now.Sub(b.loweredAt) > b.target:
		// The requests that are in flight now do not show the effect of the new limit yet.
		b.limit, b.loweredAt = max(b.limit*limitDecrease, minLimit), now
	}
}

// backlogState describes a backlog at one time.
type backlogState struct {
	requests, bytes int
	limit           int
	rejected        int64
}

func (b *backlog) state() backlogState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backlogState{b.requests, b.bytes, int(b.limit), b.rejected}
}

// logBacklogs logs the backlogs after requests were rejected or abandoned, until ctx ends.
func (m *Member) logBacklogs(ctx context.Context) {
	var known int64
	ctxwait.Every(ctx, backlogLogPeriod, func(time.Time) {
		relays, appends, reads, abandoned := m.relays.state(), m.appends.state(), m.reads.state(), m.stats.abandoned.Load()
		large, largeRejected := m.memory.state()
		total := relays.rejected + appends.rejected + reads.rejected + abandoned + largeRejected
		if total == known {
			return
		}
		known = total
		m.log.Warn().Str("event", "backlog").Int("relays", relays.requests).Int("relay_limit", relays.limit).Int("relay_bytes", relays.bytes).Int64("relays_rejected", relays.rejected).
			Int("appends", appends.requests).Int("append_bytes", appends.bytes).Int64("appends_rejected", appends.rejected).
			Int("reads", reads.requests).Int64("reads_rejected", reads.rejected).Int64("abandoned", abandoned).
			Int("large_bytes", large).Int64("large_rejected", largeRejected).Msg("requests were rejected or abandoned")
	})
}
